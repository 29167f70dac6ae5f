//! A node's part of what a fleet may spend beyond a share of its requests.

use crate::Millis;

/// How many nodes share the slack of a fleet's budgets, as one process sees it.
///
/// The parts of all nodes together stay within the slack, in any window, as long as each process
/// has seen all nodes once within a window of its start: a list that shrinks makes no part larger,
/// and a process has no part before a window has passed in which an earlier one of its node may
/// have spent it.
#[derive(Clone, Copy, Debug)]
pub struct SlackShare {
    /// When the process started, unless the whole system started with it.
    started: Option<Millis>,
    /// The most nodes that it has seen.
    most: u64,
}

impl SlackShare {
    /// Returns the part of a process that starts now; `first` tells whether the whole system
    /// starts for the first time.
    pub fn new(now: Millis, first: bool) -> Self {
        Self {
            started: (!first).then_some(now),
            most: 1,
        }
    }

    /// Takes in how many nodes there are, this one included.
    pub fn observe_nodes(&mut self, nodes: u64) {
        self.most = self.most.max(nodes);
    }

    /// Returns the number of nodes that the slack is divided among, or `None` while this process
    /// has no part of it.
    pub fn nodes(&self, now: Millis, window_ms: u64) -> Option<u64> {
        let counts = self.started.is_none_or(|at| now.since(at) >= window_ms);
        counts.then_some(self.most)
    }
}
