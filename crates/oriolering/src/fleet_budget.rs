//! The budget for second tries of a service, shared by all nodes without shared state.

use std::collections::VecDeque;

use crate::Millis;

/// The part of the allowance that is used, so that different views stay below it, in percent.
const USED_PERCENT: u64 = 80;

/// A node's share of the second tries that a service allows in a sliding window.
///
/// Each node may repeat a share of the requests that entered at it, and its part of the slack:
/// the sum over all nodes stays within what is allowed for the service as a whole.
#[derive(Clone, Debug)]
pub struct FleetBudget {
    percent: u64,
    slack: u64,
    window_ms: u64,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl FleetBudget {
    /// Returns a budget of `percent` of the requests and `slack` more in a window.
    pub fn new(percent: u64, slack: u64, window_ms: u64) -> Self {
        Self {
            percent,
            slack,
            window_ms,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Changes the slack, since the number of nodes changed.
    pub fn set_slack(&mut self, slack: u64) {
        self.slack = slack;
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Returns whether one more request may be sent again.
    pub fn allows(&mut self, now: Millis) -> bool {
        self.expire(now);
        let share = self.requests.len() as u64 * self.percent / 100;
        let allowed = (share + self.slack) * USED_PERCENT / 100;
        (self.repeats.len() as u64) < allowed
    }

    /// Counts a request that is sent again.
    pub fn spend(&mut self, now: Millis) {
        self.repeats.push_back(now);
    }

    fn expire(&mut self, now: Millis) {
        let window = self.window_ms;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| now.since(*t) >= window) {
                times.pop_front();
            }
        }
    }
}
