//! What a gate says in the headers of an answer.

use ntex::http::client::ClientResponse;
use ntex::http::header::HeaderMap;
use oriolering::{Cause, Failure, Grant, LoadHint, Outcome, Refusal};

use crate::call::Call;
use crate::directory::Target;
use crate::headers;
use crate::reached::{Answered, Reached};
use crate::wire::Wire;

/// Takes up a session that a gate has opened.
pub(crate) fn learn_grant(wire: &Wire, target: Target, headers: &HeaderMap) {
    let grant = headers::text(headers, oriolering::GRANT).and_then(Grant::decode);
    if let Some(grant) = grant {
        wire.node.directory.lock().adopt(target.server, grant);
    }
}

/// Reads what the gate says in the headers of an answer.
pub(crate) fn read_word(
    wire: &Wire,
    call: &Call,
    target: Target,
    response: ClientResponse,
) -> Reached {
    let headers = response.headers();
    let now = wire.node.clock.now();
    if let Some(hint) = headers::text(headers, oriolering::LOAD).and_then(LoadHint::decode) {
        let mut directory = wire.node.directory.lock();
        directory.hint(now, call.service, target.server, hint);
    }
    learn_grant(wire, target, headers);
    let Some(outcome) = headers::text(headers, oriolering::OUTCOME) else {
        let body = None;
        return Reached::Answer(Box::new(Answered { response, body }));
    };
    let cause = headers::text(headers, oriolering::REASON).and_then(Cause::parse);
    let retry_after = headers::number(headers, oriolering::RETRY_AFTER_MS).unwrap_or(0);
    let refusal = Refusal {
        cause: cause.unwrap_or(Cause::Invalid),
        retry_after: retry_after as u32,
    };
    Reached::Missing(match (Outcome::parse(outcome), refusal.cause) {
        (Some(Outcome::NotRun | Outcome::Rejected), _) => Failure::Refused(refusal),
        (Some(Outcome::Unknown), Cause::Unreachable) => Failure::Crashed,
        (Some(Outcome::Unknown) | None, _) => Failure::MayHaveRun,
    })
}
