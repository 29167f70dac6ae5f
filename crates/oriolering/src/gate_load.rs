//! The load report that a gate sends to ingresses.

use serde::{Deserialize, Serialize};

/// The share of the rate limit's interval, as a divisor, above which a change is broadcast: a
/// quarter.
const GAP_CHANGE_DIVISOR: u64 = 4;

/// The load of a backend server as seen by its gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait at the gate.
    pub waiting: u32,
    /// The number of requests that the gate lets run at once.
    pub capacity: u32,
    /// How long work takes now, as a percentage of its usual duration.
    pub work_percent: u32,
    /// The time between two requests under the backend server's rate limit, in microseconds; zero
    /// without a limit.
    pub gap_us: u32,
    /// How long that limit makes a new request wait, in milliseconds.
    pub turn_ms: u32,
    /// Whether new requests are refused because the node or its backend server is shutting down or
    /// the backend server is down.
    pub closed: bool,
}

impl GateLoad {
    /// Returns whether the change to `next` must be sent to all ingresses.
    ///
    /// That is so when the gate opens or closes, when a rate limit appears or goes away, and when
    /// it changes by more than a quarter.
    pub fn needs_broadcast(self, next: Self) -> bool {
        let limited = (self.gap_us == 0) != (next.gap_us == 0);
        let changed =
            u64::from(self.gap_us.abs_diff(next.gap_us)) * GAP_CHANGE_DIVISOR > self.gap_us.into();
        self.closed != next.closed || limited || changed
    }
}
