//! What a node that was told to stop still takes.
//!
//! The load that this answers: callers go on sending until they have noticed that the node is
//! not ready any more, and the process has to end within its grace. A request that may outlast
//! the process is refused, so that none is cut off.

use crate::Millis;

/// The time in which callers notice that a node is not ready any more, in milliseconds: three
/// polls of readiness, one a second.
const NOTICE_MS: u64 = 3_000;
/// The time before the end of the grace at which a node ends in any case, in milliseconds; a
/// node whose instance is slow needs it to end by itself.
const MARGIN_MS: u64 = 700;

/// The end of a node that was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    told: Millis,
    last: Millis,
}

impl Shutdown {
    /// Returns the end of a node that was told at `now` and has `grace_ms` milliseconds left.
    pub fn new(now: Millis, grace_ms: u64) -> Self {
        Self {
            told: now,
            last: now + grace_ms.saturating_sub(MARGIN_MS),
        }
    }

    /// Returns whether a request that may take `limit_ms` milliseconds is refused.
    pub fn refuses(self, now: Millis, limit_ms: u64) -> bool {
        now.since(self.told) >= NOTICE_MS && now + limit_ms > self.last
    }

    /// Returns whether the node ends now; `idle` tells that nothing runs or waits.
    pub fn is_over(self, now: Millis, idle: bool) -> bool {
        now >= self.last || (idle && now.since(self.told) >= NOTICE_MS)
    }
}
