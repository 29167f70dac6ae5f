//! The budgets for second tries of one node, by service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{FleetBudget, Millis, Spending};
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
    trail: Rc<Trail>,
    entries: RefCell<HashMap<CompactString, Entry>>,
    told: Cell<Millis>,
}

impl Budgets {
    /// Returns the budgets of a node that starts now.
    pub(crate) fn new(trail: Rc<Trail>, now: Millis) -> Self {
        Self {
            trail,
            entries: RefCell::default(),
            told: Cell::new(now),
        }
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, now: Millis, service: &str, bounds: Bounds, nodes: u64) {
        self.with(service, bounds, nodes, |budget| budget.deposit(now));
    }

    /// Spends on a second try or run, if the budget allows it.
    pub(crate) fn spend(
        &self,
        now: Millis,
        service: &str,
        bounds: Bounds,
        nodes: u64,
        repeat: Repeat,
    ) -> bool {
        let allowed = self.with(service, bounds, nodes, |budget| {
            let allowed = budget.allows(now);
            if allowed {
                budget.spend(now);
            }
            allowed
        });
        if allowed {
            self.trail.counts.repeats.add(repeat.as_str());
        }
        allowed
    }

    /// Counts a call that a repeated run made.
    pub(crate) fn note_call(&self, now: Millis, service: &str, bounds: Bounds, nodes: u64) {
        self.with(service, bounds, nodes, |budget| budget.note_call(now));
        self.trail.counts.repeats.add(Repeat::Call.as_str());
    }

    /// Tells once a second what was spent, if that has changed.
    pub(crate) fn tick(&self, now: Millis, nodes: u64) {
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
                nodes,
            });
        }
    }

    fn with<T>(
        &self,
        service: &str,
        bounds: Bounds,
        nodes: u64,
        change: impl FnOnce(&mut FleetBudget) -> T,
    ) -> T {
        let slack = bounds.budget_slack / nodes;
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(service.into()).or_insert_with(|| {
            let percent = (bounds.retry_budget_ratio * 100.0) as u64;
            Entry {
                budget: FleetBudget::new(percent, slack, bounds.budget_window_ms),
                told: Spending::default(),
            }
        });
        entry.budget.set_slack(slack);
        change(&mut entry.budget)
    }
}
