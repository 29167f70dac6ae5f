//! What an ingress learns of an attempt.

use compact_str::CompactString;

use crate::frame::Outcome;
use crate::reply::Reply;

/// How an attempt ended, for a line.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSummary {
    pub(super) server: CompactString,
    pub(super) outcome: &'static str,
    pub(super) status: Option<u16>,
    pub(super) why: Option<&'static str>,
}

impl AttemptSummary {
    /// Returns how an attempt at `server` ended.
    pub(crate) fn of(server: &CompactString, reply: &Reply) -> Self {
        let plain = |outcome| Self {
            server: server.clone(),
            outcome,
            status: None,
            why: None,
        };
        match reply {
            Reply::Lost => plain("lost"),
            Reply::Unlinked => plain("unlinked"),
            Reply::Ended { outcome, .. } => match outcome {
                Outcome::Answered(answered) => Self {
                    status: Some(answered.status),
                    ..plain(match answered.status >= 500 {
                        true => "server_error",
                        false => "answered",
                    })
                },
                Outcome::Refused { why, .. } => Self {
                    why: Some(why.as_str()),
                    ..plain("refused")
                },
                Outcome::Unexecuted { status } => Self {
                    status: Some(*status),
                    ..plain("unexecuted")
                },
                Outcome::Unsent => plain("unsent"),
                Outcome::Failed => plain("failed"),
            },
        }
    }
}

/// What an ingress knows of a request after an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTotals {
    /// The backend servers that it was sent to.
    pub(crate) sends: u32,
    /// The gates that refused it.
    pub(crate) refusals: u32,
    /// Whether an attempt may have run.
    pub(crate) uncertain: bool,
}
