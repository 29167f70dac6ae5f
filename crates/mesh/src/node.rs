//! The state of a node.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use ntex::http::DateService;
use oriolering::{
    Clock, FleetBudget, Millis, RouteTable, ServerList, ServerRecord, ServerState, Splitter,
    WorkTimes,
};
use oriolering_platform::Settings;

use crate::gate::Gate;
use crate::peer::Peer;
use crate::spots::{Spots, Way};

/// The routes in force, and the text in which they were published.
pub(crate) struct Published {
    pub(crate) table: RouteTable,
    pub(crate) text: Vec<u8>,
}

/// All that a node knows; it runs on one thread.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) date: DateService,
    pub(crate) incarnation: u64,
    pub(crate) published: RefCell<Option<Rc<Published>>>,
    pub(crate) list: RefCell<ServerList>,
    pub(crate) spots: RefCell<Spots>,
    pub(crate) peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
    pub(crate) gate: Rc<Gate>,
    pub(crate) work: RefCell<WorkTimes>,
    pub(crate) splitter: RefCell<Splitter>,
    budgets: RefCell<HashMap<CompactString, FleetBudget>>,
    pub(crate) stopping: Cell<bool>,
    /// Whether new requests are refused, since the process is about to end.
    pub(crate) refusing: Cell<bool>,
    /// The requests of callers that run.
    pub(crate) active: Cell<usize>,
}

impl Node {
    /// Returns a node that knows nothing yet.
    pub(crate) fn new(settings: Settings) -> Rc<Self> {
        let clock = Clock::system();
        let date = DateService::default();
        let gate = Gate::new(settings.backend.address, date.clone(), clock.clone());
        Rc::new(Self {
            settings,
            clock,
            date,
            incarnation: rand::random(),
            published: RefCell::default(),
            list: RefCell::default(),
            spots: RefCell::default(),
            peers: RefCell::default(),
            gate: Rc::new(gate),
            work: RefCell::default(),
            splitter: RefCell::default(),
            budgets: RefCell::default(),
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            active: Cell::new(0),
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
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

    /// Changes the budget for second tries at a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut FleetBudget) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let nodes = self.peers.borrow().len() as u64 + 1;
        let slack = bounds.budget_slack / nodes;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_insert_with(|| {
            let percent = (bounds.retry_budget_ratio * 100.0) as u64;
            FleetBudget::new(percent, slack, bounds.budget_window_ms)
        });
        budget.set_slack(slack);
        change(budget)
    }

    /// Takes over what the list says: who can be chosen, and which nodes are peers.
    ///
    /// Returns the peers that are new.
    pub(crate) fn apply_list(&self) -> Vec<Rc<Peer>> {
        let now = self.now();
        let records: Vec<ServerRecord> = self.list.borrow().servers().cloned().collect();
        let mut fresh = Vec::new();
        let mut choices = Vec::with_capacity(records.len());
        let mut peers = self.peers.borrow_mut();
        let mut named = Vec::new();
        for record in records {
            if record.address.ip() == self.settings.ip {
                if record.address == self.settings.backend.address {
                    choices.push((record, Way::Local));
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
            choices.push((record, Way::Remote(Rc::clone(peer))));
        }
        peers.retain(|address, peer| {
            let listed = named.contains(address);
            peer.unlisted.set(!listed);
            listed || peer.is_up()
        });
        drop(peers);
        self.describe_gate(&choices);
        self.spots
            .borrow_mut()
            .replace(now, &self.settings.zone, choices);
        fresh
    }

    /// Tells the gate about the local backend server.
    fn describe_gate(&self, choices: &[(ServerRecord, Way)]) {
        let local = choices.iter().filter(|(_, way)| matches!(way, Way::Local));
        let ready = local.max_by_key(|(r, _)| (r.state == ServerState::Ready, r.born));
        let Some((record, _)) = ready else {
            return;
        };
        let routes = self.routes();
        let service = routes
            .as_ref()
            .and_then(|p| p.table.service(&record.service));
        let path = service.map_or("", |s| s.health_path.as_str());
        self.gate.describe(&record.id, record.slots, path);
    }

    /// Puts newer routes in force; older ones are ignored. Returns whether they were newer.
    pub(crate) fn apply_routes(&self, table: RouteTable, text: Vec<u8>) -> bool {
        if table.version() <= self.version() {
            return false;
        }
        log::info!(version = table.version(), before = self.version(); "routes are in force");
        *self.published.borrow_mut() = Some(Rc::new(Published { table, text }));
        true
    }

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.published.borrow().is_some();
        known && !self.stopping.get() && self.list.borrow().servers().next().is_some()
    }
}
