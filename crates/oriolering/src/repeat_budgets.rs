//! What one node may repeat, at the services for which requests enter at it.
//!
//! The load that this answers: failures that make every hop of a chain of calls repeat its
//! requests, and every repeat make its calls again. Each arrival that counts as a repeat is held
//! at one node before it is sent, so the sum over all nodes stays within the fleet's bound at
//! every depth of the chain, without a message.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::{BudgetUsage, CallCounts, FleetBudget, Millis, ServiceCalls, SlackShare};

/// The bound on repeats at each service, for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatBound {
    /// The repeats, in percent of the requests.
    pub percent: u64,
    /// The repeats beyond that.
    pub slack: u64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

/// The budgets of one node for repeats, by service.
#[derive(Clone, Debug)]
pub struct RepeatBudgets {
    bound: RepeatBound,
    share: SlackShare,
    budgets: HashMap<CompactString, FleetBudget>,
    calls: CallCounts,
}

impl RepeatBudgets {
    /// Returns the budgets of a process that starts now; `first` tells whether the whole system
    /// starts for the first time.
    pub fn new(now: Millis, bound: RepeatBound, first: bool) -> Self {
        Self {
            bound,
            share: SlackShare::new(now, first),
            budgets: HashMap::new(),
            calls: CallCounts::default(),
        }
    }

    /// Changes the repeats beyond the share of the requests.
    pub fn set_slack(&mut self, slack: u64) {
        self.bound.slack = slack;
    }

    /// Takes in how many nodes there are, this one included.
    pub fn observe_nodes(&mut self, nodes: u64) {
        self.share.observe_nodes(nodes);
    }

    /// Returns how many nodes the slack is divided among, if this one has a part of it.
    pub fn nodes(&self, now: Millis) -> Option<u64> {
        self.share.nodes(now, self.bound.window_ms)
    }

    /// Counts a request for a service that no repeated run made.
    pub fn deposit(&mut self, now: Millis, service: &str) {
        self.budget(now, service).deposit(now);
    }

    /// Holds a repeat that is about to be sent, and returns whether that is allowed.
    pub fn reserve(&mut self, now: Millis, service: &str) -> bool {
        self.budget(now, service).reserve(now)
    }

    /// Holds the calls that a repeated run on a route is expected to make, and returns them, if
    /// the budgets of all services that it calls allow that.
    pub fn reserve_calls(&mut self, now: Millis, route: u64) -> Option<ServiceCalls> {
        let most = self.calls.peak_calls(route).to_vec();
        let mut held = ServiceCalls::new();
        for most in most {
            held.push((most.service.clone(), 0));
            for _ in 0..most.calls {
                if !self.reserve(now, &most.service) {
                    self.release_calls(now, &held);
                    return None;
                }
                held.last_mut()?.1 += 1;
            }
        }
        Some(held)
    }

    /// Holds a repeat that is sent whatever is allowed; others have to make room for it.
    pub fn force_reserve(&mut self, now: Millis, service: &str) {
        self.budget(now, service).force_reserve();
    }

    /// Gives back a repeat that was held and did not arrive.
    pub fn release(&mut self, now: Millis, service: &str) {
        self.budget(now, service).release();
    }

    /// Gives back the calls that a repeated run did not make.
    pub fn release_calls(&mut self, now: Millis, held: &ServiceCalls) {
        for (service, calls) in held {
            (0..*calls).for_each(|_| self.release(now, service));
        }
    }

    /// Counts a repeat that was held and has arrived, or may have; `is_call` tells whether it is
    /// a call of a repeated run.
    pub fn record_arrival(&mut self, now: Millis, service: &str, is_call: bool) {
        let budget = self.budget(now, service);
        budget.record_arrival(now);
        if is_call {
            budget.record_call(now);
        }
    }

    /// Takes in the calls that a run on a route made.
    pub fn record_calls(&mut self, route: u64, made: &ServiceCalls) {
        self.calls.record(route, made);
    }

    /// Returns what was counted at each service in the window that ends now.
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
