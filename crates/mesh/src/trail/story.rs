//! What the ingress decides about one request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Millis, Route};
use oriolering_http::Answer;

use super::{Event, Rank, Trail, Wall, clip, is_sampled};
use crate::frame::Ending;
use crate::reply::Reply;
use crate::spots::Chosen;

/// The steps of a usual request: routed, chosen, ended, answered.
const STEPS: usize = 4;

/// How an attempt ended, for a line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    outcome: &'static str,
    status: Option<u16>,
    why: Option<&'static str>,
}

impl Seen {
    /// Returns how an attempt ended.
    pub(crate) fn of(reply: &Reply) -> Self {
        let plain = |outcome| Self {
            outcome,
            status: None,
            why: None,
        };
        match reply {
            Reply::Lost => plain("lost"),
            Reply::Unlinked => plain("unlinked"),
            Reply::Ended { ending, .. } => match ending {
                Ending::Answered(answered) => Self {
                    outcome: match answered.status >= 500 {
                        true => "server_error",
                        false => "answered",
                    },
                    status: Some(answered.status),
                    why: None,
                },
                Ending::Refused { why, .. } => Self {
                    outcome: "refused",
                    status: None,
                    why: Some(why.as_str()),
                },
                Ending::Unexecuted { status } => Self {
                    outcome: "unexecuted",
                    status: Some(*status),
                    why: None,
                },
                Ending::Unsent => plain("unsent"),
                Ending::Failed => plain("failed"),
            },
        }
    }
}

/// What an ingress knows of a request after an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standing {
    /// The backend servers that it was sent to.
    pub(crate) sends: u32,
    /// The gates that refused it.
    pub(crate) refusals: u32,
    /// Whether an attempt may have run.
    pub(crate) uncertain: bool,
}

/// The attempt that is under way.
#[derive(Clone, Debug, Default)]
struct Attempt {
    number: u32,
    server: CompactString,
    begun: Millis,
}

/// What becomes of one request at its ingress; told when it ends.
pub(crate) struct Story {
    trail: Rc<Trail>,
    request: CompactString,
    begun: Millis,
    /// Whether it is written down even if all goes well.
    kept: Cell<bool>,
    done: Cell<bool>,
    /// When the last step was taken; answers follow at once.
    last: Cell<Millis>,
    /// Whether the node itself answers, without a backend server.
    own: Cell<bool>,
    attempt: RefCell<Attempt>,
    steps: RefCell<Vec<(Millis, Event)>>,
}

impl Story {
    /// Returns the story of a request that arrived at `now`.
    pub(crate) fn new(trail: &Rc<Trail>, request: &str, now: Millis) -> Self {
        trail.counts.requests.add(1);
        Self {
            trail: Rc::clone(trail),
            request: clip(request),
            begun: now,
            kept: Cell::new(is_sampled(request)),
            done: Cell::new(false),
            last: Cell::new(now),
            own: Cell::new(false),
            attempt: RefCell::default(),
            steps: RefCell::new(Vec::with_capacity(STEPS)),
        }
    }

    /// Tells the route, and the part of it that takes the request.
    pub(crate) fn routed(&self, route: &Route, part: usize, routes: (u64, u64), body: usize) {
        self.step(
            self.begun,
            Event::Routed {
                request: self.request.clone(),
                route: route.name.clone(),
                service: route.parts[part].service.clone(),
                parts: route.parts.len() as u64,
                version: routes.0,
                version_age_ms: routes.1,
                limit_ms: route.timeout_ms,
                body_bytes: body as u64,
            },
        );
    }

    /// Tells that no route takes the request.
    pub(crate) fn unrouted(&self, host: &str, path: &str, version: u64) {
        self.fail(Event::Unrouted {
            request: self.request.clone(),
            host: clip(host),
            path: clip(path),
            version,
        });
    }

    /// Tells that no routes are known yet.
    pub(crate) fn unready(&self) {
        self.fail(Event::Unready {
            request: self.request.clone(),
        });
    }

    /// Tells the backend server that was chosen, and why.
    pub(crate) fn chosen(
        &self,
        now: Millis,
        service: &str,
        chosen: &Chosen,
        work_ms: u64,
        revision: u64,
    ) {
        let mut attempt = self.attempt.borrow_mut();
        attempt.number += 1;
        attempt.server = chosen.server.clone();
        attempt.begun = now;
        let number = attempt.number;
        drop(attempt);
        let site = &chosen.site;
        self.step(
            now,
            Event::Chosen {
                request: self.request.clone(),
                attempt: number,
                service: service.into(),
                server: chosen.server.clone(),
                peer: chosen.way.address(),
                expected_ms: chosen.place.expected_ms,
                next_ms: chosen.place.next_ms,
                work_ms,
                open: chosen.open as u64,
                load_age_ms: now.since(site.told),
                running: site.load.running,
                waiting: site.load.waiting,
                capacity: site.load.capacity,
                sent: site.sent,
                work_percent: site.load.work_percent,
                failures_permille: site.failure_rate(now),
                list_revision: revision,
            },
        );
    }

