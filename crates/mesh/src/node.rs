//! The state of a node.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use ntex::http::DateService;
use oriolering::{
    Clock, Millis, RouteEstimates, RouteTable, ServerList, ServerRecord, ServerState, Shutdown,
    TrafficSplitter,
};
use oriolering_platform::{Bounds, Settings};
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::Budgets;
use crate::gate::Gate;
use crate::gossip::Gossip;
use crate::options::Options;
use crate::peer::Peer;
use crate::server_table::{GateRef, ServerTable};
use crate::suspects::Suspects;
use crate::trail::{Event, LogWriter, Origin, Trail};

/// How many nodes watch the store: one for each of three machines that may fail at once.
const READERS: usize = 3;

/// How long ago the store may have confirmed what a node that starts again uses, in
/// milliseconds: a watch returns within that time.
const CURRENT_MS: u64 = 1_500;

/// The part of the instance's memory that the answers of its backend server may take while they
/// are read; buffers that grow hold up to three times as much for a moment.
const ANSWERS_PART: usize = 16;

/// How long a node that starts again waits for peers to tell what holds, in milliseconds; a
/// platform that polls it each second does not notice.
const JOIN_MS: u64 = 250;
/// How long it waits for the first peer that tells anything, in milliseconds.
const MEET_MS: u64 = 80;
/// How long it waits for one that knows anything, in milliseconds, once others have told that
/// they have just started, too.
const ALL_NEW_MS: u64 = 20;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_000_000.0;

/// The rank of a node among those that may watch the store; all nodes agree on it.
///
/// What is read goes on to many others, so those with a fast link come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// The rate of the instance's link, in megabytes a second.
    rate: u32,
    hash: u64,
}

impl Rank {
    fn of(ip: IpAddr, rate: u32) -> Self {
        let hash = xxh3_64(ip.to_string().as_bytes());
        Self { rate, hash }
    }

    fn of_peer(peer: &Peer) -> Self {
        Self::of(peer.address.ip(), peer.rate.get())
    }
}

/// The routes in force.
pub(crate) struct Published {
    pub(crate) table: RouteTable,
    /// When they came into force.
    pub(crate) since: Millis,
    /// How long before that a node had read them from the store, in milliseconds.
    aged_ms: u64,
}

impl Published {
    /// Returns how long ago a node read them from the store, in milliseconds, as far as nodes
    /// told it; the time on the links is not counted.
    pub(crate) fn age_ms(&self, now: Millis) -> u64 {
        self.aged_ms + now.since(self.since)
    }
}

/// All that a node knows; it runs on one thread.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) options: Options,
    pub(crate) trail: Rc<Trail>,
    pub(crate) clock: Clock,
    pub(crate) date: DateService,
    pub(crate) incarnation: u64,
    pub(crate) published: RefCell<Option<Rc<Published>>>,
    pub(crate) list: RefCell<ServerList>,
    pub(crate) server_table: RefCell<ServerTable>,
    pub(crate) peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
    pub(crate) gate: Rc<Gate>,
    pub(crate) suspects: Rc<Suspects>,
    pub(crate) estimates: RefCell<RouteEstimates>,
    pub(crate) splitter: RefCell<TrafficSplitter>,
    pub(crate) budgets: Rc<Budgets>,
    /// Whether what it knows of routes and backend servers may be used: a node that starts again
    /// uses nothing before the store, or a node that watches it, has confirmed it.
    pub(crate) confirmed: Cell<bool>,
    /// When the store told this node last that there is nothing newer.
    pub(crate) asked_store: Cell<Option<Millis>>,
    /// Whether this node watches the store.
    pub(crate) reading: Cell<bool>,
    /// What is asked and sent of news.
    pub(crate) gossip: Gossip,
    pub(crate) stopping: Cell<bool>,
    /// The end of the process, once it was told to stop.
    pub(crate) shutdown: Cell<Option<Shutdown>>,
    /// The bounds in force, which may change while the node runs.
    pub(crate) bounds: Cell<Bounds>,
    /// The requests of callers that run.
    pub(crate) active: Cell<usize>,
}

