//! Explains what an ingress knows about a backend server and why it would or would not choose it.

use compact_str::CompactString;
use serde::Serialize;

use crate::adaptive::View;
use crate::health::Health;
use crate::keys::{ServerKey, ZoneKey};
use crate::load_hint::LoadHint;
use crate::tracked_server::TrackedServer;

/// How one ingress classifies a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerClass {
    /// It has free slots.
    Cold,
    /// All its slots are in use, or it has just refused a request.
    Hot,
    /// It is new or recovering, and its share of requests is still growing.
    Ramping,
    /// It failed or was slow; it gets only occasional trial requests.
    Suspect,
    /// It takes no new work.
    Leaving,
}

/// What one ingress knows about one backend server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The backend server.
    pub server: ServerKey,
    /// Whether it is in the subset that this ingress uses.
    pub subset: bool,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it is in the availability zone of the ingress.
    pub local: bool,
    /// The number of requests in flight from this ingress.
    pub inflight: u32,
    /// The last load report of its gate.
    pub hint: Option<LoadHint>,
    /// The age of that report in milliseconds.
    pub age_ms: Option<u64>,
    /// The mean latency of responses seen by this ingress, in microseconds.
    pub latency_us: Option<u64>,
    /// The estimated number of requests at the backend server, from all ingresses.
    pub load: f64,
    /// Its class.
    pub class: ServerClass,
    /// Why it would or would not be chosen at present.
    pub reason: CompactString,
}

/// Explains the state of one backend server.
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
        return "not chosen: it is no longer in the member list";
    }
    if !server.in_subset && class != ServerClass::Leaving {
        return "not chosen: it is outside the subset of this ingress";
    }
    match class {
        ServerClass::Hot | ServerClass::Ramping if view.now < server.avoid_until => {
            "chosen only when all others refuse as well: it has just refused a request"
        }
        ServerClass::Leaving => "not chosen: it takes no new work",
        ServerClass::Suspect if view.panic => {
            "may be chosen: most backend servers are suspect, so suspicion is ignored"
        }
        ServerClass::Suspect => {
            "gets only occasional trial requests: it failed or was slower than the others"
        }
        ServerClass::Ramping => "chosen for a growing share of its slots while it ramps up",
        ServerClass::Hot => "chosen only when no other backend server has a free slot",
        ServerClass::Cold if view.is_local(server) => {
            "chosen first: it is local and has free slots"
        }
        ServerClass::Cold => {
            "chosen when no local backend server has free slots or this one has fewer in flight"
        }
    }
}
