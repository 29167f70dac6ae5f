//! Health probes, whose responses report the load of the backend server.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::ResponseHead;
use oriolering::{Millis, RefusalReason};
use oriolering_platform::HEADERS;
use tokio::time::timeout;

use super::notices::ResponseKind;
use super::{Gate, PROBE_INTERVAL_MS};
use crate::backend_request;

/// How long the response to a probe may take, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;
/// The age of the last report after which the backend server of an evacuated zone is probed, in
/// milliseconds; it gets no requests, so only whether it is up matters.
const EVACUATED_INTERVAL_MS: u64 = 500;
/// How long after its last request a backend server is still probed, in milliseconds.
const IN_USE_MS: u64 = 3_000;

impl Gate {
    /// Probes the backend server if its last load report is old.
    ///
    /// Without a health path, only a backend server that is down is probed, by a connection.
    pub(crate) fn probe(self: &Rc<Self>) {
        let now = self.clock.now();
        let interval_ms = match self.evacuated.get() {
            true => EVACUATED_INTERVAL_MS,
            false => PROBE_INTERVAL_MS,
        };
        self.update_limit();
        let fresh = self.health.age_ms() < interval_ms && !self.needs_check(now);
        if fresh || !self.wants_probe(now) || self.probing.get() {
            return;
        }
        let connect_only = self.health_path.borrow().is_empty();
        if connect_only && !self.load().closed {
            return;
        }
        if !self.may_check(now) {
            return;
        }
        self.check_sent.set(now);
        self.probing.set(true);
        self.trail.counts.probes.add(1);
        let gate = Rc::clone(self);
        tokio::task::spawn_local(async move {
            match connect_only {
                true => gate.probe_connection().await,
                false => gate.send_probe().await,
            }
            gate.probing.set(false);
        });
    }

    /// Returns whether the load of the backend server is of use to any node. A backend server
    /// without a response so far is probed even before requests are offered: it may name a limit.
    fn wants_probe(&self, now: Millis) -> bool {
        if self.is_leaving() {
            return false;
        }
        let last_offer = self.last_offer.get();
        let in_use = last_offer.is_some_and(|at| now.since(at) < IN_USE_MS);
        in_use || self.load().closed || self.responding_id.borrow().is_none()
    }

    /// Opens the gate if the backend server accepts a connection.
    async fn probe_connection(&self) {
        match self.pool.connect().await {
            Ok(conn) => {
                self.pool.put(self.clock.now(), conn);
                self.reopen();
            }
            Err(e) => self.handle_connect_error(&e),
        }
    }

    async fn send_probe(&self) {
        let now = self.clock.now();
        let Some(request) = backend_request::probe(&self.health_path.borrow()) else {
            return;
        };
        let mut conn = match self.pool.take(now).await {
            Ok(conn) => conn,
            Err(e) => return self.handle_connect_error(&e),
        };
        let wanted = |head: &ResponseHead| !head.headers.contains_key(HEADERS.request);
        let wait = Duration::from_millis(PROBE_TIMEOUT_MS);
        match timeout(wait, conn.exchange(request, wanted)).await {
            Ok(Ok(response)) => {
                self.apply_load_report(&response.headers);
                if self.responding_id.borrow().as_ref() == Some(&*self.server.borrow()) {
                    self.apply_notice(&response.headers, ResponseKind::Probe);
                    self.apply_warm_up(&response.headers, now, ResponseKind::Probe);
                }
                self.pool.put(self.clock.now(), conn);
            }
            Ok(Err(_)) | Err(_) => {
                if self.health.record_lost_probe() {
                    let error = "the probes have no answer";
                    self.health.log_down(&self.server.borrow(), error);
                    self.forget_warm_up();
                    self.scheduler.borrow_mut().close(Some(RefusalReason::Down));
                    self.send_load();
                }
            }
        }
    }
}
