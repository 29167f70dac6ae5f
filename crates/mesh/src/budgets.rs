//! The budgets for repeats of one node, as attempts and runs hold them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{BudgetUsage, Clock, Millis, RepeatBound, RepeatBudgets, ServiceCalls};
use oriolering_platform::Bounds;

use crate::trail::{Event, Trail};

/// The time between two lines on the budget of one service, in milliseconds.
const TELL_MS: u64 = 1_000;

/// What was sent again, or made by what was sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepeatKind {
    /// A request that is sent again after an attempt ended.
    Retry,
    /// A second run beside one that is under way.
    Run,
    /// A call that a repeated run made.
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

/// The budgets for repeats of one node.
pub(crate) struct Budgets {
    clock: Clock,
    trail: Rc<Trail>,
    state: RefCell<RepeatBudgets>,
    /// When lines were written last, and what they told.
    told_at: Cell<Millis>,
    told: RefCell<HashMap<CompactString, BudgetUsage>>,
}

impl Budgets {
    /// Returns the budgets of a node that starts now; `first` tells whether the whole system
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
            told_at: Cell::new(now),
            told: RefCell::default(),
        }
    }

    /// Puts another slack in force.
    pub(crate) fn set_slack(&self, slack: u64) {
        self.state.borrow_mut().set_slack(slack);
    }

    /// Takes in how many nodes the list names, this one included.
    pub(crate) fn observe_nodes(&self, nodes: u64) {
        self.state.borrow_mut().observe_nodes(nodes);
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, service: &str) {
        let now = self.clock.now();
        self.state.borrow_mut().deposit(now, service);
    }

    /// Holds a repeat at a service, if its budget allows that.
    pub(crate) fn reserve(self: &Rc<Self>, service: &str, kind: RepeatKind) -> Option<Reservation> {
        let now = self.clock.now();
        let allowed = self.state.borrow_mut().reserve(now, service);
        allowed.then(|| Reservation::new(self, service, kind))
    }

    /// Holds the calls of a repeated run on a route, if all their budgets allow that.
    pub(crate) fn reserve_calls(self: &Rc<Self>, route: u64) -> Option<CallReservations> {
        let now = self.clock.now();
        let held = self.state.borrow_mut().reserve_calls(now, route)?;
        Some(CallReservations {
            budgets: Rc::clone(self),
            held,
        })
    }

    /// Takes in the calls that a run on a route made.
    pub(crate) fn record_calls(&self, route: u64, made: &ServiceCalls) {
        self.state.borrow_mut().record_calls(route, made);
    }

    /// Tells once a second what was spent, if that has changed.
    pub(crate) fn tick(&self, now: Millis) {
        if now.since(self.told_at.get()) < TELL_MS {
            return;
        }
        self.told_at.set(now);
        let mut state = self.state.borrow_mut();
        let nodes = state.nodes(now);
        for (service, spending) in state.usage(now) {
            let told = self.told.borrow_mut().insert(service.clone(), spending);
            let told = told.unwrap_or_default();
            if (told.repeats, told.calls) == (spending.repeats, spending.calls) {
                continue;
            }
            self.trail.note(Event::BudgetSpent {
                service,
                requests: spending.requests,
                repeats: spending.repeats,
                calls: spending.calls,
                allowed: spending.allowed,
                nodes,
            });
        }
    }
}

/// A repeat that its budget allows.
///
/// It counts as arrived when it is dropped after it was sent, and is given back otherwise.
pub(crate) struct Reservation {
    budgets: Rc<Budgets>,
    service: CompactString,
    kind: RepeatKind,
    sent: bool,
}

impl Reservation {
    /// Returns what stands for a repeat that is held already.
    fn new(budgets: &Rc<Budgets>, service: &str, kind: RepeatKind) -> Self {
        Self {
            budgets: Rc::clone(budgets),
            service: service.into(),
            kind,
            sent: false,
        }
    }

    /// Notes that the repeat is on its way, and may arrive from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that the repeat did not arrive, and may be sent elsewhere.
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

/// The calls of a repeated run that their budgets allow; those not made are given back.
pub(crate) struct CallReservations {
    budgets: Rc<Budgets>,
    held: ServiceCalls,
}

impl CallReservations {
    /// Returns what the next call to a service counts as. A call beyond those that were held can
    /// not be refused any more, since its run has begun.
    pub(crate) fn take(&mut self, service: &str) -> Reservation {
        let mut held = self.held.iter_mut();
        match held.find(|(named, calls)| named == service && *calls > 0) {
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
            .release_calls(now, &self.held);
    }
}
