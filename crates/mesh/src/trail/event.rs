//! The decisions and state changes that a node logs, with the inputs of each decision.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;
use oriolering::StorePosition;
use serde::Serialize;

use super::{Origin, Rank};

/// A decision or state change. `docs/OPERATIONS.md` lists all events with their fields.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event {
    /// The ingress matched a request to a route and chose a part of the route.
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
    /// No route matches a request.
    Unrouted {
        request: CompactString,
        host: CompactString,
        path: CompactString,
        version: u64,
    },
    /// A request arrived before the node had any routes.
    Unready { request: CompactString },
    /// The ingress chose a backend server for an attempt.
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
        list_position: StorePosition,
    },
    /// An attempt ended, and the ingress decided whether another follows.
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
    /// The ingress gave up a request.
    GivenUp {
        request: CompactString,
        reason: CompactString,
        sends: u32,
        refusals: u32,
        uncertain: bool,
        left_ms: u64,
    },
    /// The deadline of a request passed before an answer.
    Deadline {
        request: CompactString,
        sends: u32,
        refusals: u32,
        uncertain: bool,
        attempt: u32,
        server: CompactString,
        waited_ms: u64,
    },
    /// The caller disconnected, or the node stopped, before an answer.
    Cancelled {
        request: CompactString,
        attempt: u32,
        server: CompactString,
        waited_ms: u64,
        stopping: bool,
    },
    /// A connection ended within the body of a request, which was therefore not processed.
    BodyCut {
        request: CompactString,
        method: CompactString,
        path: CompactString,
        bytes: u64,
        stopping: bool,
    },
    /// The ingress answered the caller.
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
    /// The ingress truncated a streamed response, or the caller left before its end.
    ResponseCut {
        request: CompactString,
        end: &'static str,
        streamed_bytes: u64,
    },
    /// The gate admitted a request.
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
    /// The gate queued a request.
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
    /// The gate refused a request, which has not run and will not run at this gate.
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
    /// The exchange with the backend server failed.
    ExchangeBroke {
        request: CompactString,
        error: CompactString,
    },
    /// The gate dropped a request because its caller, its ingress or the link is gone.
    Dropped {
        request: CompactString,
        server: CompactString,
        stage: &'static str,
        after_ms: u64,
        stopping: bool,
    },
    /// The use of the repeat budget of a service in the window that ends now.
    BudgetSpent {
        service: CompactString,
        requests: u64,
        repeats: u64,
        calls: u64,
        allowed: u64,
        nodes: Option<u64>,
    },
    /// The process has started.
    Started {
        service: CompactString,
        zone: CompactString,
        incarnation: u64,
    },
    /// The process was told to stop.
    Stopping { active: u64, grace_ms: u64 },
    /// The process is about to exit.
    Stopped { active: u64, after_ms: u64 },
    /// The settings were reloaded; those that can change at run time are in effect.
    SettingsReloaded {
        cause: &'static str,
        changed: CompactString,
        needs_restart: CompactString,
    },
    /// The reloaded settings are invalid; the current ones stay in effect.
    SettingsRejected {
        cause: &'static str,
        error: CompactString,
    },
    /// The store no longer responds.
    StoreLost {
        error: CompactString,
        position: StorePosition,
    },
    /// The store responds again.
    StoreBack {
        lost_ms: u64,
        position: StorePosition,
    },
    /// The store has compacted the changes since a position; all items are read again.
    StoreCompacted { position: StorePosition },
    /// The store came back from a copy, and a complete list of its new era is in effect.
    StoreReturned {
        before: StorePosition,
        after: StorePosition,
        kept: u64,
        withheld: u64,
        dropped: u64,
        source: Origin,
    },
    /// An answer of the store has no era that can be read, and counts as one of era 0.
    StoreEraRejected { era: CompactString },
    /// All items of the store were read.
    StoreRead {
        position: StorePosition,
        servers: u64,
    },
    /// An item in the store cannot be read and is ignored.
    StoreItemRejected {
        key: CompactString,
        position: StorePosition,
        error: CompactString,
    },
    /// Newer routes are in effect.
    RoutesTaken {
        version: u64,
        before: u64,
        source: Origin,
        age_ms: u64,
    },
    /// Published routes are invalid; the current ones stay in effect.
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
    /// A peer is silent, and is avoided until it is heard from again.
    PeerSuspected { peer: SocketAddr, silent_ms: u64 },
    /// A suspected peer was heard from again.
    PeerCleared { peer: SocketAddr },
    /// A peer was silent for too long, and its link is closed.
    PeerGivenUp { peer: SocketAddr, silent_ms: u64 },
    /// The list no longer contains a peer, which is removed.
    PeerGone {
        peer: SocketAddr,
        list_position: StorePosition,
    },
    /// Another node opened a link to this one.
    NodeLinked {
        peer: IpAddr,
        name: CompactString,
        incarnation: u64,
    },
    /// The link from another node ended; the requests that it offered are dropped.
    NodeUnlinked {
        peer: IpAddr,
        error: CompactString,
        calls: u64,
    },
    /// This node started or stopped watching the store.
    WatchChanged {
        reading: bool,
        readers: u64,
        list_position: StorePosition,
    },
    /// The first list of backend servers is in effect.
    ListTaken {
        servers: u64,
        list_position: StorePosition,
        source: Origin,
    },
    /// The routes and the list that a restarted node has received are confirmed for use.
    ListConfirmed {
        by: &'static str,
        version: u64,
        list_position: StorePosition,
    },
    /// The list contains a new backend server, or one whose attributes changed.
    ServerListed {
        server: CompactString,
        service: CompactString,
        address: SocketAddr,
        state: &'static str,
        slots: u32,
        list_position: StorePosition,
        source: Origin,
    },
    /// The list no longer contains a backend server.
    ServerGone {
        server: CompactString,
        service: CompactString,
        list_position: StorePosition,
        source: Origin,
    },
    /// The local backend server does not respond; its gate refuses requests.
    ServerDown {
        server: CompactString,
        error: CompactString,
        probes_lost: u32,
        heard_ms: u64,
    },
    /// The local backend server responds again.
    ServerUp { server: CompactString, down_ms: u64 },
    /// The local backend server set or changed its limit of requests per second.
    ServerLimited { server: CompactString, per_s: f64 },
    /// The local backend server removed its limit.
    ServerUnlimited {
        server: CompactString,
        limited_ms: u64,
    },
    /// The local backend server sent an invalid limit, which counts as none.
    LimitRejected {
        server: CompactString,
        value: CompactString,
    },
    /// The local backend server announced in an answer that it is leaving.
    ServerLeaves { server: CompactString },
    /// The local backend server is cold, or may be, so that the rate of requests to it is limited.
    ServerCold {
        server: CompactString,
        per_s: f64,
        /// Whether it said so or has just started; otherwise the last health check is too old.
        known: bool,
    },
    /// The local backend server is no longer limited for being cold.
    ServerWarm {
        server: CompactString,
        limited_ms: u64,
    },
    /// The operator evacuates an availability zone; its backend servers get no requests.
    ZoneEvacuated {
        zone: CompactString,
        list_position: StorePosition,
        source: Origin,
    },
    /// The evacuation of an availability zone has ended.
    ZoneRestored {
        zone: CompactString,
        list_position: StorePosition,
        source: Origin,
    },
    /// A request was in flight when the local backend server crashed.
    Suspected {
        request: CompactString,
        server: CompactString,
        fingerprint: CompactString,
        verdict: &'static str,
    },
    /// A request is refused from now on, because backend servers crashed while running it.
    RequestQuarantined {
        fingerprint: CompactString,
        for_ms: u64,
    },
    /// A suspected or quarantined request has finished a run.
    RequestCleared { fingerprint: CompactString },
    /// A connection was not accepted.
    AcceptFailed {
        listener: &'static str,
        error: CompactString,
    },
    /// Log lines were dropped since the last report.
    LinesDropped {
        lines: u64,
        successes: u64,
        failures: u64,
        changes: u64,
        queue_full: u64,
    },
}

impl Event {
    /// Returns the rank of the event, which decides what is dropped first under load.
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
            | Self::ResponseCut { .. }
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
            | Self::StoreReturned { .. }
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
            | Self::ServerCold { .. }
            | Self::ServerWarm { .. }
            | Self::ZoneEvacuated { .. }
            | Self::ZoneRestored { .. }
            | Self::RequestCleared { .. } => Rank::Change,
            Self::SettingsRejected { .. }
            | Self::StoreLost { .. }
            | Self::StoreEraRejected { .. }
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

    /// Returns whether a step of a request ended in a failure or a server error.
    pub(super) fn is_setback(&self) -> bool {
        let is_server_error = |status: u16| status >= 500;
        matches!(self, Self::AttemptEnded { outcome, .. } | Self::Ran { outcome, .. } if *outcome != "answered")
            || matches!(self, Self::Ran { status: Some(status), .. } if is_server_error(*status))
            || matches!(self, Self::Answered { status, .. } if is_server_error(*status))
    }
}
