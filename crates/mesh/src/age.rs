//! The age of information that a peer reported, measured on the clock of this node.

use oriolering::Millis;

/// An age that a peer reported.
///
/// It may exceed the uptime of this process, so it cannot be stored as a [`Millis`] of its clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Age {
    reported: Millis,
    ms: u64,
}

impl Age {
    /// Returns an age of `ms` milliseconds that was reported at `reported`.
    pub(crate) fn new(reported: Millis, ms: u64) -> Self {
        Self { reported, ms }
    }

    /// Returns the age at `now`, in milliseconds.
    pub(crate) fn at(self, now: Millis) -> u64 {
        self.ms.saturating_add(now.since(self.reported))
    }
}
