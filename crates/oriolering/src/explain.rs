//! What an ingress knows of a backend server and why it would or would not choose it.

use compact_str::CompactString;
use serde::Serialize;

use crate::adaptive::View;
use crate::health::Health;
use crate::keys::{ServerKey, ZoneKey};
use crate::load_hint::LoadHint;
use crate::tracked_server::TrackedServer;

/// How a backend server stands with one ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerClass {
    /// It has free slots.
    Cold,
    /// Its slots are taken, or it has just refused a request.
    Hot,
    /// It is new or recovering, and its share still grows.
    Ramping,
    /// It failed or was slow; it gets only occasional requests.
    Suspect,
    /// It takes no new work.
    Leaving,
}

/// The view of one ingress on one backend server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The backend server.
    pub server: ServerKey,
    /// Whether it is among those that this ingress uses.
    pub subset: bool,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether its availability zone is that of the ingress.
    pub local: bool,
    /// The requests in flight from this ingress.
    pub inflight: u32,
    /// The last report of its gate.
    pub hint: Option<LoadHint>,
    /// The age of that report in milliseconds.
    pub age_ms: Option<u64>,
    /// The mean latency of answers seen here, in microseconds.
    pub latency_us: Option<u64>,
    /// The estimated requests there, from all ingresses.
    pub load: f64,
    /// How it stands.
    pub class: ServerClass,
    /// Why it would or would not be chosen now.
    pub reason: CompactString,
}

/// Returns the view on one backend server.
pub(crate) fn explain_server(view: &View<'_>, server: &TrackedServer) -> Explanation {
    let class = class_of(view, server);
    Explanation {
        server: server.candidate.server,
        subset: server.in_subset,
        zone: server.candidate.zone,
        local: view.is_local(server),
        inflight: server.inflight,
        hint: server.report.map(|report| report.hint),
        age_ms: server.report.map(|report| view.now.since(report.received)),
        latency_us: server.latency.map(|us| us as u64),
        load: view.load(server),
        class,
        reason: reason_of(view, server, class).into(),
    }
}

fn class_of(view: &View<'_>, server: &TrackedServer) -> ServerClass {
    if server.is_leaving(view.now) {
        return ServerClass::Leaving;
    }
    match server.health {
        Health::Suspect { .. } => ServerClass::Suspect,
        Health::Ramping(_) if server.health.share(view.now, view.settings.ramp_ms) < 1.0 => {
            ServerClass::Ramping
        }
        Health::Healthy | Health::Ramping(_) => {
            let is_full = view.load(server) >= f64::from(server.limit());
            let is_cold = !is_full && view.now >= server.avoid_until;
            if is_cold {
                ServerClass::Cold
            } else {
                ServerClass::Hot
            }
        }
    }
}

fn reason_of(view: &View<'_>, server: &TrackedServer, class: ServerClass) -> &'static str {
    if server.removed {
        return "not chosen: it is no longer in the list of members";
    }
    if !server.in_subset && class != ServerClass::Leaving {
        return "not chosen: it is outside the subset of this ingress";
    }
    match class {
        ServerClass::Hot | ServerClass::Ramping if view.now < server.avoid_until => {
            "chosen only when all others refuse too: it has just refused a request"
        }
        ServerClass::Leaving => "not chosen: it takes no new work",
        ServerClass::Suspect if view.panic => {
            "may be chosen: most look bad, so suspicion is ignored"
        }
        ServerClass::Suspect => "only tried now and then: it failed or was slow beyond the others",
        ServerClass::Ramping => "chosen for a growing share of its slots",
        ServerClass::Hot => "chosen only when the others have no free slot either",
        ServerClass::Cold if view.is_local(server) => {
            "chosen first: it is local and has free slots"
        }
        ServerClass::Cold => "chosen when no local one has room or it has less in flight",
    }
}
