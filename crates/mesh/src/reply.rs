//! What became of a call at a gate.

use crate::frame::Outcome;

/// What an ingress learns of a call that it sent to a gate.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The gate told how it ended; an answer comes with its whole body.
    Ended { outcome: Outcome, body: Vec<u8> },
    /// The link ended first; the request may have run.
    Lost,
    /// The link was not up; nothing was sent.
    Unlinked,
}

impl Reply {
    /// Returns whether the request may have arrived at the backend server.
    pub(crate) fn may_have_arrived(&self) -> bool {
        match self {
            Self::Ended { outcome, .. } => match outcome {
                Outcome::Answered(_) | Outcome::Unexecuted { .. } | Outcome::Failed => true,
                Outcome::Refused { .. } | Outcome::Unsent => false,
            },
            Self::Lost => true,
            Self::Unlinked => false,
        }
    }
}
