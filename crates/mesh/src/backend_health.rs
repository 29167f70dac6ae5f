//! When the backend server was heard last, and whether it is lost.

use std::cell::Cell;
use std::rc::Rc;

use oriolering::{Clock, Millis};

use crate::trail::{Event, Trail, clip};

/// The unanswered probes after which the backend server counts as down.
const PROBES_LOST: u32 = 3;

/// What a gate last heard of its backend server.
pub(crate) struct BackendHealth {
    clock: Clock,
    trail: Rc<Trail>,
    heard: Cell<Millis>,
    probes_lost: Cell<u32>,
    down_since: Cell<Option<Millis>>,
}

impl BackendHealth {
    /// Returns the pulse of a backend server that is taken to be there.
    pub(crate) fn new(clock: Clock, trail: Rc<Trail>) -> Self {
        let now = clock.now();
        Self {
            clock,
            trail,
            heard: Cell::new(now),
            probes_lost: Cell::new(0),
            down_since: Cell::new(None),
        }
    }

    /// Notes that the backend server told its load.
    pub(crate) fn hear(&self) {
        self.heard.set(self.clock.now());
        self.probes_lost.set(0);
    }

    /// Notes that a probe had no answer, and returns whether the backend server counts as down
    /// from now on.
    pub(crate) fn miss(&self) -> bool {
        self.heard.set(self.clock.now());
        self.probes_lost.set(self.probes_lost.get() + 1);
        self.probes_lost.get() == PROBES_LOST
    }

    /// Forgets the probes that were lost, since the backend server is another one.
    pub(crate) fn renew(&self) {
        self.probes_lost.set(0);
    }

    /// Returns the age of the backend server's last word, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.clock.now().since(self.heard.get())
    }

    /// Writes down that the backend server is lost.
    pub(crate) fn note_lost(&self, server: &str, error: &str) {
        self.down_since.set(Some(self.clock.now()));
        self.trail.note(Event::ServerDown {
            server: server.into(),
            error: clip(error),
            probes_lost: self.probes_lost.get(),
            heard_ms: self.age_ms(),
        });
    }

    /// Writes down that the backend server is back, if it was lost.
    pub(crate) fn note_up(&self, server: &str) {
        if let Some(since) = self.down_since.take() {
            self.trail.note(Event::ServerUp {
                server: server.into(),
                down_ms: self.clock.now().since(since),
            });
        }
    }
}
