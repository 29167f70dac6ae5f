//! Graceful shutdown of a node.
//!
//! Callers keep sending requests until they notice that the node is no longer ready, but the
//! process has to exit within its grace period. A request that may outlast the process is
//! refused, so that none is cut off.

use crate::Millis;

/// The time in which callers notice that a node is no longer ready, in milliseconds: three
/// readiness polls at one per second.
const NOTICE_MS: u64 = 3_000;
/// The time before the end of the grace period at which a node exits in any case, in milliseconds;
/// on a slow instance it needs that time to exit by itself.
const MARGIN_MS: u64 = 700;

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
        Self {
            requested: now,
            exit_by: now + grace_ms.saturating_sub(MARGIN_MS),
        }
    }

    /// Returns whether a request that may take `limit_ms` milliseconds is refused.
    ///
    /// No request is refused before callers have had time to notice the shutdown.
    pub fn refuses(self, now: Millis, limit_ms: u64) -> bool {
        now.since(self.requested) >= NOTICE_MS && now + limit_ms > self.exit_by
    }

    /// Returns whether the node exits now; `idle` means that no request is running or waiting.
    pub fn is_over(self, now: Millis, idle: bool) -> bool {
        now >= self.exit_by || (idle && now.since(self.requested) >= NOTICE_MS)
    }
}
