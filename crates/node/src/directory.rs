//! What an ingress knows of services and backend servers, and how it chooses among them.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use oriolering::config::{ServiceSettings, SiteSettings};
use oriolering::{
    AttemptResult, Candidate, ChoiceSettings, Chooser, Explanation, Grant, Hedge, LoadHint, Member,
    Millis, Policy, RetryBudget, ServerKey, ServiceKey, ZoneKey,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::servers::{Address, Servers};
use crate::sessions::Issued;

/// The state of one service at this ingress.
pub(crate) struct Route {
    /// The settings in force.
    pub(crate) settings: Arc<ServiceSettings>,
    /// The choice among the backend servers.
    pub(crate) chooser: Chooser,
    /// The budget of retries and hedges.
    pub(crate) retries: RetryBudget,
    /// When a second attempt of an idempotent call may start.
    pub(crate) hedge: Hedge,
}

/// All services and backend servers that this ingress knows.
pub(crate) struct Directory {
    me: Me,
    routes: Vec<Route>,
    by_name: HashMap<CompactString, ServiceKey>,
    servers: Servers,
    members: Arc<[Member]>,
    zones: Vec<CompactString>,
    fresh: Vec<ServerKey>,
    rng: SmallRng,
}

/// The place of this node, as far as the choice depends on it.
#[derive(Clone, Debug)]
pub(crate) struct Me {
    /// The id of the instance.
    pub(crate) id: CompactString,
    /// The availability zone of the instance.
    pub(crate) zone: CompactString,
}

/// How a call would be sent now.
pub(crate) struct Explained {
    /// The policy in force.
    pub(crate) policy: Policy,
    /// The backend server that a call would go to.
    pub(crate) chosen: Option<ServerKey>,
    /// What is known of each backend server.
    pub(crate) candidates: Vec<Explanation>,
}

/// A backend server that was picked for one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// The key of the backend server.
    pub(crate) server: ServerKey,
    /// Where its node listens.
    pub(crate) address: Address,
}

impl Target {
    /// Returns the address of a path at the gate.
    pub(crate) fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address.gate)
    }
}