    /// Tells how an attempt ended, and whether another follows.
    pub(crate) fn attempt_ended(&self, route: &Route, seen: Seen, now: Standing, again: bool) {
        if seen.outcome != "answered" {
            self.kept.set(true);
        }
        let attempt = self.attempt.borrow().clone();
        let at = self.trail.clock.now();
        self.step_before_end(
            at,
            Event::AttemptEnded {
                request: self.request.clone(),
                attempt: attempt.number,
                server: attempt.server,
                outcome: seen.outcome,
                status: seen.status,
                why: seen.why,
                took_ms: at.since(attempt.begun),
                sends: now.sends,
                attempts_max: route.attempts,
                refusals: now.refusals,
                uncertain: now.uncertain,
                idempotent: route.kind.is_idempotent(),
                again,
            },
        );
    }

    /// Tells that nothing more can be done.
    pub(crate) fn given_up(&self, reason: &str, now: Standing, left_ms: u64) {
        self.fail(Event::GivenUp {
            request: self.request.clone(),
            reason: reason.into(),
            sends: now.sends,
            refusals: now.refusals,
            uncertain: now.uncertain,
            left_ms,
        });
    }

    /// Tells that the time ended before an answer.
    pub(crate) fn deadline(&self, now: Standing) {
        // An attempt that is under way may have reached a backend server.
        self.fail(Event::Deadline {
            request: self.request.clone(),
            sends: now.sends,
            refusals: now.refusals,
            uncertain: now.uncertain,
            attempt: self.attempt.borrow().number,
            server: self.attempt.borrow().server.clone(),
            waited_ms: self.trail.clock.now().since(self.begun),
        });
    }

    /// Tells the answer that the caller gets; the story ends with it.
    pub(crate) fn answered(&self, route: Option<(&Route, &str)>, answer: &Answer) {
        self.done.set(true);
        let now = self.last.get();
        let took_ms = now.since(self.begun);
        let aim_ms = route.map(|(route, _)| route.aim_ms);
        let status = answer.status.as_u16();
        if status >= 500 || aim_ms.is_some_and(|aim| took_ms > aim) {
            self.kept.set(true);
        }
        // Only an answer of the node itself tells its caller when to come back.
        let back = self
            .own
            .get()
            .then(|| crate::headers::text(&answer.headers, "retry-after"));
        self.step(
            now,
            Event::Answered {
                request: self.request.clone(),
                route: route.map_or_else(CompactString::default, |(route, _)| route.name.clone()),
                service: route.map_or_else(CompactString::default, |(_, service)| service.into()),
                status,
                took_ms,
                aim_ms,
                attempts: self.attempt.borrow().number,
                own: self.own.get(),
                retry_after: back.flatten().map(clip),
            },
        );
        self.tell();
    }

    /// Adds a step that makes the request one that is written down.
    fn fail(&self, event: Event) {
        self.kept.set(true);
        self.own.set(true);
        self.step(self.trail.clock.now(), event);
    }

    /// Adds how an attempt ended before what was decided on that.
    fn step_before_end(&self, now: Millis, event: Event) {
        let last = self.steps.borrow_mut().pop();
        let (end, other) = match last {
            Some((at, end @ Event::GivenUp { .. })) => (Some((at, end)), None),
            other => (None, other),
        };
        self.steps.borrow_mut().extend(other);
        self.step(now, event);
        self.steps.borrow_mut().extend(end);
    }

    fn step(&self, now: Millis, event: Event) {
        self.last.set(now);
        self.trail.counts.count(&event);
        self.steps.borrow_mut().push((now, event));
    }

    /// Writes the steps down, if the request is one of those that are.
    fn tell(&self) {
        if self.kept.get() {
            self.trail.write_all(&self.steps.borrow());
        }
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        if self.done.get() {
            return;
        }
        self.fail(Event::Cancelled {
            request: self.request.clone(),
            attempt: self.attempt.borrow().number,
            server: self.attempt.borrow().server.clone(),
            waited_ms: self.trail.clock.now().since(self.begun),
            stopping: self.trail.is_stopping(),
        });
        self.tell();
    }
}

impl Trail {
    /// Writes the steps of one request, all with the rank of the gravest.
    pub(super) fn write_all(&self, steps: &[(Millis, Event)]) {
        let bad = |event: &Event| event.rank() == Rank::Failure || event.is_setback();
        let rank = match steps.iter().any(|(_, event)| bad(event)) {
            true => Rank::Failure,
            false => Rank::Success,
        };
        let wall = Wall::new(self.clock.now());
        for (at, event) in steps {
            self.write(wall, *at, rank, event);
        }
    }
}
