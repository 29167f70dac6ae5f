//! The decisions of the ingress about one request.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Millis, Route, StorePosition};
use oriolering_http::Answer;
use smallvec::SmallVec;

use super::step::{AttemptEnd, Choice, RouteMatch, Step};
use super::{
    AttemptSummary, AttemptTotals, Event, SPAN_ONE_IN, StreamRecord, Trail, clip, is_one_in,
    is_sampled,
};
use crate::frame::Headers;
use crate::server_table::ServerChoice;
use crate::spans::ActiveSpan;

/// The steps of a usual request, one choice and one end of an attempt, which need no allocation.
const INLINE_STEPS: usize = 2;

/// Collects the steps of one request at its ingress; logs them when it ends.
pub(crate) struct IngressRecord {
    trail: Rc<Trail>,
    request: CompactString,
    started: Millis,
    /// Whether the request is logged.
    logged: Cell<bool>,
    done: Cell<bool>,
    /// The time of the last step; the answer follows it immediately.
    last_step: Cell<Millis>,
    /// The outcome if the node itself answers, without a backend server.
    own_outcome: Cell<Option<&'static str>>,
    matched: OnceCell<RouteMatch>,
    attempts: Cell<u32>,
    steps: RefCell<SmallVec<[(Millis, Step); INLINE_STEPS]>>,
    span: RefCell<Option<ActiveSpan>>,
}

impl IngressRecord {
    /// Returns the record of a request that arrived at `now`.
    pub(crate) fn new(trail: &Rc<Trail>, request: &str, now: Millis) -> Self {
        trail.counts.requests.add(1);
        Self {
            trail: Rc::clone(trail),
            request: clip(request),
            started: now,
            logged: Cell::new(is_sampled(request)),
            done: Cell::new(false),
            last_step: Cell::new(now),
            own_outcome: Cell::new(None),
            matched: OnceCell::new(),
            attempts: Cell::new(0),
            steps: RefCell::default(),
            span: RefCell::default(),
        }
    }

    /// Starts the span of the request, if it is traced, and makes it the parent in `headers`.
    pub(crate) fn trace(&self, headers: &mut Headers) {
        let chosen = self.logged.get() && is_one_in(SPAN_ONE_IN, &self.request);
        let span = self.trail.spans.start("ingress", headers, chosen);
        *self.span.borrow_mut() = span;
    }

    /// Records the route that the request matched, and the index of the chosen part.
    pub(crate) fn routed(&self, route: &Rc<Route>, part: usize, routes: (u64, u64), body: usize) {
        self.matched.get_or_init(|| RouteMatch {
            route: Rc::clone(route),
            part,
            version: routes.0,
            version_age_ms: routes.1,
            body_bytes: body as u64,
        });
    }

    /// Records that no route matches the request.
    pub(crate) fn unrouted(&self, host: &str, path: &str, version: u64) {
        let event = Event::Unrouted {
            request: self.request.clone(),
            host: clip(host),
            path: clip(path),
            version,
        };
        self.add_failure("unrouted", event);
    }

    /// Records that the node has no routes yet.
    pub(crate) fn unready(&self) {
        let event = Event::Unready {
            request: self.request.clone(),
        };
        self.add_failure("unready", event);
    }

    /// Records the chosen backend server and the inputs of the choice.
    pub(crate) fn chosen(
        &self,
        now: Millis,
        chosen: &ServerChoice,
        work_ms: u64,
        position: StorePosition,
    ) {
        self.attempts.set(self.attempts.get() + 1);
        let choice = Choice::new(self.attempts.get(), now, chosen, work_ms, position);
        self.add_step(now, Step::Chosen(choice));
    }

    /// Records how an attempt ended, and whether another follows.
    pub(crate) fn attempt_ended(
        &self,
        summary: AttemptSummary,
        totals: AttemptTotals,
        again: bool,
    ) {
        if summary.outcome != "answered" {
            self.logged.set(true);
        }
        self.trail.counts.attempt(summary.outcome, again);
        let now = self.trail.clock.now();
        self.last_step.set(now);
        let mut steps = self.steps.borrow_mut();
        let choices = steps.iter().rev().filter_map(|(_, step)| step.choice());
        let mut named = choices.filter(|choice| choice.server == summary.server);
        let (number, at) = named
            .next()
            .map_or((0, now), |choice| (choice.number, choice.at));
        let end = AttemptEnd {
            summary,
            number,
            took_ms: now.since(at),
            totals,
            again,
        };
        // A decision to give up is recorded before the end that caused it; it is moved behind it.
        let decided = match steps.last() {
            Some((_, step)) if is_given_up(step) => steps.pop(),
            Some(_) | None => None,
        };
        steps.push((now, Step::Ended(end)));
        steps.extend(decided);
    }

