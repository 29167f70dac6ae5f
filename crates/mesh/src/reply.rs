//! The result of a call to a gate.

use crate::frame::Outcome;

/// The result of a call to a gate, as the ingress sees it.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The gate reported how the call ended; `body` is the whole body of a response.
    Ended { outcome: Outcome, body: Vec<u8> },
    /// The link broke before the gate reported; the request may have run.
    Lost,
    /// The link was down; nothing was sent.
    Unlinked,
}

impl Reply {
    /// Returns whether the request may have reached the backend server.
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
