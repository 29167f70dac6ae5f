//! The budget for repeats at a service, shared by all nodes without shared state.

use std::collections::VecDeque;

use crate::Millis;

/// The part of the allowance that is used, so that different views stay below it, in percent.
const USED_PERCENT: u64 = 80;

/// A node's share of the repeats that a service allows in a sliding window.
///
/// Each node may repeat a share of the requests that entered at it, and its part of the slack:
/// the sum over all nodes stays within what is allowed for the service as a whole.
///
/// A repeat is held before it is sent and counts from then on, since it may arrive at any time.
/// Once it is known to have arrived it counts for one more window; one that did not arrive is
/// released. So the repeats that arrive within any window are at most what was allowed when the
/// last of them was held.
#[derive(Clone, Debug)]
pub struct FleetBudget {
    percent: u64,
    slack: u64,
    /// How many nodes the slack is divided among.
    nodes: u64,
    window_ms: u64,
    requests: VecDeque<Millis>,
    /// The repeats that are under way.
    held: u64,
    /// When the others had arrived at the latest.
    arrived: VecDeque<Millis>,
    /// When calls of repeated runs had arrived.
    calls: VecDeque<Millis>,
}

/// What a [`FleetBudget`] counted in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The requests that entered.
    pub requests: u64,
    /// The repeats that arrived or are under way, with the calls that repeated runs make.
    pub repeats: u64,
    /// Those of them that are calls of repeated runs and have arrived.
    pub calls: u64,
    /// The repeats that are allowed.
    pub allowed: u64,
}

impl FleetBudget {
    /// Returns a budget of `percent` of the requests in a window, without any slack.
    pub fn new(percent: u64, window_ms: u64) -> Self {
        Self {
            percent,
            slack: 0,
            nodes: 1,
            window_ms,
            requests: VecDeque::new(),
            held: 0,
            arrived: VecDeque::new(),
            calls: VecDeque::new(),
        }
    }

    /// Changes the slack of the service and the number of nodes that it is divided among; a
    /// node that is not one of them has no part of it.
    pub fn set_slack(&mut self, slack: u64, nodes: Option<u64>) {
        self.slack = nodes.map_or(0, |_| slack);
        self.nodes = nodes.unwrap_or(1).max(1);
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Holds one repeat that is about to be sent, and returns whether that is allowed.
    pub fn reserve(&mut self, now: Millis) -> bool {
        self.expire(now);
        let allowed = self.counted() < self.allowed();
        self.held += u64::from(allowed);
        allowed
    }

    /// Holds one repeat that is sent whatever is allowed; others have to make room for it.
    pub fn force_reserve(&mut self) {
        self.held += 1;
    }

    /// Gives back a repeat that was held and did not arrive.
    pub fn release(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Counts a repeat that was held and has arrived, or may have.
    pub fn record_arrival(&mut self, now: Millis) {
        self.release();
        self.arrived.push_back(now);
    }

    /// Returns what was counted in the window that ends now.
    pub fn usage(&mut self, now: Millis) -> BudgetUsage {
        self.expire(now);
        BudgetUsage {
            requests: self.requests.len() as u64,
            repeats: self.counted(),
            calls: self.calls.len() as u64,
            allowed: self.allowed(),
        }
    }

    /// Notes that a repeat which has arrived was a call of a repeated run.
    pub fn record_call(&mut self, now: Millis) {
        self.calls.push_back(now);
    }

    fn counted(&self) -> u64 {
        self.held + self.arrived.len() as u64
    }

    fn allowed(&self) -> u64 {
        let share = self.requests.len() as u64 * self.percent * self.nodes;
        (share + self.slack * 100) * USED_PERCENT / (100 * 100 * self.nodes)
    }

    fn expire(&mut self, now: Millis) {
        let window = self.window_ms;
        for times in [&mut self.requests, &mut self.arrived, &mut self.calls] {
            while times.front().is_some_and(|t| now.since(*t) >= window) {
                times.pop_front();
            }
        }
    }
}
