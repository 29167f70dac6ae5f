//! The state of a node.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use compact_str::CompactString;
use ntex::http::DateService;
use oriolering::{
    Clock, Millis, RouteEstimates, RouteTable, ServerList, ServerRecord, ServerState, Shutdown,
    StorePosition, TrafficSplitter,
};
use oriolering_http::ByteBudget;
use oriolering_platform::{Bounds, Settings};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::Budgets;
use crate::gate::{Gate, GateMemory};
use crate::gossip::Gossip;
use crate::options::Options;
use crate::peer::Peer;
use crate::server_table::{GateRef, ServerTable};
use crate::stream_budget::StreamBudget;
use crate::suspects::Suspects;
use crate::trail::{Event, LogWriter, Origin, Trail};

/// The number of nodes that watch the store: one for each of three instances that may fail at
/// once.
const WATCHERS: usize = 3;

/// How old the last confirmation by the store may be for a restarted node to use its state, in
/// milliseconds; a watch returns within that time.
const CONFIRMED_MS: u64 = 1_500;

/// The divisor of the instance's memory that limits the responses of its backend server while
/// they are read; growing buffers briefly hold up to three times as much.
const RESPONSE_DIVISOR: usize = 16;
/// The divisor of the instance's memory that limits streamed responses. Each of the two roles of a
/// node, ingress and gate, has a half: streams in both directions between two nodes would otherwise
/// wait for each other's memory.
const STREAM_DIVISOR: usize = 16;

/// How long a restarted node waits for its peers to send the current state, in milliseconds; a
/// platform that polls the node every second does not notice the delay.
const STATE_WAIT_MS: u64 = 250;
/// How long it waits for the first announcement of a peer, in milliseconds.
const FIRST_PEER_MS: u64 = 80;
/// How long it waits for a peer with any state, in milliseconds, while all announcements came from
/// peers that have just started too.
const NEW_PEERS_MS: u64 = 20;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_000_000.0;

/// The rank of a node among the candidates for watching the store, on which all nodes agree.
///
/// A watcher sends what it reads to many other nodes, so fast network links rank first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// The rate of the instance's network link, in megabytes per second.
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

/// The current routes.
pub(crate) struct Published {
    pub(crate) table: RouteTable,
    /// When this node applied them.
    pub(crate) since: Millis,
    /// How old they were then since a node read them from the store, in milliseconds.
    initial_age_ms: u64,
}

impl Published {
    /// Returns how long ago a node read the routes from the store, in milliseconds. It is based on
    /// the ages that nodes reported, without the transmission times.
    pub(crate) fn age_ms(&self, now: Millis) -> u64 {
        self.initial_age_ms + now.since(self.since)
    }
}

/// The state of a node, which runs on one thread.
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
    /// The evacuated availability zones by the list that was last applied.
    evacuated_zones: RefCell<Vec<CompactString>>,
    pub(crate) peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
    /// The memory that requests and responses share.
    pub(crate) budget: Rc<ByteBudget>,
    pub(crate) gate: Rc<Gate>,
    pub(crate) suspects: Rc<Suspects>,
    pub(crate) estimates: RefCell<RouteEstimates>,
    pub(crate) splitter: RefCell<TrafficSplitter>,
    pub(crate) budgets: Rc<Budgets>,
    /// The memory for streamed responses on their way to callers.
    pub(crate) stream_budget: Rc<StreamBudget>,
    /// Whether the routes and the server list may be used. A restarted node does not use them until
    /// the store, or a node that watches it, has confirmed them.
    pub(crate) confirmed: Cell<bool>,
    /// When the store last confirmed to this node that there is nothing newer.
    pub(crate) store_confirmed: Cell<Option<Millis>>,
    /// The era of the last answer of the store.
    pub(crate) seen_era: Cell<u64>,
    /// Whether this node watches the store.
    pub(crate) watching: Cell<bool>,
    /// The exchange of routes and server lists with the peers.
    pub(crate) gossip: Gossip,
    pub(crate) stopping: Cell<bool>,
    /// The shutdown in progress, once the process was told to stop.
    pub(crate) shutdown: Cell<Option<Shutdown>>,
    /// Notified when the process is about to end, so that all callers get an answer before.
    pub(crate) ending: Notify,
    /// The current service of the instance, which may change while the node runs.
    pub(crate) service: RefCell<CompactString>,
    /// The current bounds, which may change while the node runs.
    pub(crate) bounds: Cell<Bounds>,
    /// The number of caller requests whose answers are not yet written.
    pub(crate) active: Cell<usize>,
}

