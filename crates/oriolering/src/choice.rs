//! The choice of a backend server for each attempt.

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
    /// The picks so far.
    picks: u64,
}

impl Chooser {
    /// Returns a chooser that knows no backend server yet.
    pub fn new(settings: ChoiceSettings) -> Self {
        Self {
            settings,
            servers: Vec::new(),
            picks: 0,
        }
    }

    /// Takes over the list of members and keeps what is known of those that stay.
    pub fn update(&mut self, now: Millis, candidates: &[Candidate]) {
        for server in &mut self.servers {
            server.removed = true;
            server.in_subset = false;
        }
        for &candidate in candidates {
            match self.find(candidate.server) {
                Some(server) => server.refresh(now, candidate),
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
            .filter(|&i| self.servers[i].in_subset && !self.servers[i].removed)
            .filter(|&i| !self.servers[i].is_leaving(now))
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
            Policy::Adaptive => {
                let view = View::new(now, &self.settings, &self.servers);
                view.choose(&open, self.picks, exclude.is_empty())
            }
        }?;
        self.picks += 1;
        let server = &mut self.servers[i];
        server.last_pick = self.picks;
        server.health.record_probe(now, self.picks);
        server.start(now);
        Some(server.candidate.server)
    }

    /// Takes a report that rode on an answer or a refusal.
    pub fn hint(&mut self, now: Millis, server: ServerKey, hint: LoadHint) {
        if let Some(server) = self.find(server) {
            server.record_report(now, hint);
        }
    }

    /// Ends an attempt; called once for each that [`Self::pick`] started.
    pub fn finish(&mut self, now: Millis, server: ServerKey, result: AttemptResult) {
        let picks = self.picks;
        let ramp = self.settings.ramp_ms;
        let typical = ServiceStats::of(&self.servers);
        if let Some(server) = self.find(server) {
            server.finish(now, result, typical.latency);
            judge(server, now, picks, ramp, &typical, result);
        }
        self.servers.retain(|s| !s.removed || s.inflight > 0);
    }

    /// Returns what is known of each backend server and why it would be chosen or not.
    pub fn explain(&self, now: Millis) -> Vec<Explanation> {
        let view = View::new(now, &self.settings, &self.servers);
        let explain = |server| explain_server(&view, server);
        self.servers.iter().map(explain).collect()
    }

    fn find(&mut self, key: ServerKey) -> Option<&mut TrackedServer> {
        self.servers.iter_mut().find(|s| s.candidate.server == key)
    }

    fn pick_next(&self, open: &[usize]) -> Option<usize> {
        let turn = (self.picks as usize).checked_rem(open.len())?;
        Some(open[turn])
    }

    fn pick_least(&self, rng: &mut impl Rng, open: &[usize]) -> Option<usize> {
        pick_lowest(rng, open, |i| f64::from(self.servers[i].inflight))
    }
}

/// Judges a backend server by the answer that it just gave.
fn judge(
    server: &mut TrackedServer,
    now: Millis,
    picks: u64,
    ramp: u64,
    typical: &ServiceStats,
    result: AttemptResult,
) {
    match result {
        AttemptResult::Refused | AttemptResult::Cancelled => {}
        AttemptResult::Served { latency_us }
            if server.health.is_suspect() && typical.is_good(server, latency_us) =>
        {
            if server.health.record_good_answer(now) {
                server.clear_evidence(latency_us);
            }
        }
        AttemptResult::Served { .. } | AttemptResult::Failed { .. } | AttemptResult::NoResponse => {
            let slow = server.note_slow(now, typical.is_slow(server));
            let hold = server.health.slow_limit_ms(ramp);
            let is_slow = slow.is_some_and(|since| now.since(since) >= hold);
            if server.health.is_suspect() || is_slow || typical.is_failing(server) {
                server.health.mark_suspect(now, picks);
            }
        }
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
