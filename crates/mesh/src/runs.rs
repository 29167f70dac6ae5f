//! The requests that the local backend server runs, and the calls that they make.

use std::cell::RefCell;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::ServiceCalls;

use crate::budgets::{Budgets, CallReservations, Reservation};
use crate::frame::Offer;

/// Identifies a run.
#[derive(Clone, Copy, PartialEq, Eq)]
struct RunKey(u64);

struct Run {
    key: RunKey,
    request: CompactString,
    route: u64,
    /// The budget reserved for its calls, if it is a repeat.
    holds: Option<CallReservations>,
    calls: ServiceCalls,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    next_key: u64,
}

/// The requests that the local backend server runs.
///
/// The calls of a repeated run count as repeats at the services that it calls. They enter the mesh
/// at the node of its backend server, so that node's budgets have to allow them before the run
/// begins.
pub(crate) struct Runs {
    budgets: Rc<Budgets>,
    state: RefCell<State>,
}

impl Runs {
    /// Creates an empty set; the calls of finished runs are reported to `budgets`.
    pub(crate) fn new(budgets: Rc<Budgets>) -> Self {
        Self {
            budgets,
            state: RefCell::default(),
        }
    }

    /// Adds a run until the returned guard is dropped; `holds` is the budget reserved for the calls
    /// of a repeat.
    pub(crate) fn start(&self, offer: &Offer, holds: Option<CallReservations>) -> RunGuard<'_> {
        let mut state = self.state.borrow_mut();
        let key = RunKey(state.next_key);
        state.next_key += 1;
        state.runs.push(Run {
            key,
            request: offer.request.clone(),
            route: offer.route,
            holds,
            calls: ServiceCalls::new(),
        });
        RunGuard { runs: self, key }
    }

    /// Returns whether the backend server runs this request.
    pub(crate) fn contains(&self, request: &str) -> bool {
        let state = self.state.borrow();
        state.runs.iter().any(|run| run.request == request)
    }

    /// Records a call to a service by a run of the request `parent`; returns its reserved budget if
    /// the run is a repeat.
    pub(crate) fn record_call(&self, parent: &str, service: &str) -> Option<Reservation> {
        let mut state = self.state.borrow_mut();
        let mut matching = state.runs.iter_mut().filter(|run| run.request == parent);
        let run = matching.next()?;
        match run.calls.iter_mut().find(|(called, _)| called == service) {
            Some((_, count)) => *count += 1,
            None => run.calls.push((service.into(), 1)),
        }
        run.holds.as_mut().map(|holds| holds.take(service))
    }
}

/// Removes its run when it is dropped, and reports the calls of the run to the budgets.
pub(crate) struct RunGuard<'a> {
    runs: &'a Runs,
    key: RunKey,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.runs.state.borrow_mut();
        let index = state.runs.iter().position(|run| run.key == self.key);
        if let Some(index) = index {
            let run = state.runs.swap_remove(index);
            self.runs.budgets.record_calls(run.route, &run.calls);
        }
    }
}
