//! The backend servers from which an ingress chooses.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{
    CrossZoneCost, GateLoad, Millis, Placement, RequestCost, ServerEstimate, ServerRecord,
    ServerState, choose_server, choose_unreported,
};
use rand::Rng;
use smallvec::SmallVec;

use crate::peer::Peer;

/// The gate through which a backend server is reached.
#[derive(Clone)]
pub(crate) enum GateRef {
    /// The gate of this node.
    Local,
    /// The gate of another node.
    Remote(Rc<Peer>),
}

impl GateRef {
    fn is_up(&self) -> bool {
        match self {
            Self::Local => true,
            Self::Remote(peer) => peer.is_up(),
        }
    }

    /// Returns the address of the other node, if there is one.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        match self {
            Self::Local => None,
            Self::Remote(peer) => Some(peer.address),
        }
    }

    fn leads_to(&self, peer: &Rc<Peer>) -> bool {
        match self {
            Self::Local => false,
            Self::Remote(other) => Rc::ptr_eq(other, peer),
        }
    }
}

/// How many leaving runs are remembered: more than the number of runs that leave during the time
/// that one run takes to leave.
const LEAVING_MAX: usize = 1_024;

/// The backend servers that may be chosen, by their index in the table.
type Candidates<'a> = SmallVec<[(usize, &'a ServerEstimate); 16]>;

/// The identity of a backend server and the start time of one run of it.
type Run = (CompactString, Option<u64>);

struct ServerEntry {
    record: ServerRecord,
    estimate: ServerEstimate,
    gate: GateRef,
    /// Whether a response of the backend server said that it is leaving.
    leaving: bool,
    /// Whether its availability zone is evacuated.
    evacuated: bool,
}

/// The backend server chosen for a request.
pub(crate) struct ServerChoice {
    /// The identity of the backend server.
    pub(crate) server: CompactString,
    /// Its gate.
    pub(crate) gate: GateRef,
    /// The expected run of the request there.
    pub(crate) placement: Placement,
    /// What was known of the backend server at the time.
    pub(crate) estimate: ServerEstimate,
    /// How many backend servers could have been chosen.
    pub(crate) candidates: usize,
}

/// The listed backend servers, by service.
#[derive(Default)]
pub(crate) struct ServerTable {
    entries: Vec<ServerEntry>,
    services: HashMap<CompactString, Vec<usize>>,
    /// The runs of backend servers whose responses said that they are leaving, oldest first. They
    /// are kept here because a restarted gate does not know, and an entry may be listed again.
    leaving: VecDeque<Run>,
}

