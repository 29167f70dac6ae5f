//! The budgets for repeats of one node, by service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Clock, FleetBudget, Millis, SlackShare, Spending};
use oriolering_platform::Bounds;

use crate::trail::{Event, Trail};

/// The time between two lines on the budget of one service, in milliseconds.
const TELL_MS: u64 = 1_000;

/// What was sent again, or made by what was sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// A request that is sent again after an attempt ended.
    Try,
    /// A second run beside one that is under way.
    Run,
    /// A call that a repeated run made.
    Call,
}

impl Repeat {
    fn as_str(self) -> &'static str {
        match self {
            Self::Try => "try",
            Self::Run => "run",
            Self::Call => "call",
        }
    }
}

struct Entry {
    budget: FleetBudget,
    /// What was told last.
    told: Spending,
}

/// The budgets of the services that requests entered for.
pub(crate) struct Budgets {
    clock: Clock,
    trail: Rc<Trail>,
    bounds: Cell<Bounds>,
    /// This node's part of the slack.
    share: Cell<SlackShare>,
    entries: RefCell<HashMap<CompactString, Entry>>,
    told: Cell<Millis>,
}

impl Budgets {
    /// Returns the budgets of a node that starts now.
    ///
    /// `first` tells whether the whole system starts for the first time.
    pub(crate) fn new(clock: Clock, trail: Rc<Trail>, bounds: Bounds, first: bool) -> Self {
        let now = clock.now();
        Self {
            clock,
            trail,
            bounds: Cell::new(bounds),
            share: Cell::new(SlackShare::new(now, first)),
            entries: RefCell::default(),
            told: Cell::new(now),
        }
    }

    /// Puts other bounds in force.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// Takes in how many nodes the list names, this one included.
    pub(crate) fn see_nodes(&self, nodes: u64) {
        let mut share = self.share.get();
        share.see(nodes);
        self.share.set(share);
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, service: &str) {
        let now = self.clock.now();
        self.with(service, |budget| budget.deposit(now));
    }

    /// Holds a repeat at a service, if its budget allows that.
    pub(crate) fn hold(self: &Rc<Self>, service: &str, kind: Repeat) -> Option<Hold> {
        let now = self.clock.now();
        let allowed = self.with(service, |budget| budget.hold(now));
        allowed.then(|| Hold {
            budgets: Rc::clone(self),
            service: service.into(),
            kind,
            sent: false,
        })
    }

    /// Holds a repeat that cannot be refused any more, whatever the budget allows.
    pub(crate) fn force(self: &Rc<Self>, service: &str, kind: Repeat) -> Hold {
        self.with(service, FleetBudget::force);
        Hold {
            budgets: Rc::clone(self),
            service: service.into(),
            kind,
            sent: false,
        }
    }

    /// Tells once a second what was spent, if that has changed.
    pub(crate) fn tick(&self, now: Millis) {
        if now.since(self.told.get()) < TELL_MS {
            return;
        }
        self.told.set(now);
        for (service, entry) in self.entries.borrow_mut().iter_mut() {
            let spending = entry.budget.spending(now);
            let told = std::mem::replace(&mut entry.told, spending);
            if (told.repeats, told.calls) == (spending.repeats, spending.calls) {
                continue;
            }
            self.trail.note(Event::BudgetSpent {
                service: service.clone(),
                requests: spending.requests,
                repeats: spending.repeats,
                calls: spending.calls,
                allowed: spending.allowed,
                nodes: self.nodes(),
            });
        }
    }

    /// Returns how many nodes the slack is divided among, if this one has a part of it.
    fn nodes(&self) -> Option<u64> {
        let window_ms = self.bounds.get().budget_window_ms;
        self.share.get().nodes(self.clock.now(), window_ms)
    }

    fn with<T>(&self, service: &str, change: impl FnOnce(&mut FleetBudget) -> T) -> T {
        let bounds = self.bounds.get();
        let nodes = self.nodes();
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(service.into()).or_insert_with(|| {
            let percent = (bounds.retry_budget_ratio * 100.0) as u64;
            Entry {
                budget: FleetBudget::new(percent, bounds.budget_window_ms),
                told: Spending::default(),
            }
        });
        entry.budget.set_slack(bounds.budget_slack, nodes);
        change(&mut entry.budget)
    }
}

/// A repeat that its budget allows.
///
/// It counts as arrived when it is dropped after it was sent, and is given back otherwise.
pub(crate) struct Hold {
    budgets: Rc<Budgets>,
    service: CompactString,
    kind: Repeat,
    sent: bool,
}

impl Hold {
    /// Returns whether the repeat goes to this service.
    pub(crate) fn is_for(&self, service: &str) -> bool {
        self.service == service
    }

    /// Notes that the repeat is on its way, and may arrive from now on.
    pub(crate) fn send(&mut self) {
        self.sent = true;
    }

    /// Notes that the repeat did not arrive, and may be sent elsewhere.
    pub(crate) fn take_back(&mut self) {
        self.sent = false;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if !self.sent {
            return self.budgets.with(&self.service, FleetBudget::release);
        }
        let now = self.budgets.clock.now();
        let is_call = self.kind == Repeat::Call;
        self.budgets.with(&self.service, |budget| {
            budget.arrive(now);
            if is_call {
                budget.note_call(now);
            }
        });
        self.budgets.trail.counts.repeats.add(self.kind.as_str());
    }
}