impl Directory {
    /// Returns a directory without services and backend servers.
    pub(crate) fn new(me: Me, seed: u64) -> Self {
        Self {
            me,
            routes: Vec::new(),
            by_name: HashMap::new(),
            servers: Servers::default(),
            members: Arc::from([]),
            zones: Vec::new(),
            fresh: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes up the settings of a new revision; what is known of backend servers stays.
    pub(crate) fn configure(&mut self, now: Millis, settings: &SiteSettings) {
        let mut old: HashMap<CompactString, Route> = HashMap::new();
        for route in self.routes.drain(..) {
            old.insert(route.settings.name.clone(), route);
        }
        self.by_name.clear();
        for service in &settings.services {
            let key = ServiceKey(self.routes.len() as u32);
            let known = old.remove(&service.name);
            let route = self.route(now, service, known);
            self.by_name.insert(service.name.clone(), key);
            self.routes.push(route);
        }
        self.refresh(now);
    }

    /// Takes up a new list of members.
    pub(crate) fn set_members(&mut self, now: Millis, members: Arc<[Member]>) {
        self.members = members;
        self.fresh = self.servers.update(&self.members);
        self.refresh(now);
        self.fresh.clear();
    }

    /// Returns the members that the choice works with.
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the key of a service.
    pub(crate) fn service(&self, name: &str) -> Option<ServiceKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the state of a service, or `None` when a newer revision has removed it.
    pub(crate) fn route_mut(&mut self, key: ServiceKey) -> Option<&mut Route> {
        self.routes.get_mut(key.0 as usize)
    }

    /// Picks a backend server for an attempt and counts it as running.
    pub(crate) fn pick(
        &mut self,
        now: Millis,
        service: ServiceKey,
        exclude: &[ServerKey],
    ) -> Option<Target> {
        let route = self.routes.get_mut(service.0 as usize)?;
        let server = route.chooser.pick(now, &mut self.rng, exclude)?;
        self.servers.get(server).running += 1;
        Some(Target {
            server,
            address: self.servers.address(server),
        })
    }

    /// Ends an attempt that [`Self::pick`] began.
    pub(crate) fn finish(
        &mut self,
        now: Millis,
        service: ServiceKey,
        server: ServerKey,
        result: AttemptResult,
    ) {
        let entry = self.servers.get(server);
        entry.running = entry.running.saturating_sub(1);
        if let Some(route) = self.routes.get_mut(service.0 as usize) {
            if let AttemptResult::Served { latency_us } = result {
                route.hedge.observe(latency_us);
            }
            route.chooser.finish(now, server, result);
        }
    }

    /// Notes the load that a gate reported.
    pub(crate) fn hint(
        &mut self,
        now: Millis,
        service: ServiceKey,
        server: ServerKey,
        hint: LoadHint,
    ) {
        if let Some(route) = self.routes.get_mut(service.0 as usize) {
            route.chooser.hint(now, server, hint);
        }
    }

    /// Issues the identity of an attempt, or `None` while the gate has given no session.
    pub(crate) fn issue(&mut self, server: ServerKey) -> Option<Issued> {
        self.servers.get(server).session.issue()
    }

    /// Settles the identity of an attempt.
    pub(crate) fn settle(&mut self, server: ServerKey, issued: Issued) {
        self.servers.get(server).session.settle(issued.id);
    }

    /// Takes up the session that a gate has opened.
    pub(crate) fn adopt(&mut self, server: ServerKey, grant: Grant) {
        self.servers.get(server).session.adopt(grant);
    }

    /// Explains how a call of a service would be sent now.
    pub(crate) fn explain(&self, now: Millis, service: ServiceKey) -> Option<Explained> {
        let route = self.routes.get(service.0 as usize)?;
        let mut trial = route.chooser.clone();
        Some(Explained {
            policy: route.settings.choice.policy,
            chosen: trial.pick(now, &mut self.rng.clone(), &[]),
            candidates: route.chooser.explain(now),
        })
    }

    /// Returns the id of the backend server at `key`.
    pub(crate) fn server_id(&mut self, key: ServerKey) -> CompactString {
        self.servers.get(key).member.id.clone()
    }

    fn route(&mut self, now: Millis, service: &ServiceSettings, known: Option<Route>) -> Route {
        let settings = Arc::new(service.clone());
        let same = known.filter(|route| route.settings == settings);
        if let Some(route) = same {
            return route;
        }
        let choice = ChoiceSettings {
            policy: service.choice.policy,
            subset_size: service.choice.subset,
            ramp_ms: service.ramp_ms,
            zone: zone_key(&mut self.zones, &self.me.zone),
            node_hash: xxh3_64(self.me.id.as_bytes()),
        };
        Route {
            settings,
            chooser: Chooser::new(choice),
            retries: RetryBudget::new(service.retry.percent, now),
            hedge: Hedge::new(service.hedge.percent, service.hedge.after_ms),
        }
    }

    /// Tells every chooser which backend servers its service has.
    fn refresh(&mut self, now: Millis) {
        let mut lists: Vec<Vec<Candidate>> = self.routes.iter().map(|_| Vec::new()).collect();
        for (server, member) in self.servers.iter() {
            let Some(key) = self.by_name.get(&member.service) else {
                continue;
            };
            lists[key.0 as usize].push(Candidate {
                server,
                id_hash: xxh3_64(member.id.as_bytes()),
                zone: zone_key(&mut self.zones, &member.zone),
                leaving: member.leaving,
                new_incarnation: self.fresh.contains(&server),
            });
        }
        for (route, list) in self.routes.iter_mut().zip(&lists) {
            route.chooser.update(now, list);
        }
    }
}

/// Returns the key of an availability zone, which is given at first sight.
fn zone_key(zones: &mut Vec<CompactString>, name: &CompactString) -> ZoneKey {
    if let Some(ix) = zones.iter().position(|zone| zone == name) {
        return ZoneKey(ix as u32);
    }
    zones.push(name.clone());
    ZoneKey(zones.len() as u32 - 1)
}