    /// Records that the ingress gives up the request.
    pub(crate) fn given_up(&self, reason: &str, totals: AttemptTotals, left_ms: u64) {
        let event = Event::GivenUp {
            request: self.request.clone(),
            reason: reason.into(),
            sends: totals.sends,
            refusals: totals.refusals,
            uncertain: totals.uncertain,
            left_ms,
        };
        self.add_failure("given_up", event);
    }

    /// Records that the deadline passed before an answer.
    pub(crate) fn deadline(&self, totals: AttemptTotals) {
        let (attempt, server) = self.last_choice();
        // An attempt that is under way may have reached a backend server.
        let event = Event::Deadline {
            request: self.request.clone(),
            sends: totals.sends,
            refusals: totals.refusals,
            uncertain: totals.uncertain,
            attempt,
            server,
            waited_ms: self.trail.clock.now().since(self.started),
        };
        self.add_failure("deadline", event);
    }

    /// Records the answer to the caller, which ends the request.
    pub(crate) fn answered(&self, answer: &Answer) {
        self.done.set(true);
        let now = self.last_step.get();
        let took_ms = now.since(self.started);
        let matched = self.matched.get();
        let aim_ms = matched.map(|matched| matched.route.aim_ms);
        let status = answer.status.as_u16();
        let own = self.own_outcome.get().is_some();
        self.trail.counts.answered(status, took_ms, aim_ms, own);
        if status >= 500 || aim_ms.is_some_and(|aim| took_ms > aim) {
            self.logged.set(true);
        }
        if self.logged.get() {
            // A header that a backend server has set is not logged.
            let retry_after = own.then(|| crate::headers::text(&answer.headers, "retry-after"));
            let event = Event::Answered {
                request: self.request.clone(),
                route: matched.map_or_else(CompactString::default, |m| m.route.name.clone()),
                service: matched.map_or_else(CompactString::default, |m| m.service().clone()),
                status,
                took_ms,
                aim_ms,
                attempts: self.attempts.get(),
                own,
                retry_after: retry_after.flatten().map(clip),
            };
            self.log_steps(Some((now, event)));
        }
        self.end_span(Some(status));
    }

    /// Returns the record of the streamed response to the request.
    pub(crate) fn stream(&self) -> StreamRecord {
        StreamRecord::new(&self.trail, &self.request)
    }

    /// Returns the number and the backend server of the last attempt.
    fn last_choice(&self) -> (u32, CompactString) {
        let steps = self.steps.borrow();
        let mut choices = steps.iter().rev().filter_map(|(_, step)| step.choice());
        let last = choices.next();
        last.map_or_else(Default::default, |c| (c.number, c.server.clone()))
    }

    /// Adds a step with a failure, so that the request is logged.
    fn add_failure(&self, outcome: &'static str, event: Event) {
        self.logged.set(true);
        self.own_outcome.set(Some(outcome));
        self.trail.counts.count(&event);
        self.add_step(self.trail.clock.now(), Step::Other(Box::new(event)));
    }

    fn add_step(&self, now: Millis, step: Step) {
        self.last_step.set(now);
        self.steps.borrow_mut().push((now, step));
    }

    /// Logs all steps, followed by `last`.
    fn log_steps(&self, last: Option<(Millis, Event)>) {
        let (request, matched) = (&self.request, self.matched.get());
        let trace = self.span.borrow().as_ref().map(ActiveSpan::trace_id);
        let steps = self.steps.borrow();
        let mut events = Vec::with_capacity(steps.len() + 2);
        events.extend(matched.map(|matched| (self.started, matched.event(request, trace))));
        events.extend(steps.iter().map(|(at, s)| (*at, s.event(request, matched))));
        events.extend(last);
        self.trail.write_all(&events);
    }

    /// Ends the span of the request, if it has one.
    fn end_span(&self, status: Option<u16>) {
        let Some(mut span) = self.span.take() else {
            return;
        };
        let (attempts, server) = self.last_choice();
        span.set_text("request", &self.request);
        if let Some(matched) = self.matched.get() {
            span.set_text("route", &matched.route.name);
            span.set_text("service", matched.service());
        }
        span.set_text("server", &server);
        span.set_text("outcome", self.own_outcome.get().unwrap_or("answered"));
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
        let (attempt, server) = self.last_choice();
        let event = Event::Cancelled {
            request: self.request.clone(),
            attempt,
            server,
            waited_ms: self.trail.clock.now().since(self.started),
            stopping: self.trail.is_stopping(),
        };
        self.add_failure("cancelled", event);
        self.log_steps(None);
        self.end_span(None);
    }
}

fn is_given_up(step: &Step) -> bool {
    matches!(step, Step::Other(event) if matches!(**event, Event::GivenUp { .. }))
}
