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
    /// The calls that repeated runs made.
    calls: VecDeque<Millis>,
}

/// What a [`FleetBudget`] counted in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spending {
    /// The requests that entered.
    pub requests: u64,
    /// The second tries and second runs.
    pub repeats: u64,
    /// The calls that repeated runs made.
    pub calls: u64,
    /// The second tries and second runs that are allowed.
    pub allowed: u64,
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
            calls: VecDeque::new(),
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
        (self.repeats.len() as u64) < self.allowed()
    }

    /// Returns what was counted in the window that ends now.
    pub fn spending(&mut self, now: Millis) -> Spending {
        self.expire(now);
        Spending {
            requests: self.requests.len() as u64,
            repeats: self.repeats.len() as u64,
            calls: self.calls.len() as u64,
            allowed: self.allowed(),
        }
    }

    /// Counts a request that is sent again.
    pub fn spend(&mut self, now: Millis) {
        self.repeats.push_back(now);
    }

    /// Counts a call that a repeated run made.
    pub fn note_call(&mut self, now: Millis) {
        self.calls.push_back(now);
    }

    fn allowed(&self) -> u64 {
        let share = self.requests.len() as u64 * self.percent / 100;
        (share + self.slack) * USED_PERCENT / 100
    }

    fn expire(&mut self, now: Millis) {
        let window = self.window_ms;
        for times in [&mut self.requests, &mut self.repeats, &mut self.calls] {
            while times.front().is_some_and(|t| now.since(*t) >= window) {
                times.pop_front();
            }
        }
    }
}
