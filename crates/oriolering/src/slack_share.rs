//! One node's part of the slack that a fleet may spend beyond a share of its requests.

use crate::Millis;

/// The number of nodes that share the slack of a fleet's budgets, as known to one process.
///
/// The parts of all nodes together stay within the slack, in any window, as long as each process
/// has observed all nodes at least once within a window of its start. A shorter list of nodes does
/// not increase any part. A restarted process has no part during its first window, since the
/// previous process of its node may have spent it.
#[derive(Clone, Copy, Debug)]
pub struct SlackShare {
    /// The start time of the process; `None` if the whole system started with it.
    started: Option<Millis>,
    /// The highest number of nodes observed so far.
    max_nodes: u64,
}

impl SlackShare {
    /// Returns the share of a process that starts now; `first_start` tells whether the whole system
    /// starts for the first time.
    pub fn new(now: Millis, first_start: bool) -> Self {
        Self {
            started: (!first_start).then_some(now),
            max_nodes: 1,
        }
    }

    /// Records the number of nodes, this one included.
    pub fn observe_nodes(&mut self, nodes: u64) {
        self.max_nodes = self.max_nodes.max(nodes);
    }

    /// Returns the number of nodes among which the slack is divided, or `None` while this process
    /// has no part of it.
    pub fn nodes(&self, now: Millis, window_ms: u64) -> Option<u64> {
        let has_part = self.started.is_none_or(|at| now.since(at) >= window_ms);
        has_part.then_some(self.max_nodes)
    }
}
