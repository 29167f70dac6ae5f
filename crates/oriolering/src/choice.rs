//! Selection of a backend server for each attempt of a request.

use rand::Rng;
use smallvec::SmallVec;

use crate::adaptive::View;
use crate::attempt_result::AttemptResult;
use crate::clock::Millis;
use crate::explain::{Explanation, explain_server};
use crate::keys::ServerKey;
use crate::load_hint::LoadHint;
use crate::policy::{ChoiceSettings, Policy};
use crate::service_stats::ServiceStats;
use crate::subset::select_subset;
use crate::tracked_server::{Candidate, TrackedServer};

/// Chooses the backend servers of one service at one ingress.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: ChoiceSettings,
    servers: Vec<TrackedServer>,
    /// The number of picks so far.
    picks: u64,
}

impl Chooser {
    /// Returns a chooser without any backend server.
    pub fn new(settings: ChoiceSettings) -> Self {
        Self {
            settings,
            servers: Vec::new(),
            picks: 0,
        }
    }

    /// Replaces the list of backend servers, keeping the state of those that remain.
    pub fn update(&mut self, now: Millis, candidates: &[Candidate]) {
        for server in &mut self.servers {
            server.removed = true;
            server.in_subset = false;
        }
        for &candidate in candidates {
            match self.find(candidate.server) {
                Some(server) => server.update_candidate(now, candidate),
                None => self.servers.push(TrackedServer::new(now, candidate)),
            }
        }
        self.servers.retain(|s| !s.removed || s.inflight > 0);
        let live: Vec<Candidate> = candidates.iter().copied().filter(|c| !c.leaving).collect();
        let ChoiceSettings {
            node_hash,
            zone,
            subset_size,
            ..
        } = self.settings;
        for i in select_subset(&live, node_hash, zone, subset_size) {
            if let Some(server) = self.find(live[i].server) {
                server.in_subset = true;
            }
        }
    }

    /// Chooses a backend server that is not in `exclude` and counts a request in flight there.
    ///
    /// Returns `None` if no backend server accepts new requests.
    pub fn pick(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        exclude: &[ServerKey],
    ) -> Option<ServerKey> {
        let eligible: SmallVec<[usize; 16]> = (0..self.servers.len())
            .filter(|&i| self.servers[i].in_subset && !self.servers[i].removed)
            .filter(|&i| !self.servers[i].is_leaving(now))
            .filter(|&i| !exclude.contains(&self.servers[i].candidate.server))
            .collect();
        let i = match self.settings.policy {
            Policy::Random => pick_random(rng, &eligible),
            Policy::RoundRobin => self.pick_round_robin(&eligible),
            Policy::LeastInFlight => self.pick_least_in_flight(rng, &eligible),
            Policy::TwoChoices => {
                let first = pick_random(rng, &eligible)?;
                let rest: SmallVec<[usize; 16]> =
                    eligible.iter().copied().filter(|&i| i != first).collect();
                let second = pick_random(rng, &rest).unwrap_or(first);
                self.pick_least_in_flight(rng, &[first, second])
            }
            Policy::Adaptive => {
                let view = View::new(now, &self.settings, &self.servers);
                view.choose(&eligible, self.picks, exclude.is_empty())
            }
        }?;
        self.picks += 1;
        let server = &mut self.servers[i];
        server.last_pick = self.picks;
        server.health.record_probe(now, self.picks);
        server.start(now);
        Some(server.candidate.server)
    }

    /// Records the load report that came with a response or a refusal.
    pub fn hint(&mut self, now: Millis, server: ServerKey, hint: LoadHint) {
        if let Some(server) = self.find(server) {
            server.record_report(now, hint);
        }
    }

    /// Records the result of an attempt; must be called once for each [`Self::pick`].
    pub fn finish(&mut self, now: Millis, server: ServerKey, result: AttemptResult) {
        let picks = self.picks;
        let ramp_ms = self.settings.ramp_ms;
        let stats = ServiceStats::of(&self.servers);
        if let Some(server) = self.find(server) {
            server.finish(now, result, stats.latency);
            update_health(server, now, picks, ramp_ms, &stats, result);
        }
        self.servers.retain(|s| !s.removed || s.inflight > 0);
    }

    /// Returns the state of each backend server and why it would or would not be chosen.
    pub fn explain(&self, now: Millis) -> Vec<Explanation> {
        let view = View::new(now, &self.settings, &self.servers);
        let explain = |server| explain_server(&view, server);
        self.servers.iter().map(explain).collect()
    }

    fn find(&mut self, key: ServerKey) -> Option<&mut TrackedServer> {
        self.servers.iter_mut().find(|s| s.candidate.server == key)
    }

    fn pick_round_robin(&self, eligible: &[usize]) -> Option<usize> {
        let position = (self.picks as usize).checked_rem(eligible.len())?;
        Some(eligible[position])
    }

    fn pick_least_in_flight(&self, rng: &mut impl Rng, eligible: &[usize]) -> Option<usize> {
        pick_lowest(rng, eligible, |i| f64::from(self.servers[i].inflight))
    }
}

/// Updates the health of a backend server with the result of an attempt.
fn update_health(
    server: &mut TrackedServer,
    now: Millis,
    picks: u64,
    ramp_ms: u64,
    stats: &ServiceStats,
    result: AttemptResult,
) {
    match result {
        AttemptResult::Refused | AttemptResult::Cancelled => {}
        AttemptResult::Served { latency_us }
            if server.health.is_suspect() && stats.is_good(server, latency_us) =>
        {
            if server.health.record_good_answer(now) {
                server.clear_evidence(latency_us);
            }
        }
        AttemptResult::Served { .. } | AttemptResult::Failed { .. } | AttemptResult::NoResponse => {
            let slow = server.update_slow(now, stats.is_slow(server));
            let limit_ms = server.health.slow_limit_ms(ramp_ms);
            let is_slow = slow.is_some_and(|since| now.since(since) >= limit_ms);
            if server.health.is_suspect() || is_slow || stats.is_failing(server) {
                server.health.mark_suspect(now, picks);
            }
        }
    }
}

fn pick_random(rng: &mut impl Rng, eligible: &[usize]) -> Option<usize> {
    if eligible.is_empty() {
        return None;
    }
    Some(eligible[rng.random_range(0..eligible.len())])
}

/// Returns one of the indices with the lowest cost, each with equal probability.
fn pick_lowest(
    rng: &mut impl Rng,
    eligible: &[usize],
    cost: impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut best: SmallVec<[usize; 16]> = SmallVec::new();
    let mut least = f64::INFINITY;
    for &i in eligible {
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