impl ServerTable {
    /// Replaces the list; the estimates of backend servers that stay listed are kept.
    pub(crate) fn replace(
        &mut self,
        now: Millis,
        zone: &str,
        records: Vec<(ServerRecord, GateRef)>,
        is_evacuated: impl Fn(&str) -> bool,
    ) {
        let mut previous: HashMap<Run, ServerEntry> = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|entry| (run_of(&entry.record), entry))
            .collect();
        self.services.clear();
        for (record, gate) in records {
            let run = run_of(&record);
            let leaving = self.leaving.contains(&run);
            let known = previous.remove(&run);
            let estimate = known.map_or_else(
                || ServerEstimate::new(now, record.slots, record.zone != zone),
                |entry| entry.estimate,
            );
            let evacuated = is_evacuated(&record.zone);
            let index = self.entries.len();
            self.services
                .entry(record.service.clone())
                .or_default()
                .push(index);
            self.entries.push(ServerEntry {
                record,
                estimate,
                gate,
                leaving,
                evacuated,
            });
        }
    }

    /// Chooses a backend server of `service` that accepts requests and is not in `tried`.
    pub(crate) fn choose(
        &self,
        now: Millis,
        service: &str,
        load: RequestCost,
        cross_zone_cost: CrossZoneCost,
        tried: &[CompactString],
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        let candidates = self.candidates(service, tried);
        let placement = choose_server(now, load, cross_zone_cost, candidates.iter().copied(), rng)?;
        Some(self.choice(placement, candidates.len()))
    }

    /// Chooses a backend server of `service` without a recent report that may complete a request
    /// within `left_ms` milliseconds and is not in `tried`.
    pub(crate) fn choose_unreported(
        &mut self,
        now: Millis,
        service: &str,
        load: RequestCost,
        left_ms: u64,
        tried: &[CompactString],
    ) -> Option<ServerChoice> {
        let candidates = self.candidates(service, tried);
        let count = candidates.len();
        let placement = choose_unreported(now, load, left_ms, candidates.into_iter())?;
        let choice = self.choice(placement, count);
        self.entries[placement.index].estimate.record_asked(now);
        Some(choice)
    }

    /// Returns the backend servers of `service` that accept requests and are not in `tried`.
    fn candidates(&self, service: &str, tried: &[CompactString]) -> Candidates<'_> {
        let indices = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let usable =
            |i: &&usize| self.is_usable(**i) && !tried.contains(&self.entries[**i].record.id);
        let usable = indices.iter().filter(usable);
        usable.map(|i| (*i, &self.entries[*i].estimate)).collect()
    }

    fn choice(&self, placement: Placement, candidates: usize) -> ServerChoice {
        let entry = &self.entries[placement.index];
        ServerChoice {
            server: entry.record.id.clone(),
            gate: entry.gate.clone(),
            placement,
            estimate: entry.estimate,
            candidates,
        }
    }

    fn is_usable(&self, index: usize) -> bool {
        let entry = &self.entries[index];
        let in_use = entry.record.state == ServerState::Ready && !entry.leaving;
        in_use && !entry.evacuated && entry.gate.is_up()
    }

    /// Records that a response of a backend server said that it is leaving; no more requests are
    /// sent to this run of it.
    pub(crate) fn mark_leaving(&mut self, server: &str) {
        let found = self.entries.iter_mut().find(|s| s.record.id == server);
        let Some(entry) = found.filter(|entry| !entry.leaving) else {
            return;
        };
        entry.leaving = true;
        self.leaving.push_back(run_of(&entry.record));
        if self.leaving.len() > LEAVING_MAX {
            self.leaving.pop_front();
        }
    }

    /// Returns how long work takes at a backend server now, as a percentage of the usual time.
    pub(crate) fn work_percent(&self, now: Millis, server: &str) -> Option<u64> {
        let entry = self.entries.iter().find(|s| s.record.id == server)?;
        Some(entry.estimate.work_percent(now))
    }

    /// Returns the duration of work that the gate of a backend server last reported, in percent of
    /// the usual one.
    pub(crate) fn reported_percent(&self, server: &str) -> Option<u32> {
        let entry = self.entries.iter().find(|s| s.record.id == server)?;
        Some(entry.estimate.load.work_percent)
    }

    /// Updates the estimate of one backend server.
    pub(crate) fn update_server(&mut self, server: &str, change: impl Fn(&mut ServerEstimate)) {
        let found = self.entries.iter_mut().find(|s| s.record.id == server);
        if let Some(entry) = found {
            change(&mut entry.estimate);
        }
    }

    /// Updates the estimates of the backend servers behind a peer.
    pub(crate) fn update_peer(&mut self, peer: &Rc<Peer>, change: impl Fn(&mut ServerEstimate)) {
        let behind = self.entries.iter_mut().filter(|s| s.gate.leads_to(peer));
        behind.for_each(|entry| change(&mut entry.estimate));
    }

    /// Updates whether the local gate accepts requests. No message announces that to this node.
    pub(crate) fn update_local_closed(&mut self, closed: bool) {
        let local = self
            .entries
            .iter_mut()
            .filter(|s| matches!(s.gate, GateRef::Local));
        local.for_each(|entry| entry.estimate.load.closed = closed);
    }

    /// Applies the load of the local gate.
    pub(crate) fn update_local_load(&mut self, now: Millis, load: GateLoad) {
        let local = self
            .entries
            .iter_mut()
            .filter(|s| matches!(s.gate, GateRef::Local));
        local.for_each(|entry| entry.estimate.update_load(now, load));
    }
}

/// Returns the run of a backend server that a record names.
fn run_of(record: &ServerRecord) -> Run {
    (record.id.clone(), record.born)
}
