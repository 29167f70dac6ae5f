//! The rate limit and the leaving notice in responses of the local backend server, and their log
//! lines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Clock, Millis, Rate};
use oriolering_http::HeaderMap;

use crate::notice::{self, Notice};
use crate::trail::{Event, Trail, clip};

/// The minimum time between log lines of a changing limit, in milliseconds: it may change in each
/// response.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What a response of the backend server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseKind {
    /// A request that it ran.
    Run,
    /// A request that it did not run.
    NotRun,
    /// A health probe.
    Probe,
}

/// The notices in the responses of one run of the local backend server.
pub(super) struct Notices {
    clock: Clock,
    trail: Rc<Trail>,
    server: RefCell<CompactString>,
    limit: Cell<Option<Rate>>,
    /// The limit that was logged last, and when.
    logged: Cell<Option<(Rate, Millis)>>,
    /// When the current period with a limit began.
    limited_since: Cell<Millis>,
    leaving: Cell<bool>,
    /// Whether an unreadable limit was logged.
    rejected: Cell<bool>,
    /// Whether it has responded to a request that it ran; limits passed on by ingresses no longer
    /// count then.
    ran: Cell<bool>,
    /// Whether responses to probes name limits, so that one without a limit ends it.
    probes_name_limit: Cell<bool>,
}

impl Notices {
    /// Creates the state before any response.
    pub(super) fn new(clock: Clock, trail: Rc<Trail>) -> Self {
        let now = clock.now();
        Self {
            clock,
            trail,
            server: RefCell::default(),
            limit: Cell::new(None),
            logged: Cell::new(None),
            limited_since: Cell::new(now),
            leaving: Cell::new(false),
            rejected: Cell::new(false),
            ran: Cell::new(false),
            probes_name_limit: Cell::new(false),
        }
    }

    /// Resets all, since another run of a backend server begins at the address.
    pub(super) fn reset(&self, server: &str) {
        *self.server.borrow_mut() = server.into();
        self.limit.set(None);
        self.logged.set(None);
        self.leaving.set(false);
        self.rejected.set(false);
        self.ran.set(false);
        self.probes_name_limit.set(false);
    }

    /// Returns the limit in force.
    pub(super) fn limit(&self) -> Option<Rate> {
        self.limit.get()
    }

    /// Returns whether the backend server said that it is leaving; this is final.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Applies a limit that an ingress has passed on; returns whether it counts, which it does until
    /// a request has run here or a limit is known.
    pub(super) fn apply_passed_limit(&self, limit: Option<Rate>) -> bool {
        let counts = !self.ran.get() && self.limit.get().is_none();
        if counts {
            self.set_limit(limit);
        }
        counts
    }

    /// Applies the headers of a response, and returns the notice in them.
    ///
    /// A response to a request that ran ends the previous limit if it names none. One to a request
    /// that did not run ends no limit, since a backend server that refuses is overloaded; one to a
    /// probe does only if responses to probes have named limits.
    pub(super) fn apply(&self, map: &HeaderMap, kind: ResponseKind) -> Notice {
        let notice = Notice::from_headers(map);
        match kind {
            ResponseKind::Run => self.ran.set(true),
            ResponseKind::Probe if notice.limit.is_some() => self.probes_name_limit.set(true),
            ResponseKind::Probe | ResponseKind::NotRun => {}
        }
        if let Some(value) = notice::invalid_limit(map) {
            self.log_unreadable(value);
        }
        if notice.limit.is_some() || self.ends_limit(kind) {
            self.set_limit(notice.limit);
        }
        if notice.leaving && !self.leaving.replace(true) {
            let server = self.server.borrow().clone();
            self.trail.note(Event::ServerLeaves { server });
        }
        notice
    }

    /// Returns whether a response of this kind without a limit ends the previous limit.
    fn ends_limit(&self, kind: ResponseKind) -> bool {
        match kind {
            ResponseKind::Run => true,
            ResponseKind::NotRun => false,
            ResponseKind::Probe => self.probes_name_limit.get(),
        }
    }

    fn set_limit(&self, limit: Option<Rate>) {
        let now = self.clock.now();
        let previous = self.limit.replace(limit);
        match (previous, limit) {
            (None, Some(rate)) => {
                self.limited_since.set(now);
                self.log_limit(now, rate);
            }
            (Some(_), Some(rate)) => self.log_change(now, rate),
            (Some(_), None) => {
                self.logged.set(None);
                self.trail.note(Event::ServerUnlimited {
                    server: self.server.borrow().clone(),
                    limited_ms: now.since(self.limited_since.get()),
                });
            }
            (None, None) => {}
        }
    }

    /// Logs a changed limit, at most once per [`LOG_INTERVAL_MS`].
    fn log_change(&self, now: Millis, rate: Rate) {
        let due = |(logged, at): (Rate, Millis)| logged != rate && now.since(at) >= LOG_INTERVAL_MS;
        if self.logged.get().is_none_or(due) {
            self.log_limit(now, rate);
        }
    }

    fn log_limit(&self, now: Millis, rate: Rate) {
        self.logged.set(Some((rate, now)));
        self.trail.note(Event::ServerLimited {
            server: self.server.borrow().clone(),
            per_s: rate.per_s(),
        });
    }

    /// Logs an unreadable limit, once for each run of a backend server.
    fn log_unreadable(&self, value: &str) {
        if !self.rejected.replace(true) {
            self.trail.note(Event::LimitRejected {
                server: self.server.borrow().clone(),
                value: clip(value),
            });
        }
    }
}
