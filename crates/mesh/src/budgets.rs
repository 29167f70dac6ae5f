//! The retry budgets of one node, and the reservations that attempts and runs take from them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{BudgetUsage, Clock, Millis, RepeatBound, RepeatBudgets, ServiceCalls};
use oriolering_platform::Bounds;

use crate::trail::{Event, Trail};

/// The minimum time between two log events on the usage of the budgets, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// What a reservation in a budget is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepeatKind {
    /// A request that is sent again after an attempt ended.
    Retry,
    /// A second run of a request whose first run is still in progress.
    Run,
    /// A call made by a repeated run.
    Call,
}

impl RepeatKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Retry => "try",
            Self::Run => "run",
            Self::Call => "call",
        }
    }
}

/// The retry budgets of one node, one for each service.
pub(crate) struct Budgets {
    clock: Clock,
    trail: Rc<Trail>,
    state: RefCell<RepeatBudgets>,
    /// When the usage was last logged, and the values that were logged for each service.
    logged_at: Cell<Millis>,
    logged: RefCell<HashMap<CompactString, BudgetUsage>>,
}

impl Budgets {
    /// Returns the budgets of a node that starts now; `first` is whether the whole system
    /// starts for the first time.
    pub(crate) fn new(clock: Clock, trail: Rc<Trail>, bounds: Bounds, first: bool) -> Self {
        let now = clock.now();
        let bound = RepeatBound {
            percent: (bounds.retry_budget_ratio * 100.0) as u64,
            slack: bounds.budget_slack,
            window_ms: bounds.budget_window_ms,
        };
        Self {
            clock,
            trail,
            state: RefCell::new(RepeatBudgets::new(now, bound, first)),
            logged_at: Cell::new(now),
            logged: RefCell::default(),
        }
    }

    /// Sets the slack of all budgets.
    pub(crate) fn set_slack(&self, slack: u64) {
        self.state.borrow_mut().set_slack(slack);
    }

    /// Records the number of nodes in the server list, including this one.
    pub(crate) fn observe_nodes(&self, nodes: u64) {
        self.state.borrow_mut().observe_nodes(nodes);
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, service: &str) {
        let now = self.clock.now();
        self.state.borrow_mut().deposit(now, service);
    }

    /// Reserves a repeat at a service, or returns none if its budget is exhausted.
    pub(crate) fn reserve(self: &Rc<Self>, service: &str, kind: RepeatKind) -> Option<Reservation> {
        let now = self.clock.now();
        let allowed = self.state.borrow_mut().reserve(now, service);
        allowed.then(|| Reservation::new(self, service, kind))
    }

    /// Reserves the calls of a repeated run on a route, or returns none if one of their budgets is
    /// exhausted.
    pub(crate) fn reserve_calls(self: &Rc<Self>, route: u64) -> Option<CallReservations> {
        let now = self.clock.now();
        let reserved = self.state.borrow_mut().reserve_calls(now, route)?;
        Some(CallReservations {
            budgets: Rc::clone(self),
            reserved,
        })
    }

    /// Records the calls that a run on a route made.
    pub(crate) fn record_calls(&self, route: u64, made: &ServiceCalls) {
        self.state.borrow_mut().record_calls(route, made);
    }

    /// Logs the usage of the budgets once a second, for services where it has changed.
    pub(crate) fn tick(&self, now: Millis) {
        if now.since(self.logged_at.get()) < REPORT_MS {
            return;
        }
        self.logged_at.set(now);
        let mut state = self.state.borrow_mut();
        let nodes = state.nodes(now);
        for (service, usage) in state.usage(now) {
            let last = self.logged.borrow_mut().insert(service.clone(), usage);
            let last = last.unwrap_or_default();
            if (last.repeats, last.calls) == (usage.repeats, usage.calls) {
                continue;
            }
            self.trail.note(Event::BudgetSpent {
                service,
                requests: usage.requests,
                repeats: usage.repeats,
                calls: usage.calls,
                allowed: usage.allowed,
                nodes,
            });
        }
    }
}

/// A repeat reserved in the budget of its service.
///
/// On drop it counts as spent if it was marked as sent, and is returned to the budget otherwise.
pub(crate) struct Reservation {
    budgets: Rc<Budgets>,
    service: CompactString,
    kind: RepeatKind,
    sent: bool,
}

impl Reservation {
    /// Wraps a repeat that is already reserved.
    fn new(budgets: &Rc<Budgets>, service: &str, kind: RepeatKind) -> Self {
        Self {
            budgets: Rc::clone(budgets),
            service: service.into(),
            kind,
            sent: false,
        }
    }

    /// Marks the repeat as sent: from now on it may reach a backend server.
    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Marks the repeat as not sent, since it reached no backend server and may go to another one.
    pub(crate) fn mark_unsent(&mut self) {
        self.sent = false;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.budgets.clock.now();
        let mut state = self.budgets.state.borrow_mut();
        if !self.sent {
            return state.release(now, &self.service);
        }
        state.record_arrival(now, &self.service, self.kind == RepeatKind::Call);
        self.budgets.trail.counts.repeats.add(self.kind.as_str());
    }
}

/// The calls reserved for a repeated run.
///
/// Calls that were not made are returned to their budgets on drop.
pub(crate) struct CallReservations {
    budgets: Rc<Budgets>,
    reserved: ServiceCalls,
}

impl CallReservations {
    /// Takes the reservation for the next call to a service. A call beyond the reserved ones is
    /// reserved without a check, since it cannot be refused once its run has begun.
    pub(crate) fn take(&mut self, service: &str) -> Reservation {
        let mut reserved = self.reserved.iter_mut();
        match reserved.find(|(name, calls)| name == service && *calls > 0) {
            Some((_, calls)) => *calls -= 1,
            None => {
                let now = self.budgets.clock.now();
                self.budgets.state.borrow_mut().force_reserve(now, service);
            }
        }
        Reservation::new(&self.budgets, service, RepeatKind::Call)
    }
}

impl Drop for CallReservations {
    fn drop(&mut self) {
        let now = self.budgets.clock.now();
        self.budgets
            .state
            .borrow_mut()
            .release_calls(now, &self.reserved);
    }
}