impl Node {
    /// Returns a node that knows nothing yet.
    pub(crate) fn new(settings: Settings, options: Options, lines: LogWriter) -> Rc<Self> {
        let clock = Clock::system();
        let trail = Rc::new(Trail::new(&settings.node, clock.clone(), lines));
        let budgets = Rc::new(Budgets::new(
            clock.clone(),
            Rc::clone(&trail),
            settings.bounds,
            settings.first_start,
        ));
        let date = DateService::default();
        let incarnation = rand::random();
        let suspects = Suspects::new(clock.clone(), Rc::clone(&trail), incarnation);
        let suspects = Rc::new(suspects);
        let gate = Gate::new(
            settings.backend.address,
            settings.limits.memory_bytes as usize / ANSWERS_PART,
            date.clone(),
            clock.clone(),
            Rc::clone(&trail),
            Rc::clone(&suspects),
            Rc::clone(&budgets),
        );
        Rc::new(Self {
            bounds: Cell::new(settings.bounds),
            confirmed: Cell::new(settings.first_start),
            settings,
            options,
            trail,
            clock,
            date,
            incarnation,
            published: RefCell::default(),
            list: RefCell::default(),
            server_table: RefCell::default(),
            peers: RefCell::default(),
            gate: Rc::new(gate),
            suspects,
            estimates: RefCell::default(),
            splitter: RefCell::default(),
            budgets,
            asked_store: Cell::new(None),
            reading: Cell::new(false),
            gossip: Gossip::default(),
            stopping: Cell::new(false),
            shutdown: Cell::new(None),
            active: Cell::new(0),
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the routes by which callers are served, once they may be used.
    pub(crate) fn usable_routes(&self) -> Option<Rc<Published>> {
        self.routes().filter(|_| self.confirmed.get())
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Option<Rc<Published>> {
        self.published.borrow().clone()
    }

    /// Returns the version of the routes in force, or zero.
    pub(crate) fn version(&self) -> u64 {
        self.published
            .borrow()
            .as_ref()
            .map_or(0, |p| p.table.version())
    }

    /// Takes over what the list from `source` says: who can be chosen, and which nodes are peers.
    ///
    /// Returns the peers that are new.
    pub(crate) fn apply_list(&self, source: Origin) -> Vec<Rc<Peer>> {
        let now = self.now();
        let records: Vec<ServerRecord> = self.list.borrow().current().cloned().collect();
        let revision = self.list.borrow().revision();
        self.trail.log_list(&records, revision, source);
        let mut fresh = Vec::new();
        let mut choices = Vec::with_capacity(records.len());
        let mut peers = self.peers.borrow_mut();
        let mut named = Vec::new();
        for record in records {
            if record.address.ip() == self.settings.ip {
                if record.address == self.settings.backend.address {
                    choices.push((record, GateRef::Local));
                }
                continue;
            }
            let address = SocketAddr::new(record.address.ip(), *self.settings.node_ports.start());
            named.push(address);
            let peer = peers.entry(address).or_insert_with(|| {
                let peer = Rc::new(Peer::new(address, now));
                fresh.push(Rc::clone(&peer));
                peer
            });
            peer.cross_zone.set(record.zone != self.settings.zone);
            choices.push((record, GateRef::Remote(Rc::clone(peer))));
        }
        peers.retain(|address, peer| {
            let listed = named.contains(address);
            peer.unlisted.set(!listed);
            listed || peer.is_up()
        });
        self.budgets.observe_nodes(peers.len() as u64 + 1);
        drop(peers);
        if !self.confirmed.get() {
            return fresh;
        }
        self.describe_gate(&choices);
        self.server_table
            .borrow_mut()
            .replace(now, &self.settings.zone, choices);
        fresh
    }

    /// Returns the peers that are new among the nodes on the instances of these backend servers;
    /// nothing is sent to the backend servers.
    pub(crate) fn meet(&self, records: &[ServerRecord]) -> Vec<Rc<Peer>> {
        let now = self.now();
        let port = *self.settings.node_ports.start();
        let mut peers = self.peers.borrow_mut();
        let mut fresh = Vec::new();
        for record in records
            .iter()
            .filter(|r| r.address.ip() != self.settings.ip)
        {
            let address = SocketAddr::new(record.address.ip(), port);
            peers.entry(address).or_insert_with(|| {
                let peer = Rc::new(Peer::new(address, now));
                peer.cross_zone.set(record.zone != self.settings.zone);
                fresh.push(Rc::clone(&peer));
                peer
            });
        }
        fresh
    }

    /// Returns how long ago the store confirmed what this node knows, to itself or to a peer that
    /// knows no more, in milliseconds.
    pub(crate) fn confirmed_age(&self, now: Millis) -> Option<u64> {
        let (version, revision) = (self.version(), self.list.borrow().revision());
        let peers = self.peers.borrow();
        let equal = peers.values().filter(|peer| {
            let (routes, servers) = peer.knows.get();
            routes <= version && servers <= revision
        });
        let told = equal.filter_map(|peer| peer.confirmed.get());
        let own = self.asked_store.get().map(|at| now.since(at));
        told.map(|age| age.at(now)).chain(own).min()
    }

    /// Returns whether this node knows all routes and backend servers, as the store or a peer that
    /// has just heard of it says.
    pub(crate) fn is_current(&self) -> bool {
        let known = self.version() > 0 && self.list.borrow().revision() > 0;
        let age = self.confirmed_age(self.now());
        known && age.is_some_and(|ms| ms < CURRENT_MS)
    }

    /// Returns how long after its start this node waits for peers to tell what holds, in
    /// milliseconds.
    pub(crate) fn help_ms(&self) -> u64 {
        let peers = self.peers.borrow();
        if peers.is_empty() {
            return 0;
        }
        let mut told = peers.values().filter(|peer| peer.told.get()).peekable();
        if told.peek().is_none() {
            return MEET_MS;
        }
        match told.any(|peer| peer.knows.get() != (0, 0)) {
            true => JOIN_MS,
            false => ALL_NEW_MS,
        }
    }

    /// Returns the node on the instance with this address.
    pub(crate) fn peer_at(&self, ip: IpAddr) -> Option<Rc<Peer>> {
        let address = SocketAddr::new(ip, *self.settings.node_ports.start());
        self.peers.borrow().get(&address).cloned()
    }

    /// Returns the rate of this instance's link, in megabytes a second.
    pub(crate) fn rate(&self) -> u32 {
        (self.settings.limits.link_bytes_per_s / MEGABYTE) as u32
    }

    /// Returns whether this node watches the store, by what it knows of its peers.
    ///
    /// A few watch, and the others learn from them. Each node decides alone: one that watches
    /// goes on until enough with a higher rank do, another one begins when too few do whose
    /// link is as fast as its own.
    pub(crate) fn should_read(&self) -> bool {
        self.readers() < READERS
    }

    /// Returns how many peers watch the store that count against this node: if it watches too,
    /// those with a higher rank, and else those whose link is as fast as its own.
    pub(crate) fn readers(&self) -> usize {
        let own = self.rank();
        let peers = self.peers.borrow();
        let readers = peers.values().filter(|peer| peer.is_reading());
        match self.reading.get() {
            true => readers.filter(|p| Rank::of_peer(p) > own).count(),
            false => readers.filter(|p| p.rate.get() >= own.rate).count(),
        }
    }

    /// Returns how many nodes with a higher rank may begin to watch the store before this one.
    pub(crate) fn readers_ahead(&self) -> usize {
        let own = self.rank();
        let peers = self.peers.borrow();
        let idle = peers.values().filter(|p| p.is_up() && !p.is_reading());
        idle.filter(|p| Rank::of_peer(p) > own).count()
    }

    /// Returns whether peers have watched the store and none does any more.
    pub(crate) fn has_lost_readers(&self) -> bool {
        let peers = self.peers.borrow();
        let had_any = peers.values().any(|peer| peer.has_read());
        had_any && !peers.values().any(|peer| peer.is_reading())
    }

    fn rank(&self) -> Rank {
        Rank::of(self.settings.ip, self.rate())
    }

    /// Returns whether any peer watches the store.
    pub(crate) fn is_informed(&self) -> bool {
        self.peers.borrow().values().any(|peer| peer.is_reading())
    }

    /// Tells the gate about the local backend server.
    fn describe_gate(&self, choices: &[(ServerRecord, GateRef)]) {
        let local = choices
            .iter()
            .filter(|(_, gate)| matches!(gate, GateRef::Local));
        let ready = local.max_by_key(|(r, _)| (r.state == ServerState::Ready, r.born));
        let Some((record, _)) = ready else {
            return;
        };
        let routes = self.routes();
        let service = routes
            .as_ref()
            .and_then(|p| p.table.service(&record.service));
        let path = service.map_or("", |s| s.health_path.as_str());
        self.gate.update_server(record, path);
    }

    /// Puts newer routes in force, which a node read from the store `age_ms` ago; older ones are
    /// ignored. Returns whether they were newer.
    pub(crate) fn apply_routes(
        &self,
        table: RouteTable,
        text: Vec<u8>,
        source: Origin,
        age_ms: u64,
    ) -> bool {
        if table.version() <= self.version() {
            return false;
        }
        let (version, before) = (table.version(), self.version());
        self.trail.note(Event::RoutesTaken {
            version,
            before,
            source,
            age_ms,
        });
        let published = Published {
            table,
            since: self.now(),
            aged_ms: age_ms,
        };
        self.gossip.text.borrow_mut().replace(before, text);
        *self.published.borrow_mut() = Some(Rc::new(published));
        true
    }

    /// Returns whether nothing runs here, for callers or at the gate.
    pub(crate) fn is_idle(&self) -> bool {
        self.active.get() == 0 && self.gate.load().running == 0
    }

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.usable_routes().is_some();
        known && !self.stopping.get() && self.list.borrow().servers().next().is_some()
    }
}
