//! The adaptive policy, which weighs requests in flight first and latency second.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::panic_rule::is_panic;
use crate::policy::ChoiceSettings;
use crate::service_stats::ServiceStats;
use crate::subset::rendezvous_rank;
use crate::tracked_server::TrackedServer;

/// The multiple of the median latency up to which a latency does not raise the cost.
const LATENCY_TOLERANCE: f64 = 2.0;
/// The share of its slots in use up to which the own availability zone is preferred.
const LOCAL_LOAD_MAX: f64 = 0.6;

/// The state of all backend servers of a service at one time.
pub(crate) struct View<'a> {
    pub(crate) now: Millis,
    pub(crate) settings: &'a ChoiceSettings,
    pub(crate) servers: &'a [TrackedServer],
    pub(crate) stats: ServiceStats,
    /// Whether the suspect state is ignored because most backend servers are suspects.
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
            stats: ServiceStats::of(servers),
            panic: is_panic(suspects, used().count()),
        }
    }

    /// Returns the index of the backend server to choose among `eligible`.
    ///
    /// A suspect that is due for a probe is chosen first, but only for the first attempt of a
    /// request, so that a retry is never a probe.
    pub(crate) fn choose(
        &self,
        eligible: &[usize],
        picks: u64,
        first_attempt: bool,
    ) -> Option<usize> {
        let is_due = |&i: &usize| self.servers[i].health.is_probe_due(self.now, picks);
        let due = eligible.iter().copied().find(is_due);
        if first_attempt && !self.panic && due.is_some() {
            return due;
        }
        let healthy = self.filter_or_all(eligible, |s| self.panic || !s.health.is_suspect());
        let accepting = self.filter_or_all(&healthy, |s| self.now >= s.avoid_until);
        let local = self.filter_or_all(&accepting, |s| self.is_local(s));
        let chosen = if self.has_room(&local) {
            &local
        } else {
            &accepting
        };
        self.lowest_cost(chosen)
    }

    /// Returns the estimated number of requests at a backend server from all ingresses.
    pub(crate) fn load(&self, server: &TrackedServer) -> f64 {
        f64::from(server.inflight) + server.other_requests(self.now, self.stats.other_requests)
    }

    pub(crate) fn is_local(&self, server: &TrackedServer) -> bool {
        server.candidate.zone == self.settings.zone
    }

    /// Returns whether the total load of some backend servers leaves capacity for more requests.
    ///
    /// The total is used so that a single report does not direct all requests to one of them. A
    /// reported load below the mean counts as the mean.
    fn has_room(&self, some: &[usize]) -> bool {
        let mean = self.stats.other_requests;
        let mut load = 0.0;
        let mut slots = 0.0;
        for server in some.iter().map(|&i| &self.servers[i]) {
            load += f64::from(server.inflight) + server.other_requests(self.now, mean).max(mean);
            slots += f64::from(server.limit()) * self.share(server);
        }
        load < slots * LOCAL_LOAD_MAX
    }

    fn share(&self, server: &TrackedServer) -> f64 {
        if self.panic && server.health.is_suspect() {
            return 1.0;
        }
        server.health.share(self.now, self.settings.ramp_ms)
    }

    /// Returns those of `eligible` for which `is_kept` is true, or all of them if there are none.
    fn filter_or_all(
        &self,
        eligible: &[usize],
        is_kept: impl Fn(&TrackedServer) -> bool,
    ) -> SmallVec<[usize; 16]> {
        let kept: SmallVec<[usize; 16]> = eligible
            .iter()
            .copied()
            .filter(|&i| is_kept(&self.servers[i]))
            .collect();
        if kept.is_empty() {
            eligible.into()
        } else {
            kept
        }
    }

    /// Returns the index with the lowest cost; of equal ones, the least recently picked.
    fn lowest_cost(&self, eligible: &[usize]) -> Option<usize> {
        let order = |i: usize| {
            let server = &self.servers[i];
            let rank = rendezvous_rank(self.settings.node_hash, server.candidate.id_hash);
            (server.last_pick, rank)
        };
        let costs: SmallVec<[(f64, usize); 16]> = eligible
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
        let overdue = self.stats.overdue(self.now, server);
        let slots = f64::from(server.limit()) * self.share(server);
        let slowness = (self.stats.slowness(self.now, server) / LATENCY_TOLERANCE).max(1.0);
        (own + overdue + self.excess_load(server) + 1.0) / slots * slowness
    }

    /// Returns this ingress's share of the reported load above the mean.
    ///
    /// Each ingress compensates only for its own share of all requests, because the others see the
    /// same report and compensate too. Differences within the statistical noise of the counts are
    /// ignored. A low load gives no advantage, so a false report of one attracts no traffic.
    fn excess_load(&self, server: &TrackedServer) -> f64 {
        let ServiceStats {
            own_requests: own,
            other_requests: others,
            ..
        } = self.stats;
        let all = own + others;
        if all <= 0.0 {
            return 0.0;
        }
        let above = server.other_requests(self.now, others) - others;
        (above - all.sqrt()).max(0.0) * own / all
    }
}
