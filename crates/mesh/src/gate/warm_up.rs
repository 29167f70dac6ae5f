//! Limits the requests to a backend server that is cold, or may be.

use oriolering::{Millis, Rate};
use oriolering_http::HeaderMap;
use oriolering_platform::{COLD_REMAINING, parse_cold_remaining};

use super::Gate;
use super::notices::ResponseKind;
use crate::headers;
use crate::trail::Event;

/// The interval of the health checks that tell whether a backend server in use has become cold, in
/// milliseconds: between two of them a busy one gets a fraction of what it accepts in a second.
const CHECK_INTERVAL_MS: u64 = 150;

impl Gate {
    /// Applies how long the backend server stays cold by a response to a request that was sent at
    /// `asked`. A health response without the header says that it is warm; other responses need not
    /// have it.
    pub(super) fn apply_warm_up(&self, map: &HeaderMap, asked: Millis, kind: ResponseKind) {
        let remaining_ms = match headers::text(map, COLD_REMAINING) {
            Some(text) => parse_cold_remaining(text),
            None => (kind == ResponseKind::Probe).then_some(0),
        };
        if let Some(remaining_ms) = remaining_ms {
            let now = self.clock.now();
            self.warm_up
                .borrow_mut()
                .record_check(now, asked, remaining_ms);
            self.update_limit();
        }
    }

    /// Forgets whether the backend server is warm, since another run of it may have begun.
    pub(super) fn forget_warm_up(&self) {
        self.warm_up.borrow_mut().forget(self.clock.now());
        self.update_limit();
    }

    /// Returns whether a health check is due to tell whether the backend server has become cold.
    pub(super) fn needs_check(&self, now: Millis) -> bool {
        let due = now.since(self.check_sent.get()) >= CHECK_INTERVAL_MS;
        due && self.warm_up.borrow().is_configured()
    }

    /// Returns whether a health check may be sent now. The rate limit does not apply to it while the
    /// limit is in force only because a health check is missing.
    pub(super) fn may_check(&self, now: Millis) -> bool {
        let unchecked = self.cold_limit.get().is_some() && !self.warm_up.borrow().is_cold(now);
        unchecked || self.scheduler.borrow_mut().try_probe(now)
    }

    /// Puts the lower one of the limits in force: that which the backend server names, and that
    /// while it is cold.
    pub(super) fn update_limit(&self) {
        let now = self.clock.now();
        let has_checks = !self.health_path.borrow().is_empty();
        let cold = self.warm_up.borrow().limit(now, has_checks);
        let before = self.cold_limit.replace(cold);
        let limit = [self.notices.limit(), cold].into_iter().flatten().min();
        let changed = self.scheduler.borrow_mut().set_limit(now, limit);
        match (before, cold) {
            (None, Some(rate)) => self.begin_cold(now, rate),
            (Some(_), None) => self.trail.note(Event::ServerWarm {
                server: self.server.borrow().clone(),
                limited_ms: now.since(self.cold_since.get()),
            }),
            (Some(_), Some(_)) | (None, None) => {}
        }
        if changed {
            self.process_events();
            self.send_load_change();
        }
    }

    fn begin_cold(&self, now: Millis, rate: Rate) {
        let start = self.warm_up.borrow_mut().limit_start(now, rate);
        self.scheduler.borrow_mut().set_limit_start(start);
        self.cold_since.set(now);
        self.trail.note(Event::ServerCold {
            server: self.server.borrow().clone(),
            per_s: rate.per_s(),
            known: self.warm_up.borrow().is_cold(now),
        });
    }
}
