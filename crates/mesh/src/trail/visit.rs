//! What the gate decides about one request.

use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{GateLoad, Millis, NoRoom};

use super::{Event, Trail, clip, is_sampled};
use crate::frame::{Ending, Offer};

/// What the gate knows of its backend server at a decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    /// The load of the gate.
    pub(crate) load: GateLoad,
    /// The age of the backend server's own last word, in milliseconds.
    pub(crate) age_ms: u64,
    /// When the decision is taken.
    pub(crate) now: Millis,
}

/// What becomes of one request at a gate; told when it ends.
pub(crate) struct Visit {
    trail: Rc<Trail>,
    request: CompactString,
    server: CompactString,
    arrived: Millis,
    aim_ms: u32,
    left_ms: u32,
    work_ms: u32,
    elsewhere_ms: Option<u32>,
    priority: u8,
    kept: bool,
    done: bool,
    started: Option<Millis>,
    steps: Vec<(Millis, Event)>,
}

impl Visit {
    /// Returns the visit of a request that arrived at `now`.
    pub(crate) fn new(trail: &Rc<Trail>, offer: &Offer, now: Millis) -> Self {
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
            kept: is_sampled(&offer.request),
            done: false,
            started: None,
            steps: Vec::with_capacity(2),
        }
    }

    /// Tells that the request waits.
    pub(crate) fn queued(&mut self, known: Known) {
        let now = known.now;
        self.step(
            now,
            Event::Queued {
                request: self.request.clone(),
                server: self.server.clone(),
                priority: self.priority,
                aim_ms: self.aim_ms,
                left_ms: self.left_ms,
                work_ms: self.work_ms,
                running: known.load.running,
                waiting: known.load.waiting,
                capacity: known.load.capacity,
                work_percent: known.load.work_percent,
                load_age_ms: known.age_ms,
            },
        );
    }

    /// Tells that the request is refused; the visit ends with it.
    pub(crate) fn refused(&mut self, why: NoRoom, back_ms: u64, known: Known) {
        self.done = true;
        self.kept = true;
        let now = known.now;
        self.step(
            now,
            Event::Refused {
                request: self.request.clone(),
                server: self.server.clone(),
                why: why.as_str(),
                back_ms,
                waited_ms: now.since(self.arrived),
                left_ms: self.left_ms,
                work_ms: self.work_ms,
                elsewhere_ms: self.elsewhere_ms,
                running: known.load.running,
                waiting: known.load.waiting,
                capacity: known.load.capacity,
                work_percent: known.load.work_percent,
                load_age_ms: known.age_ms,
            },
        );
    }

    /// Tells that the request runs.
    pub(crate) fn admitted(&mut self, known: Known) {
        let now = known.now;
        self.started = Some(now);
        let waited_ms = now.since(self.arrived);
        self.step(
            now,
            Event::Admitted {
                request: self.request.clone(),
                server: self.server.clone(),
                waited_ms,
                left_ms: u64::from(self.left_ms).saturating_sub(waited_ms),
                running: known.load.running,
                waiting: known.load.waiting,
                capacity: known.load.capacity,
                work_percent: known.load.work_percent,
                load_age_ms: known.age_ms,
            },
        );
    }

    /// Tells how the exchange with the backend server ended; the visit ends with it.
    pub(crate) fn ran(&mut self, ending: &Ending) {
        let (outcome, status) = match ending {
            Ending::Answered(answered) => ("answered", Some(answered.status)),
            Ending::Unexecuted { status } => ("unexecuted", Some(*status)),
            Ending::Unsent => ("unsent", None),
            Ending::Failed => ("failed", None),
            Ending::Refused { why, .. } => (why.as_str(), None),
        };
        self.done = true;
        let good = outcome == "answered" && status.is_some_and(|s| s < 500);
        let now = self.now();
        let age = now.since(self.arrived);
        self.kept |= !good || age > u64::from(self.aim_ms);
        let ran_ms = self.started.map_or(0, |at| now.since(at));
        self.step(
            now,
            Event::Ran {
                request: self.request.clone(),
                server: self.server.clone(),
                outcome,
                status,
                ran_ms,
                waited_ms: age.saturating_sub(ran_ms),
            },
        );
    }

    fn now(&self) -> Millis {
        self.trail.clock.now()
    }

    fn step(&mut self, now: Millis, event: Event) {
        self.trail.counts.count(&event);
        self.steps.push((now, event));
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        if !self.done {
            self.kept = true;
            let stage = match self.started {
                Some(_) => "running",
                None => "waiting",
            };
            let now = self.now();
            self.step(
                now,
                Event::Dropped {
                    request: self.request.clone(),
                    server: self.server.clone(),
                    stage,
                    after_ms: now.since(self.arrived),
                    stopping: self.trail.is_stopping(),
                },
            );
        }
        if self.kept {
            self.trail.write_all(&self.steps);
        }
    }
}
