//! The budgets for repeats of one node, for each service whose requests enter through it.
//!
//! When failures make every hop of a call chain repeat its requests, and every repeat makes its
//! calls again, repeats multiply along the chain. Each arrival that counts as a repeat is reserved
//! at one node before it is sent, so the sum over all nodes stays within the fleet's bound at
//! every depth of the chain, without any message.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::{BudgetUsage, CallCounts, FleetBudget, Millis, ServiceCalls, SlackShare};

/// The bound on repeats at each service, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatBound {
    /// The allowed repeats, in percent of the requests.
    pub percent: u64,
    /// The repeats that are allowed in addition to that share.
    pub slack: u64,
    /// The length of the window in which repeats and requests are counted, in milliseconds.
    pub window_ms: u64,
}

/// The budgets for repeats of one node, by service.
#[derive(Clone, Debug)]
pub struct RepeatBudgets {
    bound: RepeatBound,
    share: SlackShare,
    budgets: HashMap<CompactString, FleetBudget>,
    calls: CallCounts,
}

impl RepeatBudgets {
    /// Returns the budgets of a process that starts now; `first_start` tells whether the whole
    /// system starts for the first time.
    pub fn new(now: Millis, bound: RepeatBound, first_start: bool) -> Self {
        Self {
            bound,
            share: SlackShare::new(now, first_start),
            budgets: HashMap::new(),
            calls: CallCounts::default(),
        }
    }

    /// Sets the repeats that are allowed in addition to the share of the requests.
    pub fn set_slack(&mut self, slack: u64) {
        self.bound.slack = slack;
    }

    /// Records the number of nodes, this one included.
    pub fn observe_nodes(&mut self, nodes: u64) {
        self.share.observe_nodes(nodes);
    }

    /// Returns the number of nodes among which the slack is divided, or `None` while this node has
    /// no part of it.
    pub fn nodes(&self, now: Millis) -> Option<u64> {
        self.share.nodes(now, self.bound.window_ms)
    }

    /// Counts a request for a service that was not made by a repeated run.
    pub fn deposit(&mut self, now: Millis, service: &str) {
        self.budget(now, service).deposit(now);
    }

    /// Reserves a repeat that is about to be sent, and returns whether it is allowed.
    pub fn reserve(&mut self, now: Millis, service: &str) -> bool {
        self.budget(now, service).reserve(now)
    }

    /// Reserves the calls that a repeated run on a route is expected to make, and returns them.
    ///
    /// Returns `None` and reserves nothing unless the budgets of all called services allow it.
    pub fn reserve_calls(&mut self, now: Millis, route: u64) -> Option<ServiceCalls> {
        let peaks = self.calls.peak_calls(route).to_vec();
        let mut reserved = ServiceCalls::new();
        for peak in peaks {
            reserved.push((peak.service.clone(), 0));
            for _ in 0..peak.calls {
                if !self.reserve(now, &peak.service) {
                    self.release_calls(now, &reserved);
                    return None;
                }
                reserved.last_mut()?.1 += 1;
            }
        }
        Some(reserved)
    }

    /// Reserves a repeat that is sent even if the budget is used up, which leaves less for later
    /// ones.
    pub fn force_reserve(&mut self, now: Millis, service: &str) {
        self.budget(now, service).force_reserve();
    }

    /// Releases a reserved repeat that did not arrive.
    pub fn release(&mut self, now: Millis, service: &str) {
        self.budget(now, service).release();
    }

    /// Releases the reserved calls that a repeated run did not make.
    pub fn release_calls(&mut self, now: Millis, reserved: &ServiceCalls) {
        for (service, calls) in reserved {
            (0..*calls).for_each(|_| self.release(now, service));
        }
    }

    /// Counts a reserved repeat that has arrived or may have arrived; `is_call` tells whether it is
    /// a call of a repeated run.
    pub fn record_arrival(&mut self, now: Millis, service: &str, is_call: bool) {
        let budget = self.budget(now, service);
        budget.record_arrival(now);
        if is_call {
            budget.record_call(now);
        }
    }

    /// Records the calls that a run on a route made.
    pub fn record_calls(&mut self, route: u64, made: &ServiceCalls) {
        self.calls.record(route, made);
    }

    /// Returns the counts of each service in the window that ends now.
    pub fn usage(&mut self, now: Millis) -> Vec<(CompactString, BudgetUsage)> {
        let services: Vec<CompactString> = self.budgets.keys().cloned().collect();
        let spending = services.into_iter().map(|service| {
            let spending = self.budget(now, &service).usage(now);
            (service, spending)
        });
        spending.collect()
    }

    fn budget(&mut self, now: Millis, service: &str) -> &mut FleetBudget {
        let (bound, nodes) = (self.bound, self.nodes(now));
        let budget = self
            .budgets
            .entry(service.into())
            .or_insert_with(|| FleetBudget::new(bound.percent, bound.window_ms));
        budget.set_slack(bound.slack, nodes);
        budget
    }
}
