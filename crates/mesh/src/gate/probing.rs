//! Questions to the backend server for its load.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::ResponseHead;
use oriolering::{Millis, RefusalReason};
use oriolering_platform::HEADERS;
use tokio::time::timeout;

use super::notices::Heard;
use super::{Gate, PROBE_AGE_MS};
use crate::backend_request;

/// How long an answer to a probe may take, in milliseconds.
const PROBE_WAIT_MS: u64 = 400;
/// How long after the last request for it a backend server is asked for its load, in
/// milliseconds.
const INTEREST_MS: u64 = 3_000;

impl Gate {
    /// Asks the backend server for its load if nothing else told it lately.
    pub(crate) fn probe(self: &Rc<Self>) {
        let now = self.clock.now();
        let fresh = self.pulse.age_ms() < PROBE_AGE_MS;
        if fresh
            || !self.wants_probe(now)
            || self.probing.get()
            || self.health_path.borrow().is_empty()
        {
            return;
        }
        if !self.room.borrow_mut().try_probe(now) {
            return;
        }
        self.probing.set(true);
        self.trail.counts.probes.add(1);
        let gate = Rc::clone(self);
        tokio::task::spawn_local(async move {
            gate.ask().await;
            gate.probing.set(false);
        });
    }

    /// Returns whether anybody has use for the load of the backend server. One that has not said
    /// anything yet is asked once before requests are offered: it may have named a limit.
    fn wants_probe(&self, now: Millis) -> bool {
        if self.is_leaving() {
            return false;
        }
        let offered = self.offered.get();
        let in_use = offered.is_some_and(|at| now.since(at) < INTEREST_MS);
        in_use || self.load().closed || self.answers_as.borrow().is_none()
    }

    async fn ask(&self) {
        let now = self.clock.now();
        let Some(request) = backend_request::probe(&self.health_path.borrow()) else {
            return;
        };
        let mut conn = match self.pool.take(now).await {
            Ok(conn) => conn,
            Err(e) => return self.note_down(&e),
        };
        let wanted = |head: &ResponseHead| !head.headers.contains_key(HEADERS.request);
        let wait = Duration::from_millis(PROBE_WAIT_MS);
        match timeout(wait, conn.exchange(request, wanted)).await {
            Ok(Ok(response)) => {
                self.hear(&response.headers);
                if self.answers_as.borrow().as_ref() == Some(&*self.server.borrow()) {
                    self.hear_notice(&response.headers, Heard::Probe);
                }
                self.pool.put(self.clock.now(), conn);
            }
            Ok(Err(_)) | Err(_) => {
                if self.pulse.miss() {
                    let error = "the probes have no answer";
                    self.pulse.note_lost(&self.server.borrow(), error);
                    self.room.borrow_mut().close(Some(RefusalReason::Down));
                    self.tell();
                }
            }
        }
    }
}
