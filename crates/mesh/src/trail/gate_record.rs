//! The decisions of the gate about one request.

use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{GateLoad, Millis, RefusalReason};

use super::{Event, Trail, clip, is_sampled};
use crate::frame::{Offer, Outcome};
use crate::spans::ActiveSpan;

/// What the gate knows of its backend server when it decides.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateSnapshot {
    /// The load of the gate.
    pub(crate) load: GateLoad,
    /// The age of the last load report of the backend server, in milliseconds.
    pub(crate) age_ms: u64,
    /// The time of the decision.
    pub(crate) now: Millis,
}

/// Collects the decisions about one request at a gate; logs them when it ends.
pub(crate) struct GateRecord {
    trail: Rc<Trail>,
    request: CompactString,
    server: CompactString,
    arrived: Millis,
    aim_ms: u32,
    left_ms: u32,
    work_ms: u32,
    elsewhere_ms: Option<u32>,
    priority: u8,
    logged: bool,
    done: bool,
    /// The state of the gate when the request was queued.
    queued: Option<GateSnapshot>,
    /// The state of the gate when the request was admitted.
    admitted: Option<GateSnapshot>,
    span: Option<ActiveSpan>,
}

impl GateRecord {
    /// Returns the record of a request that arrived at `now`. If the request is traced, its span
    /// at the gate becomes the parent of the spans of the backend server.
    pub(crate) fn new(trail: &Rc<Trail>, offer: &mut Offer, now: Millis) -> Self {
        Self {
            trail: Rc::clone(trail),
            request: clip(&offer.request),
            server: offer.server.clone(),
            arrived: now,
            aim_ms: offer.aim_ms,
            left_ms: offer.left_ms,
            work_ms: offer.work_ms,
            elsewhere_ms: offer.elsewhere_ms,
            priority: offer.priority,
            logged: is_sampled(&offer.request),
            done: false,
            queued: None,
            admitted: None,
            span: trail.spans.start("gate", &mut offer.headers, false),
        }
    }

    /// Records that the request is queued.
    pub(crate) fn queued(&mut self, snapshot: GateSnapshot) {
        self.trail.counts.queued.add(1);
        self.queued = Some(snapshot);
    }

    /// Records that the request is refused, which ends it.
    pub(crate) fn refused(&mut self, why: RefusalReason, back_ms: u64, snapshot: GateSnapshot) {
        let event = Event::Refused {
            request: self.request.clone(),
            server: self.server.clone(),
            why: why.as_str(),
            back_ms,
            waited_ms: snapshot.now.since(self.arrived),
            left_ms: self.left_ms,
            work_ms: self.work_ms,
            elsewhere_ms: self.elsewhere_ms,
            running: snapshot.load.running,
            waiting: snapshot.load.waiting,
            capacity: snapshot.load.capacity,
            work_percent: snapshot.load.work_percent,
            load_age_ms: snapshot.age_ms,
        };
        self.trail.counts.count(&event);
        self.finish(snapshot.now, why.as_str(), None, event);
    }

    /// Records that the request is admitted.
    pub(crate) fn admitted(&mut self, snapshot: GateSnapshot) {
        self.trail.counts.admitted.add(1);
        let waited_ms = snapshot.now.since(self.arrived);
        self.trail.counts.wait_ms.record(waited_ms);
        self.admitted = Some(snapshot);
    }

    /// Records how the exchange with the backend server ended, which ends the request.
    pub(crate) fn ran(&mut self, ending: &Outcome) {
        let (outcome, status) = match ending {
            Outcome::Answered(answered) => ("answered", Some(answered.status)),
            Outcome::Unexecuted { status } => ("unexecuted", Some(*status)),
            Outcome::Unsent => ("unsent", None),
            Outcome::Failed => ("failed", None),
            Outcome::Refused { why, .. } => (why.as_str(), None),
        };
        let succeeded = outcome == "answered" && status.is_some_and(|s| s < 500);
        let now = self.now();
        let age = now.since(self.arrived);
        let ran_ms = self.admitted.map_or(0, |snapshot| now.since(snapshot.now));
        self.trail.counts.ran(outcome, ran_ms);
        if succeeded && !self.logged && age <= u64::from(self.aim_ms) {
            self.done = true;
            return self.end_span(outcome, status, now);
        }
        let event = Event::Ran {
            request: self.request.clone(),
            server: self.server.clone(),
            outcome,
            status,
            ran_ms,
            waited_ms: age.saturating_sub(ran_ms),
        };
        self.finish(now, outcome, status, event);
    }

    /// Logs all steps, followed by `last`, and ends the span.
    fn finish(&mut self, now: Millis, outcome: &str, status: Option<u16>, last: Event) {
        self.done = true;
        let mut events = Vec::with_capacity(3);
        events.extend(
            self.queued
                .map(|snapshot| (snapshot.now, self.queued_event(snapshot))),
        );
        events.extend(
            self.admitted
                .map(|snapshot| (snapshot.now, self.admitted_event(snapshot))),
        );
        events.push((now, last));
        self.trail.write_all(&events);
        self.end_span(outcome, status, now);
    }

    fn queued_event(&self, snapshot: GateSnapshot) -> Event {
        Event::Queued {
            request: self.request.clone(),
            server: self.server.clone(),
            priority: self.priority,
            aim_ms: self.aim_ms,
            left_ms: self.left_ms,
            work_ms: self.work_ms,
            running: snapshot.load.running,
            waiting: snapshot.load.waiting,
            capacity: snapshot.load.capacity,
            work_percent: snapshot.load.work_percent,
            load_age_ms: snapshot.age_ms,
        }
    }

    fn admitted_event(&self, snapshot: GateSnapshot) -> Event {
        let waited_ms = snapshot.now.since(self.arrived);
        Event::Admitted {
            request: self.request.clone(),
            server: self.server.clone(),
            waited_ms,
            left_ms: u64::from(self.left_ms).saturating_sub(waited_ms),
            running: snapshot.load.running,
            waiting: snapshot.load.waiting,
            capacity: snapshot.load.capacity,
            work_percent: snapshot.load.work_percent,
            load_age_ms: snapshot.age_ms,
        }
    }

    /// Ends the span of the request, if it has one.
    fn end_span(&mut self, outcome: &str, status: Option<u16>, now: Millis) {
        let Some(mut span) = self.span.take() else {
            return;
        };
        span.set_text("request", &self.request);
        span.set_text("server", &self.server);
        span.set_text("outcome", outcome);
        if let Some(status) = status {
            span.set_number("status", status.into());
        }
        let until = self.admitted.map_or(now, |snapshot| snapshot.now);
        span.set_number("waited_ms", until.since(self.arrived));
    }

    fn now(&self) -> Millis {
        self.trail.clock.now()
    }
}

impl Drop for GateRecord {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let now = self.now();
        let stage = match self.admitted {
            Some(_) => "running",
            None => "waiting",
        };
        let event = Event::Dropped {
            request: self.request.clone(),
            server: self.server.clone(),
            stage,
            after_ms: now.since(self.arrived),
            stopping: self.trail.is_stopping(),
        };
        self.trail.counts.count(&event);
        self.finish(now, "dropped", None, event);
    }
}
