//! Tracks the requests that were in flight when backend servers crashed.
//!
//! This guards against a request that crashes each backend server that runs it and is sent again.
//! Only a refused connection, or another backend server at the same address, counts as a crash: a
//! reset connection alone does not, since a full backend server also resets connections.

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

/// How many requests are tracked, and for how long. The values are the defaults of the older data
/// path; ten minutes give somebody the time to repair the backend server.
const SETTINGS: QuarantineSettings = QuarantineSettings {
    capacity: 256,
    quarantine_ms: 600_000,
    suspect_ms: 600_000,
};
/// How long after its connection broke a request may be the cause of a detected crash, in
/// milliseconds; the gate checks at once, and probes twenty times a second.
const BROKEN_MS: u64 = 300;
/// The maximum number of requests that a peer may clear with one message; the same as the number
/// of suspects in one message.
const CLEARED_MAX: usize = 64;

/// A request at the local backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct InFlight {
    fingerprint: u64,
    request: CompactString,
}

/// The suspects and quarantined requests of one node, and the requests that may become suspects.
pub(crate) struct Suspects {
    clock: Clock,
    trail: Rc<Trail>,
    table: RefCell<Quarantine>,
    running: RefCell<Vec<InFlight>>,
    broken: RefCell<Vec<(Millis, InFlight)>>,
    /// Locked by the one suspect that may run here.
    turn: Mutex<()>,
}

impl Suspects {
    /// Returns an empty table for a node with this incarnation.
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

    /// Returns how long a request is still quarantined, in milliseconds, or none if it is not.
    pub(crate) fn remaining_ms(&self, fingerprint: u64) -> Option<u64> {
        let now = self.clock.now();
        self.table.borrow().remaining_ms(now, fingerprint)
    }

    /// Returns whether a request was in flight at a crash and has not been cleared since.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        let now = self.clock.now();
        self.table.borrow().is_suspect(now, fingerprint)
    }

    /// Waits until a request may run. Suspects run one at a time, so that a second crash identifies
    /// the one that caused it.
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

    /// Tracks a request as running at the backend server until the returned guard is dropped.
    pub(crate) fn track(&self, offer: &Offer) -> Running<'_> {
        let entry = InFlight {
            fingerprint: offer.fingerprint,
            request: clip(&offer.request),
        };
        self.running.borrow_mut().push(entry.clone());
        Running {
            suspects: self,
            entry,
        }
    }

    /// Records that the backend server no longer accepts connections, and returns the message for
    /// the other nodes.
    pub(crate) fn record_crash(&self, server: &str) -> Option<Frame> {
        let mut requests = self.take_broken();
        requests.extend(self.running.borrow().iter().cloned());
        self.suspect(server, &requests)
    }

    /// Records that another backend server answers at the address of `server`, and returns the
    /// message for the other nodes.
    pub(crate) fn record_replacement(&self, server: &str) -> Option<Frame> {
        let requests = self.take_broken();
        self.suspect(server, &requests)
    }

    /// Records that a request finished a run, and returns the message for the other nodes if that
    /// cleared it.
    pub(crate) fn record_finish(&self, fingerprint: u64) -> Option<Frame> {
        self.clear(fingerprint).then(|| Frame::Suspects {
            entries: Vec::new(),
            cleared: vec![fingerprint],
        })
    }

    /// Applies a message of a peer, and returns the message with the requests that this node clears
    /// in turn.
    pub(crate) fn import(&self, entries: &[QuarantineEntry], cleared: &[u64]) -> Option<Frame> {
        let now = self.clock.now();
        let fresh: Vec<u64> = entries
            .iter()
            .map(|entry| entry.fingerprint)
            .filter(|f| self.remaining_ms(*f).is_none())
            .collect();
        let innocent = self.table.borrow_mut().import(now, entries);
        for fingerprint in fresh {
            self.log_quarantined(fingerprint);
        }
        for fingerprint in cleared.iter().take(CLEARED_MAX) {
            self.clear(*fingerprint);
        }
        (!innocent.is_empty()).then_some(Frame::Suspects {
            entries: Vec::new(),
            cleared: innocent,
        })
    }

    /// Returns the message for a node whose link has just come up.
    pub(crate) fn snapshot(&self) -> Option<Frame> {
        let entries = self.table.borrow().export(self.clock.now());
        (!entries.is_empty()).then_some(Frame::Suspects {
            entries,
            cleared: Vec::new(),
        })
    }

    /// Takes the requests whose connection broke within the last [`BROKEN_MS`].
    fn take_broken(&self) -> Vec<InFlight> {
        let now = self.clock.now();
        let broken = std::mem::take(&mut *self.broken.borrow_mut());
        let recent = broken
            .into_iter()
            .filter(|(at, _)| now.since(*at) < BROKEN_MS);
        recent.map(|(_, entry)| entry).collect()
    }

    fn suspect(&self, server: &str, requests: &[InFlight]) -> Option<Frame> {
        if requests.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let fingerprints: Vec<u64> = requests.iter().map(|r| r.fingerprint).collect();
        self.table.borrow_mut().record_crash(now, &fingerprints);
        for request in requests {
            self.trail.note(Event::Suspected {
                request: request.request.clone(),
                server: server.into(),
                fingerprint: hex(request.fingerprint),
                verdict: self.verdict(request.fingerprint),
            });
        }
        let mut entries = self.table.borrow().export(now);
        entries.retain(|entry| fingerprints.contains(&entry.fingerprint));
        for entry in &entries {
            self.log_quarantined(entry.fingerprint);
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

    /// Logs that a request is quarantined, if it is.
    fn log_quarantined(&self, fingerprint: u64) {
        if let Some(for_ms) = self.remaining_ms(fingerprint) {
            self.trail.note(Event::RequestQuarantined {
                fingerprint: hex(fingerprint),
                for_ms,
            });
        }
    }

    /// Clears a request, and returns whether it was suspected or quarantined.
    fn clear(&self, fingerprint: u64) -> bool {
        let now = self.clock.now();
        let cleared = self.table.borrow_mut().record_finish(now, fingerprint);
        if cleared {
            self.trail.note(Event::RequestCleared {
                fingerprint: hex(fingerprint),
            });
        }
        cleared
    }
}

fn hex(fingerprint: u64) -> CompactString {
    format_compact!("{fingerprint:016x}")
}

/// A guard for a request that runs at the backend server.
pub(crate) struct Running<'a> {
    suspects: &'a Suspects,
    entry: InFlight,
}

impl Running<'_> {
    /// Records that the connection of the request broke, for which a crash may be the reason.
    pub(crate) fn record_broken(&self) {
        let now = self.suspects.clock.now();
        let mut broken = self.suspects.broken.borrow_mut();
        broken.retain(|(at, _)| now.since(*at) < BROKEN_MS);
        broken.push((now, self.entry.clone()));
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut running = self.suspects.running.borrow_mut();
        if let Some(index) = running.iter().position(|entry| *entry == self.entry) {
            running.swap_remove(index);
        }
    }
}
