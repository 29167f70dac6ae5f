//! Tracks when the backend server last reported its load, and whether it is down.

use std::cell::Cell;
use std::rc::Rc;

use oriolering::{Clock, Millis};

use crate::trail::{Event, Trail, clip};

/// How many unanswered probes in a row mark the backend server as down.
const MAX_LOST_PROBES: u32 = 3;

/// The health of the backend server, as its gate sees it.
pub(crate) struct BackendHealth {
    clock: Clock,
    trail: Rc<Trail>,
    last_report: Cell<Millis>,
    probes_lost: Cell<u32>,
    down_since: Cell<Option<Millis>>,
}

impl BackendHealth {
    /// Creates the state of a backend server that is assumed to be up.
    pub(crate) fn new(clock: Clock, trail: Rc<Trail>) -> Self {
        let now = clock.now();
        Self {
            clock,
            trail,
            last_report: Cell::new(now),
            probes_lost: Cell::new(0),
            down_since: Cell::new(None),
        }
    }

    /// Records that the backend server reported its load.
    pub(crate) fn record_report(&self) {
        self.last_report.set(self.clock.now());
        self.probes_lost.set(0);
    }

    /// Records an unanswered probe; returns whether the backend server counts as down from now on.
    pub(crate) fn record_lost_probe(&self) -> bool {
        self.last_report.set(self.clock.now());
        self.probes_lost.set(self.probes_lost.get() + 1);
        self.probes_lost.get() == MAX_LOST_PROBES
    }

    /// Resets the lost probes, since another backend server has taken the address.
    pub(crate) fn reset(&self) {
        self.probes_lost.set(0);
    }

    /// Returns the time since the last report or lost probe, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.clock.now().since(self.last_report.get())
    }

    /// Logs that the backend server is down.
    pub(crate) fn log_down(&self, server: &str, error: &str) {
        self.down_since.set(Some(self.clock.now()));
        self.trail.note(Event::ServerDown {
            server: server.into(),
            error: clip(error),
            probes_lost: self.probes_lost.get(),
            heard_ms: self.age_ms(),
        });
    }

    /// Logs that the backend server is up again, if it was down.
    pub(crate) fn log_up(&self, server: &str) {
        if let Some(since) = self.down_since.take() {
            self.trail.note(Event::ServerUp {
                server: server.into(),
                down_ms: self.clock.now().since(since),
            });
        }
    }
}
