//! The adaptive policy: requests in flight first, latency second.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::panic_rule::is_panic;
use crate::policy::ChoiceSettings;
use crate::service_stats::ServiceStats;
use crate::subset::rendezvous_rank;
use crate::tracked_server::TrackedServer;

/// How many times the typical latency still counts as typical.
const SAME_RATIO: f64 = 2.0;
/// The share of the slots up to which the own availability zone is preferred.
const LOCAL_SHARE: f64 = 0.6;

/// The view of all backend servers at one moment.
pub(crate) struct View<'a> {
    pub(crate) now: Millis,
    pub(crate) settings: &'a ChoiceSettings,
    pub(crate) servers: &'a [TrackedServer],
    pub(crate) typical: ServiceStats,
    /// Whether suspicion is ignored because it falls on most.
    pub(crate) panic: bool,
}

impl<'a> View<'a> {
    pub(crate) fn new(
        now: Millis,
        settings: &'a ChoiceSettings,
        servers: &'a [TrackedServer],
    ) -> Self {
        let used = || servers.iter().filter(|s| s.in_subset && !s.is_leaving(now));
        let suspects = used().filter(|s| s.health.is_suspect()).count();
        Self {
            now,
            settings,
            servers,
            typical: ServiceStats::of(servers),
            panic: is_panic(suspects, used().count()),
        }
    }

    /// Returns the position of the backend server to choose among `open`.
    ///
    /// A suspect is chosen when it is due for a trial, which a repeated attempt never is.
    pub(crate) fn choose(&self, open: &[usize], count: u64, first: bool) -> Option<usize> {
        let is_due = |&i: &usize| self.servers[i].health.is_probe_due(self.now, count);
        let due = open.iter().copied().find(is_due);
        if first && !self.panic && due.is_some() {
            return due;
        }
        let trusted = self.keep(open, |s| self.panic || !s.health.is_suspect());
        let willing = self.keep(&trusted, |s| self.now >= s.avoid_until);
        let local = self.keep(&willing, |s| self.is_local(s));
        let chosen = if self.has_room(&local) {
            &local
        } else {
            &willing
        };
        self.cheapest(chosen)
    }

    /// Returns the estimated requests at a backend server.
    pub(crate) fn load(&self, server: &TrackedServer) -> f64 {
        f64::from(server.inflight) + server.others(self.now, self.typical.others)
    }

    pub(crate) fn is_local(&self, server: &TrackedServer) -> bool {
        server.candidate.zone == self.settings.zone
    }

    /// Returns whether some backend servers together have room for more.
    ///
    /// They are taken together, so that one report does not draw everything to one of them, and
    /// a report of less than the mean earns nothing.
    fn has_room(&self, some: &[usize]) -> bool {
        let mean = self.typical.others;
        let mut load = 0.0;
        let mut slots = 0.0;
        for server in some.iter().map(|&i| &self.servers[i]) {
            load += f64::from(server.inflight) + server.others(self.now, mean).max(mean);
            slots += f64::from(server.limit()) * self.share(server);
        }
        load < slots * LOCAL_SHARE
    }

    fn share(&self, server: &TrackedServer) -> f64 {
        if self.panic && server.health.is_suspect() {
            return 1.0;
        }
        server.health.share(self.now, self.settings.ramp_ms)
    }

    /// Returns those of `open` that `is_kept`, or all when none is.
    fn keep(
        &self,
        open: &[usize],
        is_kept: impl Fn(&TrackedServer) -> bool,
    ) -> SmallVec<[usize; 16]> {
        let kept: SmallVec<[usize; 16]> = open
            .iter()
            .copied()
            .filter(|&i| is_kept(&self.servers[i]))
            .collect();
        if kept.is_empty() { open.into() } else { kept }
    }

    /// Returns the one with the lowest cost; among equals the one not chosen for longest.
    fn cheapest(&self, open: &[usize]) -> Option<usize> {
        let order = |i: usize| {
            let server = &self.servers[i];
            let rank = rendezvous_rank(self.settings.node_hash, server.candidate.id_hash);
            (server.last_pick, rank)
        };
        let costs: SmallVec<[(f64, usize); 16]> = open
            .iter()
            .map(|&i| (self.cost(&self.servers[i]), i))
            .collect();
        let by_cost = |a: &&(f64, usize), b: &&(f64, usize)| {
            a.0.total_cmp(&b.0)
                .then_with(|| order(a.1).cmp(&order(b.1)))
        };
        costs.iter().min_by(by_cost).map(|&(_, i)| i)
    }

    fn cost(&self, server: &TrackedServer) -> f64 {
        let own = f64::from(server.inflight);
        let late = self.typical.overdue(self.now, server);
        let slots = f64::from(server.limit()) * self.share(server);
        let slowness = (self.typical.slowness(self.now, server) / SAME_RATIO).max(1.0);
        (own + late + self.excess(server) + 1.0) / slots * slowness
    }

    /// Returns this ingress's part of the load that a report shows beyond the mean.
    ///
    /// Each ingress corrects only by its own share of all requests, because all others see
    /// the same report and correct it too. Differences within the noise of the counts are no
    /// evidence, and a report of little load earns nothing, so a false one gains no traffic.
    fn excess(&self, server: &TrackedServer) -> f64 {
        let ServiceStats { own, others, .. } = self.typical;
        let all = own + others;
        if all <= 0.0 {
            return 0.0;
        }
        let above = server.others(self.now, others) - others;
        (above - all.sqrt()).max(0.0) * own / all
    }
}
