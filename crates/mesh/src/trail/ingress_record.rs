//! What the ingress decides about one request.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Millis, Route};
use oriolering_http::Answer;
use smallvec::SmallVec;

use super::step::{End, Pick, Plan, Step};
use super::{
    AttemptSummary, AttemptTotals, Event, SPAN_SAMPLE, Trail, clip, is_one_in, is_sampled,
};
use crate::frame::Headers;
use crate::server_table::ServerChoice;
use crate::spans::ActiveSpan;

/// The steps of a usual request that are kept one by one: chosen, ended.
const STEPS: usize = 2;

/// What becomes of one request at its ingress; told when it ends.
pub(crate) struct IngressRecord {
    trail: Rc<Trail>,
    request: CompactString,
    begun: Millis,
    /// Whether it is written down even if all goes well.
    kept: Cell<bool>,
    done: Cell<bool>,
    /// When the last step was taken; answers follow at once.
    last: Cell<Millis>,
    /// What it came to when the node itself answers, without a backend server.
    own: Cell<Option<&'static str>>,
    plan: OnceCell<Plan>,
    picks: Cell<u32>,
    steps: RefCell<SmallVec<[(Millis, Step); STEPS]>>,
    span: RefCell<Option<ActiveSpan>>,
}

impl IngressRecord {
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
            own: Cell::new(None),
            plan: OnceCell::new(),
            picks: Cell::new(0),
            steps: RefCell::default(),
            span: RefCell::default(),
        }
    }

    /// Begins the span of the request, if it is traced, as the parent of what follows.
    pub(crate) fn trace(&self, headers: &mut Headers) {
        let chosen = self.kept.get() && is_one_in(SPAN_SAMPLE, &self.request);
        let span = self.trail.spans.start("ingress", headers, chosen);
        *self.span.borrow_mut() = span;
    }

    /// Tells the route, and the part of it that takes the request.
    pub(crate) fn routed(&self, route: &Rc<Route>, part: usize, routes: (u64, u64), body: usize) {
        self.plan.get_or_init(|| Plan {
            route: Rc::clone(route),
            part,
            version: routes.0,
            version_age_ms: routes.1,
            body_bytes: body as u64,
        });
    }

    /// Tells that no route takes the request.
    pub(crate) fn unrouted(&self, host: &str, path: &str, version: u64) {
        let event = Event::Unrouted {
            request: self.request.clone(),
            host: clip(host),
            path: clip(path),
            version,
        };
        self.fail("unrouted", event);
    }

    /// Tells that no routes are known yet.
    pub(crate) fn unready(&self) {
        let event = Event::Unready {
            request: self.request.clone(),
        };
        self.fail("unready", event);
    }

    /// Tells the backend server that was chosen, and why.
    pub(crate) fn chosen(&self, now: Millis, chosen: &ServerChoice, work_ms: u64, revision: u64) {
        self.picks.set(self.picks.get() + 1);
        let pick = Pick::new(self.picks.get(), now, chosen, work_ms, revision);
        self.step(now, Step::Picked(pick));
    }

    /// Tells how an attempt ended, and whether another follows.
    pub(crate) fn attempt_ended(&self, seen: AttemptSummary, standing: AttemptTotals, again: bool) {
        if seen.outcome != "answered" {
            self.kept.set(true);
        }
        self.trail.counts.attempt(seen.outcome, again);
        let now = self.trail.clock.now();
        self.last.set(now);
        let mut steps = self.steps.borrow_mut();
        let picks = steps.iter().rev().filter_map(|(_, step)| step.pick());
        let mut named = picks.filter(|pick| pick.server == seen.server);
        let (number, at) = named.next().map_or((0, now), |pick| (pick.number, pick.at));
        let end = End {
            seen,
            number,
            took_ms: now.since(at),
            standing,
            again,
        };
        // What was decided on the end stands behind it.
        let decided = match steps.last() {
            Some((_, step)) if is_given_up(step) => steps.pop(),
            Some(_) | None => None,
        };
        steps.push((now, Step::Ended(end)));
        steps.extend(decided);
    }

    /// Tells that nothing more can be done.
    pub(crate) fn given_up(&self, reason: &str, now: AttemptTotals, left_ms: u64) {
        let event = Event::GivenUp {
            request: self.request.clone(),
            reason: reason.into(),
            sends: now.sends,
            refusals: now.refusals,
            uncertain: now.uncertain,
            left_ms,
        };
        self.fail("given_up", event);
    }

    /// Tells that the time ended before an answer.
    pub(crate) fn deadline(&self, now: AttemptTotals) {
        let (attempt, server) = self.last_pick();
        // An attempt that is under way may have reached a backend server.
        let event = Event::Deadline {
            request: self.request.clone(),
            sends: now.sends,
            refusals: now.refusals,
            uncertain: now.uncertain,
            attempt,
            server,
            waited_ms: self.trail.clock.now().since(self.begun),
        };
        self.fail("deadline", event);
    }

    /// Tells the answer that the caller gets; the story ends with it.
    pub(crate) fn answered(&self, answer: &Answer) {
        self.done.set(true);
        let now = self.last.get();
        let took_ms = now.since(self.begun);
        let plan = self.plan.get();
        let aim_ms = plan.map(|plan| plan.route.aim_ms);
        let status = answer.status.as_u16();
        let own = self.own.get().is_some();
        self.trail.counts.answered(status, took_ms, aim_ms, own);
        if status >= 500 || aim_ms.is_some_and(|aim| took_ms > aim) {
            self.kept.set(true);
        }
        if self.kept.get() {
            // Only an answer of the node itself tells its caller when to come back.
            let back = own.then(|| crate::headers::text(&answer.headers, "retry-after"));
            let event = Event::Answered {
                request: self.request.clone(),
                route: plan.map_or_else(CompactString::default, |p| p.route.name.clone()),
                service: plan.map_or_else(CompactString::default, |p| p.service().clone()),
                status,
                took_ms,
                aim_ms,
                attempts: self.picks.get(),
                own,
                retry_after: back.flatten().map(clip),
            };
            self.tell(Some((now, event)));
        }
        self.end_hop(Some(status));
    }

    /// Returns the number and the backend server of the last attempt.
    fn last_pick(&self) -> (u32, CompactString) {
        let steps = self.steps.borrow();
        let mut picks = steps.iter().rev().filter_map(|(_, step)| step.pick());
        let last = picks.next();
        last.map_or_else(Default::default, |p| (p.number, p.server.clone()))
    }

    /// Adds a step that makes the request one that is written down.
    fn fail(&self, outcome: &'static str, event: Event) {
        self.kept.set(true);
        self.own.set(Some(outcome));
        self.trail.counts.count(&event);
        self.step(self.trail.clock.now(), Step::Other(Box::new(event)));
    }

    fn step(&self, now: Millis, step: Step) {
        self.last.set(now);
        self.steps.borrow_mut().push((now, step));
    }

    /// Writes the steps down, with the last one.
    fn tell(&self, last: Option<(Millis, Event)>) {
        let (request, plan) = (&self.request, self.plan.get());
        let trace = self.span.borrow().as_ref().map(ActiveSpan::trace_id);
        let steps = self.steps.borrow();
        let mut events = Vec::with_capacity(steps.len() + 2);
        events.extend(plan.map(|plan| (self.begun, plan.event(request, trace))));
        events.extend(steps.iter().map(|(at, s)| (*at, s.event(request, plan))));
        events.extend(last);
        self.trail.write_all(&events);
    }

    /// Ends the span, if there is one.
    fn end_hop(&self, status: Option<u16>) {
        let Some(mut span) = self.span.take() else {
            return;
        };
        let (attempts, server) = self.last_pick();
        span.set_text("request", &self.request);
        if let Some(plan) = self.plan.get() {
            span.set_text("route", &plan.route.name);
            span.set_text("service", plan.service());
        }
        span.set_text("server", &server);
        span.set_text("outcome", self.own.get().unwrap_or("answered"));
        if let Some(status) = status {
            span.set_number("status", status.into());
        }
        span.set_number("attempts", attempts.into());
    }
}

impl Drop for IngressRecord {
    fn drop(&mut self) {
        if self.done.get() {
            return;
        }
        let (attempt, server) = self.last_pick();
        let event = Event::Cancelled {
            request: self.request.clone(),
            attempt,
            server,
            waited_ms: self.trail.clock.now().since(self.begun),
            stopping: self.trail.is_stopping(),
        };
        self.fail("cancelled", event);
        self.tell(None);
        self.end_hop(None);
    }
}

fn is_given_up(step: &Step) -> bool {
    matches!(step, Step::Other(event) if matches!(**event, Event::GivenUp { .. }))
}
