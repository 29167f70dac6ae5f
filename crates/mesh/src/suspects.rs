//! Requests that were in flight when backend servers crashed, as one node knows them.
//!
//! The load that this answers: a request that crashes each backend server that runs it, and
//! comes again. Only a refused connection, or another identity behind the same address, counts
//! as a crash: a connection alone is also reset when the backend server is full.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use oriolering::{Clock, Incarnation, Millis, Quarantine, QuarantineEntry, QuarantineSettings};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::frame::{Frame, Offer};
use crate::trail::{Event, Trail, clip};

/// How many requests are kept, and for how long: the defaults of the older path's settings,
/// ten minutes being the time in which somebody can mend the backend server.
const SETTINGS: QuarantineSettings = QuarantineSettings {
    capacity: 256,
    quarantine_ms: 600_000,
    suspect_ms: 600_000,
};
/// How long after its exchange broke a request may be the cause of a crash that is seen, in
/// milliseconds; the gate looks at once, and probes twenty times a second.
const BROKEN_MS: u64 = 300;
/// The most requests that a peer may clear with one message; as many as it may name suspects.
const CLEARED_MAX: usize = 64;

/// A request at the local backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct InFlight {
    fingerprint: u64,
    request: CompactString,
}

/// The suspects of one node, its quarantined requests, and what may become one.
pub(crate) struct Suspects {
    clock: Clock,
    trail: Rc<Trail>,
    table: RefCell<Quarantine>,
    running: RefCell<Vec<InFlight>>,
    broken: RefCell<Vec<(Millis, InFlight)>>,
    /// Held by the one suspect that may run here.
    turn: Mutex<()>,
}

impl Suspects {
    /// Returns the suspects of a node with this incarnation, which knows of none.
    pub(crate) fn new(clock: Clock, trail: Rc<Trail>, incarnation: u64) -> Self {
        Self {
            clock,
            trail,
            table: RefCell::new(Quarantine::new(SETTINGS, Incarnation(incarnation))),
            running: RefCell::default(),
            broken: RefCell::default(),
            turn: Mutex::default(),
        }
    }

    /// Returns how long a request is still refused, in milliseconds.
    pub(crate) fn remaining_ms(&self, fingerprint: u64) -> Option<u64> {
        let now = self.clock.now();
        self.table.borrow().remaining_ms(now, fingerprint)
    }

