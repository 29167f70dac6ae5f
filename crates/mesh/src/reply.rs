//! What became of a call at a gate.

use crate::frame::Ending;

/// What an ingress learns of a call that it sent to a gate.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The gate told how it ended; an answer comes with its whole body.
    Ended { ending: Ending, body: Vec<u8> },
    /// The link ended first; the request may have run.
    Lost,
    /// The link was not up; nothing was sent.
    Unlinked,
}
