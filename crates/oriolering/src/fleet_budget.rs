//! A budget for repeats at a service that all nodes share without shared state.

use std::collections::VecDeque;

use crate::Millis;

/// The part of the allowed repeats that is used, in percent; the margin keeps the total within the
/// bound although nodes have different views.
const USED_PERCENT: u64 = 80;

/// A node's share of the repeats that a service allows in a sliding window.
///
/// Each node may repeat a share of the requests that entered through it, plus its part of the
/// slack, so the sum over all nodes stays within the bound of the service as a whole.
///
/// A repeat is reserved before it is sent and counts from then on, since it may arrive at any
/// time. Once it is known to have arrived it counts for one more window; a repeat that did not
/// arrive is released. So the repeats that arrive within any window are at most the number that
/// was allowed when the last of them was reserved.
#[derive(Clone, Debug)]
pub struct FleetBudget {
    percent: u64,
    slack: u64,
    /// The number of nodes among which the slack is divided.
    nodes: u64,
    window_ms: u64,
    requests: VecDeque<Millis>,
    /// The number of reserved repeats, which may be in flight.
    reserved: u64,
    /// The latest possible arrival times of the other repeats.
    arrived: VecDeque<Millis>,
    /// The arrival times of the calls that repeated runs made.
    calls: VecDeque<Millis>,
}

/// The counts of a [`FleetBudget`] in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The requests that entered through the node.
    pub requests: u64,
    /// The repeats that arrived or may be in flight, including the calls of repeated runs.
    pub repeats: u64,
    /// The repeats that are calls of repeated runs and have arrived.
    pub calls: u64,
    /// The repeats that are allowed.
    pub allowed: u64,
}

impl FleetBudget {
    /// Returns a budget of `percent` of the requests in a window, without slack.
    pub fn new(percent: u64, window_ms: u64) -> Self {
        Self {
            percent,
            slack: 0,
            nodes: 1,
            window_ms,
            requests: VecDeque::new(),
            reserved: 0,
            arrived: VecDeque::new(),
            calls: VecDeque::new(),
        }
    }

    /// Sets the slack of the service and the number of nodes among which it is divided.
    ///
    /// `None` means that this node has no part of the slack.
    pub fn set_slack(&mut self, slack: u64, nodes: Option<u64>) {
        self.slack = nodes.map_or(0, |_| slack);
        self.nodes = nodes.unwrap_or(1).max(1);
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Reserves one repeat that is about to be sent, and returns whether it is allowed.
    pub fn reserve(&mut self, now: Millis) -> bool {
        self.expire(now);
        let allowed = self.counted_repeats() < self.allowed();
        self.reserved += u64::from(allowed);
        allowed
    }

    /// Reserves one repeat that is sent even if the budget is used up, which leaves less for later
    /// ones.
    pub fn force_reserve(&mut self) {
        self.reserved += 1;
    }

    /// Releases a reserved repeat that did not arrive.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Counts a reserved repeat that has arrived or may have arrived.
    pub fn record_arrival(&mut self, now: Millis) {
        self.release();
        self.arrived.push_back(now);
    }

    /// Returns the counts of the window that ends now.
    pub fn usage(&mut self, now: Millis) -> BudgetUsage {
        self.expire(now);
        BudgetUsage {
            requests: self.requests.len() as u64,
            repeats: self.counted_repeats(),
            calls: self.calls.len() as u64,
            allowed: self.allowed(),
        }
    }

    /// Records that a repeat which has arrived was a call of a repeated run.
    pub fn record_call(&mut self, now: Millis) {
        self.calls.push_back(now);
    }

    fn counted_repeats(&self) -> u64 {
        self.reserved + self.arrived.len() as u64
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