impl Node {
    /// Returns a node without routes and server list.
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
        let budget = ByteBudget::new(settings.limits.buffer_bytes());
        let memory = settings.limits.memory_bytes as usize;
        let gate = Gate::new(
            settings.backend.address,
            GateMemory {
                buffered_bytes: memory / RESPONSE_DIVISOR,
                streamed_bytes: memory / STREAM_DIVISOR / 2,
                budget: Rc::clone(&budget),
            },
            date.clone(),
            clock.clone(),
            Rc::clone(&trail),
            Rc::clone(&suspects),
            Rc::clone(&budgets),
        );
        Rc::new(Self {
            service: RefCell::new(settings.backend.service.clone()),
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
            evacuated_zones: RefCell::default(),
            peers: RefCell::default(),
            budget,
            gate: Rc::new(gate),
            suspects,
            estimates: RefCell::default(),
            splitter: RefCell::default(),
            budgets,
            stream_budget: StreamBudget::new(memory / STREAM_DIVISOR / 2),
            store_confirmed: Cell::new(None),
            seen_era: Cell::new(0),
            watching: Cell::new(false),
            gossip: Gossip::default(),
            stopping: Cell::new(false),
            shutdown: Cell::new(None),
            ending: Notify::new(),
            active: Cell::new(0),
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the current routes if they are confirmed, so that callers may be served by them.
    pub(crate) fn usable_routes(&self) -> Option<Rc<Published>> {
        self.routes().filter(|_| self.confirmed.get())
    }

    /// Returns the current routes.
    pub(crate) fn routes(&self) -> Option<Rc<Published>> {
        self.published.borrow().clone()
    }

    /// Returns the version of the current routes, or zero.
    pub(crate) fn version(&self) -> u64 {
        self.published
            .borrow()
            .as_ref()
            .map_or(0, |p| p.table.version())
    }

    /// Applies the server list from `source`: updates the backend servers to choose from and the
    /// peers. Returns the new peers.
    pub(crate) fn apply_list(&self, source: Origin) -> Vec<Rc<Peer>> {
        let now = self.now();
        let records: Vec<ServerRecord> = self.list.borrow().current().cloned().collect();
        let position = self.list.borrow().position();
        self.trail.log_list(&records, position, source);
        let mut added = Vec::new();
        let mut choices = Vec::with_capacity(records.len());
        let mut peers = self.peers.borrow_mut();
        let mut listed_addresses = Vec::new();
        for record in records {
            if record.address.ip() == self.settings.ip {
                if record.address == self.settings.backend.address {
                    choices.push((record, GateRef::Local));
                }
                continue;
            }
            let address = SocketAddr::new(record.address.ip(), *self.settings.node_ports.start());
            listed_addresses.push(address);
            let peer = peers.entry(address).or_insert_with(|| {
                let peer = Rc::new(Peer::new(address, now));
                added.push(Rc::clone(&peer));
                peer
            });
            peer.cross_zone.set(record.zone != self.settings.zone);
            choices.push((record, GateRef::Remote(Rc::clone(peer))));
        }
        peers.retain(|address, peer| {
            let listed = listed_addresses.contains(address);
            peer.unlisted.set(!listed);
            listed || peer.is_up()
        });
        self.budgets.observe_nodes(peers.len() as u64 + 1);
        drop(peers);
        if !self.confirmed.get() {
            return added;
        }
        self.log_evacuations(position, source);
        self.update_gate(&choices);
        let list = self.list.borrow();
        let evacuated = |zone: &str| list.is_evacuated(zone);
        self.server_table
            .borrow_mut()
            .replace(now, &self.settings.zone, choices, evacuated);
        added
    }

    /// Logs which evacuations have begun and ended since the list was last applied.
    fn log_evacuations(&self, list_position: StorePosition, source: Origin) {
        let list = self.list.borrow();
        let current: Vec<CompactString> = list.evacuated_zones().cloned().collect();
        let previous = self.evacuated_zones.replace(current.clone());
        for zone in current.iter().filter(|zone| !previous.contains(zone)) {
            self.trail.note(Event::ZoneEvacuated {
                zone: zone.clone(),
                list_position,
                source,
            });
        }
        for zone in previous.into_iter().filter(|zone| !current.contains(zone)) {
            self.trail.note(Event::ZoneRestored {
                zone,
                list_position,
                source,
            });
        }
    }

    /// Adds the nodes on the instances of these backend servers as peers, and returns the new
    /// ones. The backend servers get no requests by this.
    pub(crate) fn add_peers(&self, records: &[ServerRecord]) -> Vec<Rc<Peer>> {
        let now = self.now();
        let port = *self.settings.node_ports.start();
        let mut peers = self.peers.borrow_mut();
        let mut added = Vec::new();
        for record in records
            .iter()
            .filter(|r| r.address.ip() != self.settings.ip)
        {
            let address = SocketAddr::new(record.address.ip(), port);
            peers.entry(address).or_insert_with(|| {
                let peer = Rc::new(Peer::new(address, now));
                peer.cross_zone.set(record.zone != self.settings.zone);
                added.push(Rc::clone(&peer));
                peer
            });
        }
        added
    }

    /// Returns how long ago the store confirmed the state of this node, in milliseconds, either to
    /// this node or to a peer whose state is of the same era and not newer.
    pub(crate) fn confirmed_age(&self, now: Millis) -> Option<u64> {
        let (version, position) = (self.version(), self.list.borrow().position());
        let peers = self.peers.borrow();
        let not_newer = peers.values().filter(|peer| {
            let (routes, servers) = peer.known.get();
            routes <= version && servers.era == position.era && servers <= position
        });
        let reported = not_newer.filter_map(|peer| peer.confirmed.get());
        let own = self.store_confirmed.get().map(|at| now.since(at));
        reported.map(|age| age.at(now)).chain(own).min()
    }

    /// Returns whether the store recently confirmed, to this node or to a peer, that the routes and
    /// the server list of this node are complete.
    pub(crate) fn is_current(&self) -> bool {
        let known = self.version() > 0 && self.list.borrow().position().is_known();
        let age = self.confirmed_age(self.now());
        known && age.is_some_and(|ms| ms < CONFIRMED_MS)
    }

    /// Returns how long after its start this node waits for its peers to send the current state, in
    /// milliseconds.
    pub(crate) fn peer_wait_ms(&self) -> u64 {
        let peers = self.peers.borrow();
        if peers.is_empty() {
            return 0;
        }
        let mut reporting = peers.values().filter(|peer| peer.reported.get()).peekable();
        if reporting.peek().is_none() {
            return FIRST_PEER_MS;
        }
        let has_state = |peer: &Rc<Peer>| {
            let (routes, servers) = peer.known.get();
            routes > 0 || servers.is_known()
        };
        match reporting.any(has_state) {
            true => STATE_WAIT_MS,
            false => NEW_PEERS_MS,
        }
    }

    /// Returns the peer on the instance with this IP address.
    pub(crate) fn peer_at(&self, ip: IpAddr) -> Option<Rc<Peer>> {
        let address = SocketAddr::new(ip, *self.settings.node_ports.start());
        self.peers.borrow().get(&address).cloned()
    }

    /// Returns the latest era of the store that any answer or peer has shown.
    pub(crate) fn store_era(&self) -> u64 {
        self.seen_era.get().max(self.list.borrow().era())
    }

    /// Returns the rate of this instance's network link, in megabytes per second.
    pub(crate) fn rate(&self) -> u32 {
        (self.settings.limits.link_bytes_per_s / MEGABYTE) as u32
    }

    /// Returns whether this node should watch the store, given what its peers reported.
    ///
    /// A few nodes watch the store and update the others. Each node decides alone: one that
    /// watches continues until enough peers with a higher rank watch, and another one begins when
    /// too few peers with a link at least as fast as its own watch.
    pub(crate) fn should_watch(&self) -> bool {
        self.watchers() < WATCHERS
    }

    /// Returns how many peers watch the store in place of this node. If this node watches too, those
    /// with a higher rank count, otherwise those with a link at least as fast as its own.
    pub(crate) fn watchers(&self) -> usize {
        let own = self.rank();
        let peers = self.peers.borrow();
        let watchers = peers.values().filter(|peer| peer.is_watching());
        match self.watching.get() {
            true => watchers.filter(|p| Rank::of_peer(p) > own).count(),
            false => watchers.filter(|p| p.rate.get() >= own.rate).count(),
        }
    }

    /// Returns how many peers with a higher rank do not watch the store, and may begin before this
    /// node.
    pub(crate) fn candidates_ahead(&self) -> usize {
        let own = self.rank();
        let peers = self.peers.borrow();
        let idle = peers.values().filter(|p| p.is_up() && !p.is_watching());
        idle.filter(|p| Rank::of_peer(p) > own).count()
    }

    /// Returns whether peers have watched the store and none of them does any more.
    pub(crate) fn has_lost_watchers(&self) -> bool {
        let peers = self.peers.borrow();
        let had_any = peers.values().any(|peer| peer.has_watched());
        had_any && !peers.values().any(|peer| peer.is_watching())
    }

    fn rank(&self) -> Rank {
        Rank::of(self.settings.ip, self.rate())
    }

    /// Returns whether any peer watches the store.
    pub(crate) fn has_watching_peer(&self) -> bool {
        self.peers.borrow().values().any(|peer| peer.is_watching())
    }

    /// Updates the gate with the record of the local backend server.
    fn update_gate(&self, choices: &[(ServerRecord, GateRef)]) {
        let local = choices
            .iter()
            .filter(|(_, gate)| matches!(gate, GateRef::Local));
        let ready = local.max_by_key(|(r, _)| (r.state == ServerState::Ready, r.born));
        let zone = ready.map_or(&self.settings.zone, |(record, _)| &record.zone);
        self.gate
            .set_evacuated(self.list.borrow().is_evacuated(zone));
        let Some((record, _)) = ready else {
            return self.gate.remove_server();
        };
        let routes = self.routes();
        let service = routes
            .as_ref()
            .and_then(|p| p.table.service(&record.service));
        self.gate.update_server(record, service);
    }

    /// Applies routes that a node read from the store `age_ms` ago, unless they are not newer than
    /// the current ones. Returns whether they were newer.
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
            initial_age_ms: age_ms,
        };
        self.gossip.text.borrow_mut().replace(before, text);
        *self.published.borrow_mut() = Some(Rc::new(published));
        true
    }

    /// Returns whether no request is in progress, for callers or at the gate.
    pub(crate) fn is_idle(&self) -> bool {
        self.active.get() == 0 && self.gate.load().running == 0
    }

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.usable_routes().is_some();
        known && !self.stopping.get() && self.list.borrow().servers().next().is_some()
    }
}
