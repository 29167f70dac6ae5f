//! Graceful shutdown of a node.
//!
//! Callers keep sending requests until they notice that the node is no longer ready, but the
//! process has to exit within its grace period. A request that comes meanwhile has to end before
//! the process, so that none is cut off.

use crate::Millis;

/// The time in which callers notice that a node is no longer ready, in milliseconds: three
/// readiness polls at one per second.
const NOTICE_MS: u64 = 3_000;
/// The longest time before the end of the grace period at which a node exits in any case, in
/// milliseconds; on a slow instance it needs that time to exit by itself.
const MARGIN_MS: u64 = 700;
/// The same as a divisor of the grace period. Only a request that still runs in the last sixth of
/// it may be cut off, so the node has to be there until then.
const MARGIN_DIVISOR: u64 = 8;

/// The schedule of a node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested: Millis,
    exit_by: Millis,
}

impl Shutdown {
    /// Returns a shutdown that was requested at `now`, with a grace period of `grace_ms`
    /// milliseconds.
    pub fn new(now: Millis, grace_ms: u64) -> Self {
        let margin_ms = MARGIN_MS.min(grace_ms / MARGIN_DIVISOR);
        Self {
            requested: now,
            exit_by: now + (grace_ms - margin_ms),
        }
    }

    /// Returns whether a request that may take `limit_ms` milliseconds is refused.
    ///
    /// No request is refused before callers have had time to notice the shutdown, as long as any
    /// time is left.
    pub fn refuses(self, now: Millis, limit_ms: u64) -> bool {
        let noticed = now.since(self.requested) >= NOTICE_MS;
        now >= self.exit_by || (noticed && now + limit_ms > self.exit_by)
    }

    /// Returns the deadline of a request that arrives now and would have one at `deadline`
    /// otherwise: it must have its answer before the node exits.
    pub fn limit_deadline(self, deadline: Millis) -> Millis {
        deadline.min(self.exit_by)
    }

    /// Returns whether the node exits whether or not it is idle.
    pub fn is_due(self, now: Millis) -> bool {
        now >= self.exit_by
    }

    /// Returns whether the node exits now; `idle` means that no request is running or waiting.
    pub fn is_over(self, now: Millis, idle: bool) -> bool {
        self.is_due(now) || (idle && now.since(self.requested) >= NOTICE_MS)
    }
}
