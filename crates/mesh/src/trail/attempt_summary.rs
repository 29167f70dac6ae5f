//! What an ingress logs about the attempts of a request.

use compact_str::CompactString;

use crate::frame::Outcome;
use crate::reply::Reply;

/// How an attempt ended, as it is logged.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSummary {
    pub(super) server: CompactString,
    pub(super) outcome: &'static str,
    pub(super) status: Option<u16>,
    pub(super) why: Option<&'static str>,
}

impl AttemptSummary {
    /// Returns the summary of an attempt at `server`.
    pub(crate) fn of(server: &CompactString, reply: &Reply) -> Self {
        let without_details = |outcome| Self {
            server: server.clone(),
            outcome,
            status: None,
            why: None,
        };
        match reply {
            Reply::Lost => without_details("lost"),
            Reply::Unlinked => without_details("unlinked"),
            Reply::Ended { outcome, .. } => match outcome {
                Outcome::Answered(answered) => Self {
                    status: Some(answered.status),
                    ..without_details(match answered.is_failure() {
                        true => "server_error",
                        false => "answered",
                    })
                },
                Outcome::Refused { why, .. } => Self {
                    why: Some(why.as_str()),
                    ..without_details("refused")
                },
                Outcome::Unexecuted { status } => Self {
                    status: Some(*status),
                    ..without_details("unexecuted")
                },
                Outcome::Unsent => without_details("unsent"),
                Outcome::Failed => without_details("failed"),
            },
        }
    }
}

/// Totals over the attempts of a request so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTotals {
    /// How often the request was sent to a backend server.
    pub(crate) sends: u32,
    /// How many gates refused the request.
    pub(crate) refusals: u32,
    /// Whether an attempt may have been executed.
    pub(crate) uncertain: bool,
}
