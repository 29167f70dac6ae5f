//! The choice of a backend server for each attempt.

use rand::Rng;
use smallvec::SmallVec;

use crate::attempt::Attempt;
use crate::clock::Millis;
use crate::explain::{Class, Explanation};
use crate::keys::ServerKey;
use crate::load::LoadHint;
use crate::policy::{ChoiceSettings, Policy};
use crate::pool::{Candidate, Server};
use crate::standing::Standing;
use crate::subset::select_subset;

/// Chooses the backend servers of one service at one ingress.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: ChoiceSettings,
    servers: Vec<Server>,
    turn: usize,
}

impl Chooser {
    /// Returns a chooser that knows no backend server yet.
    pub fn new(settings: ChoiceSettings) -> Self {
        Self {
            settings,
            servers: Vec::new(),
            turn: 0,
        }
    }

    /// Takes over the list of members and keeps what is known of those that stay.
    pub fn update(&mut self, now: Millis, candidates: &[Candidate]) {
        for server in &mut self.servers {
            server.gone = true;
            server.used = false;
        }
        for &candidate in candidates {
            match self.find(candidate.server) {
                Some(server) => server.refresh(now, candidate),
                None => self.servers.push(Server::new(now, candidate)),
            }
        }
        self.servers.retain(|s| !s.gone || s.inflight() > 0);
        let live: Vec<Candidate> = candidates.iter().copied().filter(|c| !c.leaving).collect();
        let ChoiceSettings {
            node, zone, subset, ..
        } = self.settings;
        for i in select_subset(&live, node, zone, subset) {
            if let Some(server) = self.find(live[i].server) {
                server.used = true;
            }
        }
    }

    /// Chooses a backend server outside `exclude` and counts a request in flight there.
    ///
    /// Returns `None` when no backend server takes new work.
    pub fn pick(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        exclude: &[ServerKey],
    ) -> Option<ServerKey> {
        let open: SmallVec<[usize; 16]> = (0..self.servers.len())
            .filter(|&i| self.servers[i].used && !self.servers[i].gone)
            .filter(|&i| !self.servers[i].is_leaving())
            .filter(|&i| !exclude.contains(&self.servers[i].candidate.server))
            .collect();
        let i = match self.settings.policy {
            Policy::Random => pick_random(rng, &open),
            Policy::RoundRobin => self.pick_next(&open),
            Policy::LeastInFlight => self.pick_least(rng, &open),
            Policy::TwoChoices => {
                let first = pick_random(rng, &open)?;
                let rest: SmallVec<[usize; 16]> =
                    open.iter().copied().filter(|&i| i != first).collect();
                let second = pick_random(rng, &rest).unwrap_or(first);
                self.pick_least(rng, &[first, second])
            }
            Policy::Adaptive => self.pick_adaptive(now, rng, &open),
        }?;
        self.servers[i].start(now);
        Some(self.servers[i].candidate.server)
    }

    /// Takes a report that rode on an answer or a refusal.
    pub fn hint(&mut self, now: Millis, server: ServerKey, hint: LoadHint) {
        if let Some(server) = self.find(server) {
            server.hear(now, hint);
        }
    }

    /// Ends an attempt; called once for each that [`Self::pick`] started.
    pub fn finish(&mut self, now: Millis, server: ServerKey, result: Attempt) {
        if let Some(server) = self.find(server) {
            server.finish(now, result);
        }
        self.servers.retain(|s| !s.gone || s.inflight() > 0);
    }

    /// Returns what is known of each backend server and why it would be chosen or not.
    pub fn explain(&self, now: Millis) -> Vec<Explanation> {
        let mean = self.mean_others();
        let explain = |s| self.explain_server(now, s, mean);
        self.servers.iter().map(explain).collect()
    }

    fn explain_server(&self, now: Millis, server: &Server, mean: f64) -> Explanation {
        let load = server.load(now, mean);
        let class = match server.standing {
            _ if server.is_leaving() => Class::Leaving,
            Standing::Suspect(_) => Class::Suspect,
            Standing::Ramping(_) if server.standing.share(now, self.settings.ramp) < 1.0 => {
                Class::Ramping
            }
            Standing::Fit | Standing::Ramping(_) if load < f64::from(server.limit()) => Class::Cold,
            Standing::Fit | Standing::Ramping(_) => Class::Hot,
        };
        Explanation {
            server: server.candidate.server,
            subset: server.used,
            zone: server.candidate.zone,
            local: server.candidate.zone == self.settings.zone,
            inflight: server.inflight(),
            hint: server.heard.map(|heard| heard.hint),
            age_ms: server.heard.map(|heard| now.since(heard.at)),
            latency_us: server.latency.map(|us| us as u64),
            load,
            class,
            reason: "".into(),
        }
    }

    fn find(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.iter_mut().find(|s| s.candidate.server == key)
    }

    fn pick_next(&mut self, open: &[usize]) -> Option<usize> {
        if open.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(open[self.turn % open.len()])
    }

    fn pick_least(&self, rng: &mut impl Rng, open: &[usize]) -> Option<usize> {
        pick_lowest(rng, open, |i| f64::from(self.servers[i].inflight()))
    }

    fn pick_adaptive(&self, now: Millis, rng: &mut impl Rng, open: &[usize]) -> Option<usize> {
        let mean = self.mean_others();
        pick_lowest(rng, open, |i| {
            let server = &self.servers[i];
            let share = server.standing.share(now, self.settings.ramp);
            (server.load(now, mean) + 1.0) / (f64::from(server.limit()) * share)
        })
    }

    /// Returns the mean over all reports of what other ingresses have at a backend server.
    fn mean_others(&self) -> f64 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for heard in self.servers.iter().filter_map(|s| s.heard) {
            sum += f64::from(heard.others);
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}

fn pick_random(rng: &mut impl Rng, open: &[usize]) -> Option<usize> {
    if open.is_empty() {
        return None;
    }
    Some(open[rng.random_range(0..open.len())])
}

/// Returns one of the positions with the lowest cost, with equal chance.
fn pick_lowest(rng: &mut impl Rng, open: &[usize], cost: impl Fn(usize) -> f64) -> Option<usize> {
    let mut best: SmallVec<[usize; 16]> = SmallVec::new();
    let mut least = f64::INFINITY;
    for &i in open {
        let cost = cost(i);
        if cost < least {
            best.clear();
            least = cost;
        }
        if cost <= least {
            best.push(i);
        }
    }
    pick_random(rng, &best)
}
