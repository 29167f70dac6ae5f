//! Answers that the node itself gives when no answer of a backend server can be passed on.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use oriolering::{Cause, Grant, LoadHint, Outcome, Refusal};

const MS_PER_SECOND: u32 = 1_000;

/// A final answer of the node: an outcome, its cause and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    /// What became of the request.
    pub(crate) outcome: Outcome,
    /// Why, and when to send again.
    pub(crate) refusal: Refusal,
}

impl Reply {
    /// Returns the answer for a request that was not run.
    pub(crate) fn not_run(refusal: Refusal) -> Self {
        Self {
            outcome: Outcome::NotRun,
            refusal,
        }
    }

    /// Returns the answer for a request that may have run.
    pub(crate) fn unknown(cause: Cause, retry_after: u32) -> Self {
        Self {
            outcome: Outcome::Unknown,
            refusal: Refusal { cause, retry_after },
        }
    }

    /// Returns the answer for a request that will not be run however often it is sent.
    pub(crate) fn rejected(cause: Cause, retry_after: u32) -> Self {
        Self {
            outcome: Outcome::Rejected,
            refusal: Refusal { cause, retry_after },
        }
    }

    /// Returns the status code that goes with the outcome and its cause.
    pub(crate) fn status(self) -> StatusCode {
        match (self.outcome, self.refusal.cause) {
            (Outcome::NotRun, Cause::Share) => StatusCode::TOO_MANY_REQUESTS,
            (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
            (Outcome::Unknown, Cause::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
            (Outcome::Rejected, Cause::Quarantined) => StatusCode::UNPROCESSABLE_ENTITY,
            (Outcome::Rejected, _) => StatusCode::BAD_REQUEST,
        }
    }

    /// Builds the HTTP answer; the body repeats the headers in one line for people.
    pub(crate) fn response(self) -> HttpResponse {
        self.response_with(None, None)
    }

    /// Builds the HTTP answer of a gate, with its load and a session for the ingress.
    pub(crate) fn response_with(
        self,
        load: Option<LoadHint>,
        grant: Option<Grant>,
    ) -> HttpResponse {
        let Refusal { cause, retry_after } = self.refusal;
        let mut builder = HttpResponse::build(self.status());
        builder.set_header(oriolering::OUTCOME, self.outcome.as_str());
        builder.set_header(oriolering::REASON, cause.as_str());
        if retry_after > 0 {
            let seconds = retry_after.div_ceil(MS_PER_SECOND);
            builder.set_header("retry-after", seconds.to_string());
            builder.set_header(oriolering::RETRY_AFTER_MS, retry_after.to_string());
        }
        if let Some(load) = load {
            builder.set_header(oriolering::LOAD, load.encode());
        }
        if let Some(grant) = grant {
            builder.set_header(oriolering::GRANT, grant.encode());
        }
        builder.content_type("text/plain; charset=utf-8");
        builder.body(format!(
            "{}: {}; retry after {retry_after} ms\n",
            self.outcome.as_str(),
            cause.as_str()
        ))
    }
}
