//! What the local backend server says of itself in its answers, and the lines about it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Clock, Millis, Rate};
use oriolering_http::HeaderMap;

use crate::notice::{self, Notice};
use crate::trail::{Event, Trail, clip};

/// How often a limit that changes is written down, in milliseconds: it may change in each answer.
const LINE_MS: u64 = 1_000;

/// To what the backend server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Heard {
    /// A request that it ran.
    Run,
    /// A request that it did not run.
    Refusal,
    /// A question for its health.
    Probe,
}

/// What the answers of one run of the local backend server have said.
pub(super) struct Notices {
    clock: Clock,
    trail: Rc<Trail>,
    server: RefCell<CompactString>,
    limit: Cell<Option<Rate>>,
    /// The limit that was written down last, and when.
    written: Cell<Option<(Rate, Millis)>>,
    /// When the backend server named a limit that it has named ever since.
    since: Cell<Millis>,
    leaving: Cell<bool>,
    /// Whether a limit that cannot be read was written down.
    rejected: Cell<bool>,
    /// Whether it has answered to a run, so that it need not be asked of others what it says.
    ran: Cell<bool>,
    /// Whether answers to probes name limits, so that their silence ends one.
    probes_tell: Cell<bool>,
}

impl Notices {
    /// Returns what is known before any answer.
    pub(super) fn new(clock: Clock, trail: Rc<Trail>) -> Self {
        let now = clock.now();
        Self {
            clock,
            trail,
            server: RefCell::default(),
            limit: Cell::new(None),
            written: Cell::new(None),
            since: Cell::new(now),
            leaving: Cell::new(false),
            rejected: Cell::new(false),
            ran: Cell::new(false),
            probes_tell: Cell::new(false),
        }
    }

    /// Forgets all, since another run of a backend server begins at the address.
    pub(super) fn renew(&self, server: &str) {
        *self.server.borrow_mut() = server.into();
        self.limit.set(None);
        self.written.set(None);
        self.leaving.set(false);
        self.rejected.set(false);
        self.ran.set(false);
        self.probes_tell.set(false);
    }

    /// Returns the limit that holds.
    pub(super) fn limit(&self) -> Option<Rate> {
        self.limit.get()
    }

    /// Returns whether it has said that it leaves; it does not take that back.
    pub(super) fn leaves(&self) -> bool {
        self.leaving.get()
    }

    /// Takes in the limit that an ingress has passed on; returns whether it counts here, which it
    /// does until an answer to a run was heard.
    pub(super) fn hear_of(&self, limit: Option<Rate>) -> bool {
        let counts = !self.ran.get() && self.limit.get().is_none();
        if counts {
            self.hear_limit(limit);
        }
        counts
    }

    /// Takes in the headers of an answer, and returns what they say.
    ///
    /// An answer to a run without a limit ends the one before. A refusal ends none, since who
    /// refuses is in need, and an answer to a probe only if such answers have named limits.
    pub(super) fn hear(&self, map: &HeaderMap, kind: Heard) -> Notice {
        let notice = Notice::from_headers(map);
        match kind {
            Heard::Run => self.ran.set(true),
            Heard::Probe if notice.limit.is_some() => self.probes_tell.set(true),
            Heard::Probe | Heard::Refusal => {}
        }
        if let Some(value) = notice::invalid_limit(map) {
            self.reject(value);
        }
        if notice.limit.is_some() || self.ends_limit(kind) {
            self.hear_limit(notice.limit);
        }
        if notice.leaving && !self.leaving.replace(true) {
            let server = self.server.borrow().clone();
            self.trail.note(Event::ServerLeaves { server });
        }
        notice
    }

    /// Returns whether an answer of this kind that names no limit ends the one before.
    fn ends_limit(&self, kind: Heard) -> bool {
        match kind {
            Heard::Run => true,
            Heard::Refusal => false,
            Heard::Probe => self.probes_tell.get(),
        }
    }

    fn hear_limit(&self, limit: Option<Rate>) {
        let now = self.clock.now();
        let before = self.limit.replace(limit);
        match (before, limit) {
            (None, Some(rate)) => {
                self.since.set(now);
                self.write(now, rate);
            }
            (Some(_), Some(rate)) => self.write_change(now, rate),
            (Some(_), None) => {
                self.written.set(None);
                self.trail.note(Event::ServerUnlimited {
                    server: self.server.borrow().clone(),
                    limited_ms: now.since(self.since.get()),
                });
            }
            (None, None) => {}
        }
    }

    /// Writes a limit down that differs from the one before, once in a while.
    fn write_change(&self, now: Millis, rate: Rate) {
        let due = |(known, at): (Rate, Millis)| known != rate && now.since(at) >= LINE_MS;
        if self.written.get().is_none_or(due) {
            self.write(now, rate);
        }
    }

    fn write(&self, now: Millis, rate: Rate) {
        self.written.set(Some((rate, now)));
        self.trail.note(Event::ServerLimited {
            server: self.server.borrow().clone(),
            per_s: rate.per_s(),
        });
    }

    /// Writes down, once for each backend server, that a limit cannot be read.
    fn reject(&self, value: &str) {
        if !self.rejected.replace(true) {
            self.trail.note(Event::LimitRejected {
                server: self.server.borrow().clone(),
                value: clip(value),
            });
        }
    }
}
