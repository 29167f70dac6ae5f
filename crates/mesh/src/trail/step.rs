//! The steps of a request at its ingress, in the compact form that is kept until the request
//! ends. They become [`Event`]s only if the request is logged.

use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Millis, Placement, Route, ServerEstimate, StorePosition};

use super::{AttemptSummary, AttemptTotals, Event};
use crate::server_table::ServerChoice;

/// The route and the part of it that a request matched, and the version of the routes.
pub(super) struct RouteMatch {
    pub(super) route: Rc<Route>,
    pub(super) part: usize,
    pub(super) version: u64,
    pub(super) version_age_ms: u64,
    pub(super) body_bytes: u64,
}

impl RouteMatch {
    pub(super) fn service(&self) -> &CompactString {
        &self.route.parts[self.part].service
    }

    pub(super) fn event(&self, request: &CompactString, trace: Option<CompactString>) -> Event {
        Event::Routed {
            request: request.clone(),
            route: self.route.name.clone(),
            service: self.service().clone(),
            parts: self.route.parts.len() as u64,
            version: self.version,
            version_age_ms: self.version_age_ms,
            limit_ms: self.route.timeout_ms,
            body_bytes: self.body_bytes,
            trace,
        }
    }
}

/// The choice of a backend server, with the inputs of the decision.
pub(super) struct Choice {
    pub(super) server: CompactString,
    pub(super) number: u32,
    pub(super) at: Millis,
    peer: Option<SocketAddr>,
    place: Placement,
    site: ServerEstimate,
    open: u64,
    work_ms: u64,
    position: StorePosition,
}

impl Choice {
    pub(super) fn new(
        number: u32,
        at: Millis,
        chosen: &ServerChoice,
        work_ms: u64,
        position: StorePosition,
    ) -> Self {
        Self {
            server: chosen.server.clone(),
            number,
            at,
            peer: chosen.gate.address(),
            place: chosen.placement,
            site: chosen.estimate,
            open: chosen.candidates as u64,
            work_ms,
            position,
        }
    }

    fn event(&self, request: &CompactString, service: CompactString) -> Event {
        let load = self.site.load;
        Event::Chosen {
            request: request.clone(),
            attempt: self.number,
            service,
            server: self.server.clone(),
            peer: self.peer,
            expected_ms: self.place.expected_ms,
            next_ms: self.place.next_best_ms,
            work_ms: self.work_ms,
            open: self.open,
            load_age_ms: self.at.since(self.site.reported),
            running: load.running,
            waiting: load.waiting,
            capacity: load.capacity,
            sent: self.site.sent,
            work_percent: load.work_percent,
            failures_permille: self.site.failure_rate(self.at),
            list_position: self.position,
        }
    }
}

/// How an attempt ended, and whether another follows.
pub(super) struct AttemptEnd {
    pub(super) summary: AttemptSummary,
    pub(super) number: u32,
    pub(super) took_ms: u64,
    pub(super) totals: AttemptTotals,
    pub(super) again: bool,
}

impl AttemptEnd {
    fn event(&self, request: &CompactString, route: Option<&Route>) -> Event {
        Event::AttemptEnded {
            request: request.clone(),
            attempt: self.number,
            server: self.summary.server.clone(),
            outcome: self.summary.outcome,
            status: self.summary.status,
            why: self.summary.why,
            took_ms: self.took_ms,
            sends: self.totals.sends,
            attempts_max: route.map_or(0, |route| route.attempts),
            refusals: self.totals.refusals,
            uncertain: self.totals.uncertain,
            idempotent: route.is_some_and(|route| route.kind.is_idempotent()),
            again: self.again,
        }
    }
}

/// One step of a request.
pub(super) enum Step {
    Chosen(Choice),
    Ended(AttemptEnd),
    /// A rare step, boxed to keep the others small.
    Other(Box<Event>),
}

impl Step {
    /// Returns the event that is logged for the step.
    pub(super) fn event(&self, request: &CompactString, matched: Option<&RouteMatch>) -> Event {
        match self {
            Self::Chosen(choice) => {
                let service = matched.map(|matched| matched.service().clone());
                choice.event(request, service.unwrap_or_default())
            }
            Self::Ended(end) => end.event(request, matched.map(|matched| &*matched.route)),
            Self::Other(event) => Event::clone(event),
        }
    }

    /// Returns the choice of a backend server, if the step is one.
    pub(super) fn choice(&self) -> Option<&Choice> {
        match self {
            Self::Chosen(choice) => Some(choice),
            Self::Ended(_) | Self::Other(_) => None,
        }
    }
}
