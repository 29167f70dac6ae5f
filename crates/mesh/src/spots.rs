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
pub(crate) enum Way {
    /// The gate of this node.
    Local,
    /// The gate of another node.
    Remote(Rc<Peer>),
}

impl Way {
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

struct Spot {
    record: ServerRecord,
    site: ServerEstimate,
    way: Way,
    /// Whether it has said in an answer that it leaves.
    leaving: bool,
}

/// A choice for a request.
pub(crate) struct Chosen {
    /// The backend server.
    pub(crate) server: CompactString,
    /// The way there.
    pub(crate) way: Way,
    /// What is expected of it.
    pub(crate) place: Placement,
    /// What was known of it.
    pub(crate) site: ServerEstimate,
    /// How many could have been chosen.
    pub(crate) open: usize,
}

/// The backend servers that are listed, by service.
#[derive(Default)]
pub(crate) struct Spots {
    spots: Vec<Spot>,
    services: HashMap<CompactString, Vec<usize>>,
    /// The runs of backend servers that have said in an answer that they leave, oldest first: a
    /// gate that starts again does not know, and an entry may come back.
    leaving: VecDeque<Run>,
}

impl Spots {
    /// Takes in a new list; what is known of backend servers that stay is kept.
    pub(crate) fn replace(&mut self, now: Millis, zone: &str, records: Vec<(ServerRecord, Way)>) {
        let mut before: HashMap<Run, Spot> = std::mem::take(&mut self.spots)
            .into_iter()
            .map(|spot| (run_of(&spot.record), spot))
            .collect();
        self.services.clear();
        for (record, way) in records {
            let run = run_of(&record);
            let leaving = self.leaving.contains(&run);
            let known = before.remove(&run);
            let site = known.map_or_else(
                || ServerEstimate::new(now, record.slots, record.zone != zone),
                |spot| spot.site,
            );
            let index = self.spots.len();
            self.services
                .entry(record.service.clone())
                .or_default()
                .push(index);
            self.spots.push(Spot {
                record,
                site,
                way,
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
    ) -> Option<Chosen> {
        let indices = self.services.get(service)?;
        let open: SmallVec<[(usize, &ServerEstimate); 16]> = indices
            .iter()
            .filter(|i| self.is_usable(**i) && !tried.contains(&self.spots[**i].record.id))
            .map(|i| (*i, &self.spots[*i].site))
            .collect();
        let place = choose_server(now, load, crossing, open.iter().copied(), rng)?;
        let spot = &self.spots[place.index];
        Some(Chosen {
            server: spot.record.id.clone(),
            way: spot.way.clone(),
            place,
            site: spot.site,
            open: open.len(),
        })
    }

    fn is_usable(&self, index: usize) -> bool {
        let spot = &self.spots[index];
        spot.record.state == ServerState::Ready && spot.way.is_up() && !spot.leaving
    }

    /// Notes that a backend server has said in an answer that it leaves; nothing is sent to that
    /// run of it any more.
    pub(crate) fn note_leaving(&mut self, server: &str) {
        let found = self.spots.iter_mut().find(|s| s.record.id == server);
        let Some(spot) = found.filter(|spot| !spot.leaving) else {
            return;
        };
        spot.leaving = true;
        self.leaving.push_back(run_of(&spot.record));
        if self.leaving.len() > LEAVING_MAX {
            self.leaving.pop_front();
        }
    }

    /// Returns how long work takes at a backend server now, as a percentage of the usual.
    pub(crate) fn pace(&self, now: Millis, server: &str) -> Option<u64> {
        let spot = self.spots.iter().find(|s| s.record.id == server)?;
        Some(spot.site.work_percent(now))
    }

    /// Changes what is known of one backend server.
    pub(crate) fn with_site(&mut self, server: &str, change: impl Fn(&mut ServerEstimate)) {
        let found = self.spots.iter_mut().find(|s| s.record.id == server);
        if let Some(spot) = found {
            change(&mut spot.site);
        }
    }

    /// Changes what is known of the backend servers behind a peer.
    pub(crate) fn with_peer(&mut self, peer: &Rc<Peer>, change: impl Fn(&mut ServerEstimate)) {
        let behind = self.spots.iter_mut().filter(|s| s.way.leads_to(peer));
        behind.for_each(|spot| change(&mut spot.site));
    }

    /// Takes in the load of the local gate.
    pub(crate) fn tell_local(&mut self, now: Millis, load: GateLoad) {
        let local = self
            .spots
            .iter_mut()
            .filter(|s| matches!(s.way, Way::Local));
        local.for_each(|spot| spot.site.update_load(now, load));
    }
}

/// Returns which run of a backend server an entry names.
fn run_of(record: &ServerRecord) -> Run {
    (record.id.clone(), record.born)
}
