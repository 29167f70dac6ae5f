//! The requests that run at the local backend server, and the calls that they make.

use std::cell::RefCell;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::ServiceCalls;

use crate::budgets::{Budgets, CallReservations, Reservation};
use crate::frame::Offer;

/// The number of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
struct RunKey(u64);

struct Run {
    key: RunKey,
    request: CompactString,
    route: u64,
    /// What allows its calls, if it is a repeat.
    holds: Option<CallReservations>,
    made: ServiceCalls,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    next: u64,
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
    /// Returns no runs; what they call is told to `budgets`.
    pub(crate) fn new(budgets: Rc<Budgets>) -> Self {
        Self {
            budgets,
            state: RefCell::default(),
        }
    }

    /// Notes that a request runs, until what is returned is dropped; a repeat comes with what
    /// allows its calls.
    pub(crate) fn enter(&self, offer: &Offer, holds: Option<CallReservations>) -> Running<'_> {
        let mut state = self.state.borrow_mut();
        let key = RunKey(state.next);
        state.next += 1;
        state.runs.push(Run {
            key,
            request: offer.request.clone(),
            route: offer.route,
            holds,
            made: ServiceCalls::new(),
        });
        Running { runs: self, key }
    }

    /// Notes that a run of the request `parent` makes a call to a service, and returns what
    /// counts as a repeat there if the run is one.
    pub(crate) fn call(&self, parent: &str, service: &str) -> Option<Reservation> {
        let mut state = self.state.borrow_mut();
        let mut named = state.runs.iter_mut().filter(|run| run.request == parent);
        let run = named.next()?;
        match run.made.iter_mut().find(|(called, _)| called == service) {
            Some((_, calls)) => *calls += 1,
            None => run.made.push((service.into(), 1)),
        }
        run.holds.as_mut().map(|holds| holds.take(service))
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
            self.runs.budgets.record_calls(run.route, &run.made);
        }
    }
}
