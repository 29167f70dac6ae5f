//! The steps of a request at its ingress, as they are kept until it is known whether they are
//! written down. Nothing of them is an [`Event`] before that.

use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Millis, Placement, Route, ServerEstimate};

use super::{AttemptSummary, AttemptTotals, Event};
use crate::server_table::ServerChoice;

/// The way that was found for a request, and by which version of the routes.
pub(super) struct Plan {
    pub(super) route: Rc<Route>,
    pub(super) part: usize,
    pub(super) version: u64,
    pub(super) version_age_ms: u64,
    pub(super) body_bytes: u64,
}

impl Plan {
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

/// A backend server that was chosen, and what decided.
pub(super) struct Pick {
    pub(super) server: CompactString,
    pub(super) number: u32,
    pub(super) at: Millis,
    peer: Option<SocketAddr>,
    place: Placement,
    site: ServerEstimate,
    open: u64,
    work_ms: u64,
    revision: u64,
}

impl Pick {
    pub(super) fn new(
        number: u32,
        at: Millis,
        chosen: &ServerChoice,
        work_ms: u64,
        revision: u64,
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
            revision,
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
            list_revision: self.revision,
        }
    }
}

/// How an attempt ended, and what was decided on that.
pub(super) struct End {
    pub(super) seen: AttemptSummary,
    pub(super) number: u32,
    pub(super) took_ms: u64,
    pub(super) standing: AttemptTotals,
    pub(super) again: bool,
}

impl End {
    fn event(&self, request: &CompactString, route: Option<&Route>) -> Event {
        Event::AttemptEnded {
            request: request.clone(),
            attempt: self.number,
            server: self.seen.server.clone(),
            outcome: self.seen.outcome,
            status: self.seen.status,
            why: self.seen.why,
            took_ms: self.took_ms,
            sends: self.standing.sends,
            attempts_max: route.map_or(0, |route| route.attempts),
            refusals: self.standing.refusals,
            uncertain: self.standing.uncertain,
            idempotent: route.is_some_and(|route| route.kind.is_idempotent()),
            again: self.again,
        }
    }
}

/// One step of a request.
pub(super) enum Step {
    Picked(Pick),
    Ended(End),
    /// A step that most requests do not have.
    Other(Box<Event>),
}

impl Step {
    /// Returns the event of the step.
    pub(super) fn event(&self, request: &CompactString, plan: Option<&Plan>) -> Event {
        match self {
            Self::Picked(pick) => {
                let service = plan.map(|plan| plan.service().clone());
                pick.event(request, service.unwrap_or_default())
            }
            Self::Ended(end) => end.event(request, plan.map(|plan| &*plan.route)),
            Self::Other(event) => Event::clone(event),
        }
    }

    /// Returns the backend server that was chosen in this step.
    pub(super) fn pick(&self) -> Option<&Pick> {
        match self {
            Self::Picked(pick) => Some(pick),
            Self::Ended(_) | Self::Other(_) => None,
        }
    }
}
