//! The decisions that a node writes down, with the inputs that decided.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use serde::Serialize;

use super::{Origin, Rank};

/// One decision. `docs/OPERATIONS.md` lists all of them with their fields.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event {
    /// The ingress found the route of a request and the part of it that takes it.
    Routed {
        request: CompactString,
        route: CompactString,
        service: CompactString,
        parts: u64,
        version: u64,
        version_age_ms: u64,
        limit_ms: u64,
        body_bytes: u64,
        trace: Option<CompactString>,
    },
    /// No route takes a request.
    Unrouted {
        request: CompactString,
        host: CompactString,
        path: CompactString,
        version: u64,
    },
    /// A request came before the node knew any routes.
    Unready { request: CompactString },
    /// The ingress chose a backend server.
    Chosen {
        request: CompactString,
        attempt: u32,
        service: CompactString,
        server: CompactString,
        peer: Option<SocketAddr>,
        expected_ms: u64,
        next_ms: Option<u64>,
        work_ms: u64,
        open: u64,
        load_age_ms: u64,
        running: u32,
        waiting: u32,
        capacity: u32,
        sent: u32,
        work_percent: u32,
        failures_permille: u32,
        list_revision: u64,
    },
    /// The ingress learned how an attempt ended, and decided whether another follows.
    AttemptEnded {
        request: CompactString,
        attempt: u32,
        server: CompactString,
        outcome: &'static str,
        status: Option<u16>,
        why: Option<&'static str>,
        took_ms: u64,
        sends: u32,
        attempts_max: u32,
        refusals: u32,
        uncertain: bool,
        idempotent: bool,
        again: bool,
    },
    /// The ingress can do nothing more for a request.
    GivenUp {
        request: CompactString,
        reason: CompactString,
        sends: u32,
        refusals: u32,
        uncertain: bool,
        left_ms: u64,
    },
    /// The time for a request ended before an answer.
    Deadline {
        request: CompactString,
        sends: u32,
        refusals: u32,
        uncertain: bool,
        attempt: u32,
        server: CompactString,
        waited_ms: u64,
    },
    /// The caller left, or the node ended, before an answer.
    Cancelled {
        request: CompactString,
        attempt: u32,
        server: CompactString,
        waited_ms: u64,
        stopping: bool,
    },
    /// A connection ended within the body of a request, which therefore did not start.
    BodyCut {
        request: CompactString,
        method: CompactString,
        path: CompactString,
        bytes: u64,
        stopping: bool,
    },
    /// The caller gets an answer.
    Answered {
        request: CompactString,
        route: CompactString,
        service: CompactString,
        status: u16,
        took_ms: u64,
        aim_ms: Option<u64>,
        attempts: u32,
        own: bool,
        retry_after: Option<CompactString>,
    },
    /// The gate lets a request run.
    Admitted {
        request: CompactString,
        server: CompactString,
        waited_ms: u64,
        left_ms: u64,
        running: u32,
        waiting: u32,
        capacity: u32,
        work_percent: u32,
        load_age_ms: u64,
    },
    /// The gate lets a request wait.
    Queued {
        request: CompactString,
        server: CompactString,
        priority: u8,
        aim_ms: u32,
        left_ms: u32,
        work_ms: u32,
        running: u32,
        waiting: u32,
        capacity: u32,
        work_percent: u32,
        load_age_ms: u64,
    },
    /// The gate refuses a request, which has not run and never will.
    Refused {
        request: CompactString,
        server: CompactString,
        why: &'static str,
        back_ms: u64,
        waited_ms: u64,
        left_ms: u32,
        work_ms: u32,
        elsewhere_ms: Option<u32>,
        running: u32,
        waiting: u32,
        capacity: u32,
        work_percent: u32,
        load_age_ms: u64,
    },
    /// The exchange with the backend server ended.
    Ran {
        request: CompactString,
        server: CompactString,
        outcome: &'static str,
        status: Option<u16>,
        ran_ms: u64,
        waited_ms: u64,
    },
    /// The exchange with the backend server broke.
    ExchangeBroke {
        request: CompactString,
        error: CompactString,
    },
    /// The gate drops a request, since its caller, its ingress or the link left.
    Dropped {
        request: CompactString,
        server: CompactString,
        stage: &'static str,
        after_ms: u64,
        stopping: bool,
    },
    /// What was spent on repeats at a service, in the window that ends now.
    BudgetSpent {
        service: CompactString,
        requests: u64,
        repeats: u64,
        calls: u64,
        allowed: u64,
        nodes: Option<u64>,
    },
    /// The process runs.
    Started {
        service: CompactString,
        zone: CompactString,
        incarnation: u64,
    },
    /// The process was told to stop.
    Stopping { active: u64, grace_ms: u64 },
    /// The process ends.
    Stopped { active: u64, after_ms: u64 },
    /// The settings were read again, and what can change is in force.
    SettingsReloaded {
        cause: &'static str,
        changed: CompactString,
        needs_restart: CompactString,
    },
    /// The settings were read again and cannot be used; those in force stay.
    SettingsRejected {
        cause: &'static str,
        error: CompactString,
    },
    /// The store does not answer any more.
    StoreLost { error: CompactString, revision: u64 },
    /// The store answers again.
    StoreBack { lost_ms: u64, revision: u64 },
    /// The store has dropped the changes since a revision; all is read again.
    StoreCompacted { revision: u64 },
    /// The store was read as a whole.
    StoreRead { revision: u64, servers: u64 },
    /// Something in the store cannot be read and is passed over.
    StoreItemRejected {
        key: CompactString,
        revision: u64,
        error: CompactString,
    },
    /// Newer routes are in force.
    RoutesTaken {
        version: u64,
        before: u64,
        source: Origin,
        age_ms: u64,
    },
    /// Published routes cannot be used; those in force stay.
    RoutesRejected {
        version: u64,
        source: Origin,
        error: CompactString,
    },
    /// The link to a peer is up.
    PeerUp { peer: SocketAddr },
    /// The link to a peer ended; its calls are lost.
    PeerLost {
        peer: SocketAddr,
        error: CompactString,
        calls: u64,
    },
    /// A peer is silent, and avoided for now.
    PeerSuspected { peer: SocketAddr, silent_ms: u64 },
    /// A peer that was suspected is heard again.
    PeerCleared { peer: SocketAddr },
    /// A peer is silent for too long; its link is given up.
    PeerGivenUp { peer: SocketAddr, silent_ms: u64 },
    /// The list no longer names a peer, and it is dropped.
    PeerGone {
        peer: SocketAddr,
        list_revision: u64,
    },
    /// Another node has linked to this one.
    NodeLinked {
        peer: IpAddr,
        name: CompactString,
        incarnation: u64,
    },
    /// The link from another node ended; what it offered is dropped.
    NodeUnlinked {
        peer: IpAddr,
        error: CompactString,
        calls: u64,
    },
    /// This node began or ceased to watch the store.
    WatchChanged {
        reading: bool,
        readers: u64,
        list_revision: u64,
    },
    /// The first list of backend servers is in force.
    ListTaken {
        servers: u64,
        list_revision: u64,
        source: Origin,
    },
    /// What a node that starts again has learned may be used.
    ListConfirmed {
        by: &'static str,
        version: u64,
        list_revision: u64,
    },
    /// The list names a backend server, anew or in another state.
    ServerListed {
        server: CompactString,
        service: CompactString,
        address: SocketAddr,
        state: &'static str,
        slots: u32,
        list_revision: u64,
        source: Origin,
    },
    /// The list no longer names a backend server.
    ServerGone {
        server: CompactString,
        service: CompactString,
        list_revision: u64,
        source: Origin,
    },
    /// The local backend server does not answer; its gate refuses requests.
    ServerDown {
        server: CompactString,
        error: CompactString,
        probes_lost: u32,
        heard_ms: u64,
    },
    /// The local backend server answers again.
    ServerUp { server: CompactString, down_ms: u64 },
    /// The local backend server names, or changes, how many requests it takes.
    ServerLimited { server: CompactString, per_s: f64 },
    /// The local backend server names no limit any more.
    ServerUnlimited {
        server: CompactString,
        limited_ms: u64,
    },
    /// The local backend server names a limit that cannot be read, which counts as none.
    LimitRejected {
        server: CompactString,
        value: CompactString,
    },
    /// The local backend server says in an answer that it leaves.
    ServerLeaves { server: CompactString },
    /// A request was in flight when the local backend server crashed.
    Suspected {
        request: CompactString,
        server: CompactString,
        fingerprint: CompactString,
        verdict: &'static str,
    },
    /// A request is refused from now on, since backend servers crashed while they ran it.
    RequestQuarantined {
        fingerprint: CompactString,
        for_ms: u64,
    },
    /// A request that was suspect or quarantined has finished a run.
    RequestCleared { fingerprint: CompactString },
    /// A connection was not accepted.
    AcceptFailed {
        listener: &'static str,
        error: CompactString,
    },
    /// Lines were dropped in the second before.
    LinesDropped {
        lines: u64,
        successes: u64,
        failures: u64,
        changes: u64,
        queue_full: u64,
    },
}