    /// Returns whether a request was in flight at a crash and has not been cleared.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        let now = self.clock.now();
        self.table.borrow().is_suspect(now, fingerprint)
    }

    /// Waits until a request may run; suspects run one at a time, so that a second crash names
    /// one of them.
    ///
    /// # Errors
    ///
    /// Returns an error when its turn does not come within `left_ms` milliseconds.
    pub(crate) async fn acquire_turn(
        &self,
        fingerprint: u64,
        left_ms: u64,
    ) -> Result<Option<MutexGuard<'_, ()>>, Elapsed> {
        if !self.is_suspect(fingerprint) {
            return Ok(None);
        }
        let within = Duration::from_millis(left_ms);
        timeout(within, self.turn.lock()).await.map(Some)
    }

    /// Notes that a request is at the backend server, until what is returned is dropped.
    pub(crate) fn track(&self, offer: &Offer) -> Running<'_> {
        let flight = InFlight {
            fingerprint: offer.fingerprint,
            request: clip(&offer.request),
        };
        self.running.borrow_mut().push(flight.clone());
        Running {
            suspects: self,
            flight,
        }
    }

    /// Notes that nobody listens any more where the backend server did, and returns what other
    /// nodes are told of that.
    pub(crate) fn record_crash(&self, server: &str) -> Option<Frame> {
        let mut flights = self.take_broken();
        flights.extend(self.running.borrow().iter().cloned());
        self.suspect(server, &flights)
    }

    /// Notes that another backend server answers where `server` did, and returns what other
    /// nodes are told of that.
    pub(crate) fn record_replacement(&self, server: &str) -> Option<Frame> {
        let flights = self.take_broken();
        self.suspect(server, &flights)
    }

    /// Notes that a request finished a run, and returns what other nodes are told of that.
    pub(crate) fn record_finish(&self, fingerprint: u64) -> Option<Frame> {
        self.clear(fingerprint).then(|| Frame::Suspects {
            entries: Vec::new(),
            cleared: vec![fingerprint],
        })
    }

    /// Takes in what a peer tells, and returns what all are to be told in turn.
    pub(crate) fn import(&self, entries: &[QuarantineEntry], cleared: &[u64]) -> Option<Frame> {
        let now = self.clock.now();
        let fresh: Vec<u64> = entries
            .iter()
            .map(|entry| entry.fingerprint)
            .filter(|f| self.remaining_ms(*f).is_none())
            .collect();
        let innocent = self.table.borrow_mut().import(now, entries);
        for fingerprint in fresh {
            self.note_quarantined(fingerprint);
        }
        for fingerprint in cleared.iter().take(CLEARED_MAX) {
            self.clear(*fingerprint);
        }
        (!innocent.is_empty()).then_some(Frame::Suspects {
            entries: Vec::new(),
            cleared: innocent,
        })
    }

    /// Returns what a node that has just linked is told.
    pub(crate) fn snapshot(&self) -> Option<Frame> {
        let entries = self.table.borrow().export(self.clock.now());
        (!entries.is_empty()).then_some(Frame::Suspects {
            entries,
            cleared: Vec::new(),
        })
    }

    /// Takes the requests whose exchange broke a moment ago.
    fn take_broken(&self) -> Vec<InFlight> {
        let now = self.clock.now();
        let broken = std::mem::take(&mut *self.broken.borrow_mut());
        let recent = broken
            .into_iter()
            .filter(|(at, _)| now.since(*at) < BROKEN_MS);
        recent.map(|(_, flight)| flight).collect()
    }

    fn suspect(&self, server: &str, flights: &[InFlight]) -> Option<Frame> {
        if flights.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let prints: Vec<u64> = flights.iter().map(|f| f.fingerprint).collect();
        self.table.borrow_mut().record_crash(now, &prints);
        for flight in flights {
            self.trail.note(Event::Suspected {
                request: flight.request.clone(),
                server: server.into(),
                fingerprint: hex(flight.fingerprint),
                verdict: self.verdict(flight.fingerprint),
            });
        }
        let mut entries = self.table.borrow().export(now);
        entries.retain(|entry| prints.contains(&entry.fingerprint));
        for entry in &entries {
            self.note_quarantined(entry.fingerprint);
        }
        Some(Frame::Suspects {
            entries,
            cleared: Vec::new(),
        })
    }

    fn verdict(&self, fingerprint: u64) -> &'static str {
        match (self.remaining_ms(fingerprint), self.is_suspect(fingerprint)) {
            (Some(_), _) => "quarantined",
            (None, true) => "suspect",
            (None, false) => "innocent",
        }
    }

    /// Writes down that a request is refused from now on, if it is.
    fn note_quarantined(&self, fingerprint: u64) {
        if let Some(for_ms) = self.remaining_ms(fingerprint) {
            self.trail.note(Event::RequestQuarantined {
                fingerprint: hex(fingerprint),
                for_ms,
            });
        }
    }

    /// Clears a request, and returns whether it was suspect or quarantined.
    fn clear(&self, fingerprint: u64) -> bool {
        let now = self.clock.now();
        let was = self.table.borrow_mut().record_finish(now, fingerprint);
        if was {
            self.trail.note(Event::RequestCleared {
                fingerprint: hex(fingerprint),
            });
        }
        was
    }
}

fn hex(fingerprint: u64) -> CompactString {
    format_compact!("{fingerprint:016x}")
}

/// A request at the backend server, until it is dropped.
pub(crate) struct Running<'a> {
    suspects: &'a Suspects,
    flight: InFlight,
}

impl Running<'_> {
    /// Notes that its exchange broke, for which a crash may be the reason.
    pub(crate) fn record_broken(&self) {
        let now = self.suspects.clock.now();
        let mut broken = self.suspects.broken.borrow_mut();
        broken.retain(|(at, _)| now.since(*at) < BROKEN_MS);
        broken.push((now, self.flight.clone()));
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut running = self.suspects.running.borrow_mut();
        if let Some(index) = running.iter().position(|f| *f == self.flight) {
            running.swap_remove(index);
        }
    }
}
