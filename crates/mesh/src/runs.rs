//! The requests that run at the local backend server, and the calls that they make.

use std::cell::RefCell;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{CallCounts, Calls};

use crate::budgets::{Budgets, Hold, Repeat};
use crate::frame::Offer;

/// What a repeated run may cost the services that it calls.
pub(crate) type CallHolds = Vec<Hold>;

/// The number of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
struct RunKey(u64);

struct Run {
    key: RunKey,
    request: CompactString,
    route: u64,
    /// What allows its calls, if it is a repeat.
    holds: Option<CallHolds>,
    made: Calls,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    next: u64,
    counts: CallCounts,
}

/// The requests that run at the local backend server.
///
/// The calls of a repeated run are repeats at the services that it calls. They enter at the node
/// beside its backend server, so that node's budgets have to allow them before the run begins.
pub(crate) struct Runs {
    budgets: Rc<Budgets>,
    state: RefCell<State>,
}

impl Runs {
    /// Returns no runs; their calls are held from `budgets`.
    pub(crate) fn new(budgets: Rc<Budgets>) -> Self {
        Self {
            budgets,
            state: RefCell::default(),
        }
    }

    /// Holds the calls that a repeated run on a route is expected to make, if the budgets of all
    /// services that it calls allow that.
    pub(crate) fn hold_calls(&self, route: u64) -> Option<CallHolds> {
        let state = self.state.borrow();
        let mut holds = CallHolds::new();
        for most in state.counts.most(route) {
            for _ in 0..most.calls {
                holds.push(self.budgets.hold(&most.service, Repeat::Call)?);
            }
        }
        Some(holds)
    }

    /// Notes that a request runs, until what is returned is dropped; a repeat comes with what
    /// allows its calls.
    pub(crate) fn enter(&self, offer: &Offer, holds: Option<CallHolds>) -> Running<'_> {
        let mut state = self.state.borrow_mut();
        let key = RunKey(state.next);
        state.next += 1;
        state.runs.push(Run {
            key,
            request: offer.request.clone(),
            route: offer.route,
            holds,
            made: Calls::new(),
        });
        Running { runs: self, key }
    }

    /// Notes that a run of the request `parent` makes a call to a service, and returns what
    /// counts as a repeat there if the run is one.
    pub(crate) fn call(&self, parent: &str, service: &str) -> Option<Hold> {
        let mut state = self.state.borrow_mut();
        let mut named = state.runs.iter_mut().filter(|run| run.request == parent);
        let run = named.next()?;
        match run.made.iter_mut().find(|(called, _)| called == service) {
            Some((_, calls)) => *calls += 1,
            None => run.made.push((service.into(), 1)),
        }
        let holds = run.holds.as_mut()?;
        match holds.iter().position(|hold| hold.is_for(service)) {
            Some(index) => Some(holds.swap_remove(index)),
            None => Some(self.budgets.force(service, Repeat::Call)),
        }
    }
}

/// A request that runs.
pub(crate) struct Running<'a> {
    runs: &'a Runs,
    key: RunKey,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.runs.state.borrow_mut();
        let index = state.runs.iter().position(|run| run.key == self.key);
        if let Some(index) = index {
            let run = state.runs.swap_remove(index);
            state.counts.record(run.route, &run.made);
        }
    }
}