impl Event {
    /// Returns what goes first when not all lines can be written.
    pub(crate) fn rank(&self) -> Rank {
        match self {
            Self::Routed { .. }
            | Self::Chosen { .. }
            | Self::AttemptEnded { .. }
            | Self::Answered { .. }
            | Self::Admitted { .. }
            | Self::Queued { .. }
            | Self::Ran { .. } => Rank::Success,
            Self::Unrouted { .. }
            | Self::Unready { .. }
            | Self::GivenUp { .. }
            | Self::Deadline { .. }
            | Self::Cancelled { .. }
            | Self::BodyCut { .. }
            | Self::Refused { .. }
            | Self::ExchangeBroke { .. }
            | Self::Dropped { .. } => Rank::Failure,
            Self::Started { .. }
            | Self::Stopping { .. }
            | Self::Stopped { .. }
            | Self::SettingsReloaded { .. }
            | Self::BudgetSpent { .. }
            | Self::StoreBack { .. }
            | Self::StoreCompacted { .. }
            | Self::StoreRead { .. }
            | Self::ListTaken { .. }
            | Self::ListConfirmed { .. }
            | Self::RoutesTaken { .. }
            | Self::PeerUp { .. }
            | Self::PeerCleared { .. }
            | Self::PeerGone { .. }
            | Self::NodeLinked { .. }
            | Self::NodeUnlinked { .. }
            | Self::WatchChanged { .. }
            | Self::ServerListed { .. }
            | Self::ServerGone { .. }
            | Self::ServerUp { .. }
            | Self::ServerLimited { .. }
            | Self::ServerUnlimited { .. }
            | Self::ServerLeaves { .. }
            | Self::RequestCleared { .. } => Rank::Change,
            Self::SettingsRejected { .. }
            | Self::StoreLost { .. }
            | Self::StoreItemRejected { .. }
            | Self::RoutesRejected { .. }
            | Self::PeerLost { .. }
            | Self::PeerSuspected { .. }
            | Self::PeerGivenUp { .. }
            | Self::ServerDown { .. }
            | Self::LimitRejected { .. }
            | Self::Suspected { .. }
            | Self::RequestQuarantined { .. }
            | Self::AcceptFailed { .. }
            | Self::LinesDropped { .. } => Rank::Trouble,
        }
    }

    /// Returns whether a step of a request shows that not all went as usual.
    pub(super) fn is_setback(&self) -> bool {
        let is_bad = |status: u16| status >= 500;
        matches!(self, Self::AttemptEnded { outcome, .. } | Self::Ran { outcome, .. } if *outcome != "answered")
            || matches!(self, Self::Ran { status: Some(status), .. } if is_bad(*status))
            || matches!(self, Self::Answered { status, .. } if is_bad(*status))
    }
}
