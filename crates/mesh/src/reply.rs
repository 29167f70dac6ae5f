//! The result of a call to a gate.

use crate::frame::Outcome;
use crate::segment_reader::SegmentReader;

/// The result of a call to a gate, as the ingress sees it.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The gate reported how the call ended, or the head of a streamed response; `body` is the whole
    /// body of a response unless `rest` follows.
    Ended {
        outcome: Outcome,
        body: Vec<u8>,
        rest: Option<SegmentReader>,
    },
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
