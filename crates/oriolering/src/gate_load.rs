//! What a gate tells the ingresses of its backend server.

use serde::{Deserialize, Serialize};

/// A limit that changes by more than one part in so many is told to all ingresses.
const GAP_PART: u64 = 4;

/// The load of a backend server as its gate knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait at the gate.
    pub waiting: u32,
    /// The requests that the gate lets run at once.
    pub capacity: u32,
    /// How long work takes now, as a percentage of its usual duration.
    pub work_percent: u32,
    /// The time from one request to the next that the backend server's limit leaves, in
    /// microseconds; zero without a limit.
    pub gap_us: u32,
    /// How long a request that arrives now waits for its turn under that limit, in milliseconds.
    pub turn_ms: u32,
    /// Whether new requests are refused, since the node or its backend server leaves or is down.
    pub closed: bool,
}

impl GateLoad {
    /// Returns whether `next` differs in what all ingresses must know: whether requests are
    /// taken, and by about which limit.
    pub fn needs_broadcast(self, next: Self) -> bool {
        let limited = (self.gap_us == 0) != (next.gap_us == 0);
        let moved = u64::from(self.gap_us.abs_diff(next.gap_us)) * GAP_PART > self.gap_us.into();
        self.closed != next.closed || limited || moved
    }
}
