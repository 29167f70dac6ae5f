//! The backend servers that an ingress can choose from.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{
    CrossZoneCost, GateLoad, Millis, Placement, RequestCost, ServerEstimate, ServerRecord,
    ServerState, choose_server,
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

/// The runs that are remembered as leaving; more than leave in the time that they take.
const LEAVING_MAX: usize = 1_024;

/// The identity of a backend server, and when that run of it began.
type Run = (CompactString, Option<u64>);

struct ServerEntry {
    record: ServerRecord,
    estimate: ServerEstimate,
    gate: GateRef,
    /// Whether it has said in an answer that it leaves.
    leaving: bool,
}

/// A choice for a request.
pub(crate) struct ServerChoice {
    /// The backend server.
    pub(crate) server: CompactString,
    /// Its gate.
    pub(crate) gate: GateRef,
    /// What is expected of it.
    pub(crate) placement: Placement,
    /// What was known of it.
    pub(crate) estimate: ServerEstimate,
    /// How many could have been chosen.
    pub(crate) candidates: usize,
}

/// The backend servers that are listed, by service.
#[derive(Default)]
pub(crate) struct ServerTable {
    entries: Vec<ServerEntry>,
    services: HashMap<CompactString, Vec<usize>>,
    /// The runs of backend servers that have said in an answer that they leave, oldest first: a
    /// gate that starts again does not know, and an entry may come back.
    leaving: VecDeque<Run>,
}

impl ServerTable {
    /// Takes in a new list; what is known of backend servers that stay is kept.
    pub(crate) fn replace(
        &mut self,
        now: Millis,
        zone: &str,
        records: Vec<(ServerRecord, GateRef)>,
    ) {
        let mut before: HashMap<Run, ServerEntry> = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|entry| (run_of(&entry.record), entry))
            .collect();
        self.services.clear();
        for (record, gate) in records {
            let run = run_of(&record);
            let leaving = self.leaving.contains(&run);
            let known = before.remove(&run);
            let estimate = known.map_or_else(
                || ServerEstimate::new(now, record.slots, record.zone != zone),
                |entry| entry.estimate,
            );
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
            });
        }
    }

    /// Chooses a backend server of `service` that takes new work and was not tried yet.
    pub(crate) fn choose(
        &self,
        now: Millis,
        service: &str,
        load: RequestCost,
        crossing: CrossZoneCost,
        tried: &[CompactString],
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        let indices = self.services.get(service)?;
        let open: SmallVec<[(usize, &ServerEstimate); 16]> = indices
            .iter()
            .filter(|i| self.is_usable(**i) && !tried.contains(&self.entries[**i].record.id))
            .map(|i| (*i, &self.entries[*i].estimate))
            .collect();
        let placement = choose_server(now, load, crossing, open.iter().copied(), rng)?;
        let entry = &self.entries[placement.index];
        Some(ServerChoice {
            server: entry.record.id.clone(),
            gate: entry.gate.clone(),
            placement,
            estimate: entry.estimate,
            candidates: open.len(),
        })
    }

    fn is_usable(&self, index: usize) -> bool {
        let entry = &self.entries[index];
        entry.record.state == ServerState::Ready && entry.gate.is_up() && !entry.leaving
    }

    /// Notes that a backend server has said in an answer that it leaves; nothing is sent to that
    /// run of it any more.
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

    /// Returns how long work takes at a backend server now, as a percentage of the usual.
    pub(crate) fn work_percent(&self, now: Millis, server: &str) -> Option<u64> {
        let entry = self.entries.iter().find(|s| s.record.id == server)?;
        Some(entry.estimate.work_percent(now))
    }

    /// Changes what is known of one backend server.
    pub(crate) fn update_server(&mut self, server: &str, change: impl Fn(&mut ServerEstimate)) {
        let found = self.entries.iter_mut().find(|s| s.record.id == server);
        if let Some(entry) = found {
            change(&mut entry.estimate);
        }
    }

    /// Changes what is known of the backend servers behind a peer.
    pub(crate) fn update_peer(&mut self, peer: &Rc<Peer>, change: impl Fn(&mut ServerEstimate)) {
        let behind = self.entries.iter_mut().filter(|s| s.gate.leads_to(peer));
        behind.for_each(|entry| change(&mut entry.estimate));
    }

    /// Takes in the load of the local gate.
    pub(crate) fn update_local_load(&mut self, now: Millis, load: GateLoad) {
        let local = self
            .entries
            .iter_mut()
            .filter(|s| matches!(s.gate, GateRef::Local));
        local.for_each(|entry| entry.estimate.update_load(now, load));
    }
}

/// Returns which run of a backend server an entry names.
fn run_of(record: &ServerRecord) -> Run {
    (record.id.clone(), record.born)
}
