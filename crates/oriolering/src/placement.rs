//! Selection of a backend server for a request, based on load reports that may be outdated.
//!
//! Backend servers share their instances with other workloads, so at any time some of them are
//! several times slower than usual for some hundred milliseconds. A request goes to the backend
//! server with the earliest expected completion. The estimate uses the work duration, running
//! and waiting requests that the gate last reported, and the requests that this ingress has sent
//! since that report.

use rand::Rng;

use crate::{CrossZoneCost, GateLoad, Millis, Rate};

/// The age up to which a reported work percentage is used unchanged, in milliseconds.
const FRESH_MS: u64 = 150;
/// The age from which a reported work percentage is ignored, in milliseconds.
const STALE_MS: u64 = 600;
/// The work percentage assumed for a backend server without a recent report.
const UNKNOWN_WORK_PERCENT: u64 = 160;
/// The shortest time between two requests that are sent to a backend server only because it has no
/// recent report, in milliseconds: longer than a reply with a report takes on the way.
const ASK_INTERVAL_MS: u64 = 100;
/// The time that a request to another availability zone adds, in milliseconds.
const OTHER_ZONE_MS: u64 = 2;
/// The largest random increase of a score, in percent, which spreads requests over backend
/// servers with similar estimates.
const JITTER_PERCENT: u64 = 12;
/// The number of times that gates may refuse one request in favour of a better backend server.
///
/// This is one less than the number of refusals after which the caller is told to retry later,
/// so the last gate accepts the request if it can complete in time.
const REDIRECTS_MAX: u32 = 3;
/// The weight of a new result in the failure rate, as a right shift: one eighth.
const FAILURE_SHIFT: u32 = 3;
/// The failure rate of a backend server that fails every request.
const FAILURE_SCALE: u32 = 1_000;
/// The time in which a failure rate halves without new results, in milliseconds.
const FAILURE_HALF_LIFE_MS: u64 = 1_500;

/// The upper bound of the estimated number of nodes that share a backend server's rate limit.
const COMPETING_NODES_MAX: u32 = 64;
/// The longest time for which an ingress leaves a rate limit to other nodes, in milliseconds;
/// they may have stopped sending by then.
const YIELD_MAX_MS: u64 = 2_000;

/// The state from which an ingress estimates the duration of requests at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerEstimate {
    /// The last load report of its gate.
    pub load: GateLoad,
    /// The time of that report.
    pub reported: Millis,
    /// The number of requests sent since that report.
    pub sent: u32,
    /// Whether the backend server is in another availability zone.
    pub other_zone: bool,
    /// The time until which the backend server is avoided because it could not be reached.
    pub avoid_until: Millis,
    /// The rate limit in the last response of the backend server through this ingress.
    pub rate_limit: Option<Rate>,
    /// When a request was last sent there only because there was no recent report.
    asked: Option<Millis>,
    /// The failure rate at `last_result`, in units of [`FAILURE_SCALE`].
    failures: u32,
    /// The time of the last result.
    last_result: Millis,
    /// The estimated number of nodes that share the rate limit, including this one.
    competing_nodes: u32,
    /// The time of the last refusal because of the rate limit.
    last_rate_limited: Millis,
}

impl ServerEstimate {
    /// Returns the estimate of a backend server without any report.
    pub fn new(now: Millis, slots: u32, far: bool) -> Self {
        let load = GateLoad {
            running: 0,
            waiting: 0,
            capacity: slots.max(1),
            work_percent: 100,
            gap_us: 0,
            turn_ms: 0,
            closed: false,
        };
        Self {
            load,
            reported: now,
            sent: 0,
            other_zone: far,
            avoid_until: Millis(0),
            rate_limit: None,
            asked: None,
            failures: 0,
            last_result: now,
            competing_nodes: 1,
            last_rate_limited: now,
        }
    }

    /// Replaces the load with a new report of the gate.
    pub fn update_load(&mut self, now: Millis, load: GateLoad) {
        self.load = load;
        self.reported = now;
        self.sent = 0;
    }

    /// Updates the failure rate with the result of a request.
    pub fn record_result(&mut self, now: Millis, failed: bool) {
        let rate = self.failure_rate(now);
        let sample = if failed { FAILURE_SCALE } else { 0 };
        self.failures = rate - (rate >> FAILURE_SHIFT) + (sample >> FAILURE_SHIFT);
        self.last_result = now;
    }

    /// Records that the gate refused a request in favour of another backend server.
    ///
    /// If the backend server has a rate limit, this doubles the estimated number of nodes that
    /// share it, so this ingress waits longer before it sends again. Without this, when a backend
    /// server accepts one request in some 80 ms and dozens of nodes know the time of the next one,
    /// each of them would send a request and all but one would be refused.
    pub fn record_rate_limited(&mut self, now: Millis) {
        if self.load.gap_us > 0 {
            self.competing_nodes = (self.competing_nodes * 2).min(COMPETING_NODES_MAX);
            self.last_rate_limited = now;
        }
    }

    /// Records that the backend server ran a request, which lowers the estimated number of nodes
    /// that share its rate limit.
    pub fn record_run(&mut self) {
        self.competing_nodes -= (self.competing_nodes - 1).div_ceil(4);
    }

    /// Returns the number of failures in a thousand requests; it decays without new results.
    pub fn failure_rate(&self, now: Millis) -> u32 {
        let halvings = now.since(self.last_result) / FAILURE_HALF_LIFE_MS;
        self.failures >> halvings.min(31)
    }

    /// Returns the expected duration of work as a percentage of the usual duration.
    ///
    /// As the report ages, the value moves from the reported one to a fixed default.
    pub fn work_percent(&self, now: Millis) -> u64 {
        let reported = u64::from(self.load.work_percent.max(1));
        let age = now.since(self.reported);
        if age <= FRESH_MS {
            return reported;
        }
        if age >= STALE_MS {
            return UNKNOWN_WORK_PERCENT;
        }
        let decayed = age - FRESH_MS;
        let span = STALE_MS - FRESH_MS;
        (reported * (span - decayed) + UNKNOWN_WORK_PERCENT * decayed) / span
    }

    /// Returns whether the last report is too old to tell anything about the present, and no
    /// request was sent in the last moment to bring another.
    fn needs_report(&self, now: Millis) -> bool {
        let outdated = now.since(self.reported) >= STALE_MS;
        let asked = self.asked.is_some_and(|at| now.since(at) < ASK_INTERVAL_MS);
        outdated && !asked
    }

    /// Records that a request was sent because there is no recent report.
    pub fn record_asked(&mut self, now: Millis) {
        self.asked = Some(now);
    }

    /// Returns the shortest duration of a request that is likely at this backend server without a
    /// recent report, in milliseconds: work takes its usual time, and nothing waits.
    fn least_ms(&self, now: Millis, cost: RequestCost) -> u64 {
        let run = cost.work_ms + self.turn_ms(now);
        self.with_failures(now, run + self.zone_ms())
    }

    /// Returns the expected duration of a request at this backend server, in milliseconds.
    pub fn expected_ms(&self, now: Millis, cost: RequestCost) -> u64 {
        let work_ms = cost.work_ms;
        let pace = self.work_percent(now);
        let capacity = u64::from(self.load.capacity.max(1));
        let busy = u64::from(self.load.running + self.load.waiting + self.sent);
        let run = work_ms * pace / 100;
        let ahead = (busy + 1).saturating_sub(capacity);
        let wait = (ahead * run / capacity).max(self.turn_ms(now));
        // Concurrent requests share the processor of the instance.
        let contention = run * busy.min(capacity) / capacity / 8;
        self.with_failures(now, run + wait + contention + self.zone_ms())
    }

    fn zone_ms(&self) -> u64 {
        if self.other_zone { OTHER_ZONE_MS } else { 0 }
    }

    /// Returns how long a request takes that is repeated until it succeeds, if one attempt takes
    /// `ms` milliseconds.
    fn with_failures(&self, now: Millis, ms: u64) -> u64 {
        let success_rate =
            u64::from(FAILURE_SCALE - self.failure_rate(now).min(FAILURE_SCALE - 50));
        ms * u64::from(FAILURE_SCALE) / success_rate
    }

    /// Returns how long a request waits because of the backend server's rate limit, in
    /// milliseconds.
    ///
    /// The wait starts from the gate's report, grows with each request sent since, and shrinks as
    /// time passes.
    fn turn_ms(&self, now: Millis) -> u64 {
        let gap_us = u64::from(self.load.gap_us);
        let sent_ms = u64::from(self.sent) * gap_us / 1_000;
        let others_ms = u64::from(self.competing_nodes - 1) * gap_us / 1_000;
        let reported = self.reported + u64::from(self.load.turn_ms) + sent_ms;
        let own_turn = self.last_rate_limited + others_ms.min(YIELD_MAX_MS);
        reported.max(own_turn).since(now)
    }

    /// Returns whether the backend server accepts requests and is not being avoided.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.load.closed && self.avoid_until <= now
    }
}

/// The work and the transferred bytes of a request, and the time left for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCost {
    /// The usual duration of its work, in milliseconds.
    pub work_ms: u64,
    /// The size of the request and its response, in bytes.
    pub bytes: u64,
    /// The time left of its latency objective, in milliseconds.
    pub aim_ms: u64,
}

/// The backend server chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The index that was passed with the chosen backend server.
    pub index: usize,
    /// The expected duration of the request there, in milliseconds.
    pub expected_ms: u64,
    /// The expected duration at the next best backend server, in milliseconds.
    ///
    /// It is adjusted by the difference of the margins that the two pay for crossing availability
    /// zones.
    pub next_best_ms: Option<u64>,
}

impl Placement {
    /// Returns the expected duration at the next best backend server, which the gate compares with
    /// its own, or `None` once gates have refused the request too often in favour of a better one.
    ///
    /// `redirects` is the number of such refusals so far. Without the bound, when all backend
    /// servers are equally slow because they have just started, and the ingress has only outdated
    /// reports of the others, each gate would refuse the request, and the caller would be refused
    /// although slots are free.
    pub fn alternative_ms(&self, redirects: u32) -> Option<u64> {
        self.next_best_ms.filter(|_| redirects < REDIRECTS_MAX)
    }
}

/// Chooses the backend server where a request is expected to complete first.
///
/// Those in other availability zones must be better by the margin of `cross_zone`. The choice
/// among those with similar estimates is random, so that many ingresses with the same reports do
/// not all choose the same one.
pub fn choose_server<'a>(
    now: Millis,
    cost: RequestCost,
    cross_zone: CrossZoneCost,
    servers: impl Iterator<Item = (usize, &'a ServerEstimate)> + Clone,
    rng: &mut impl Rng,
) -> Option<Placement> {
    let open = servers.filter(|(_, server)| server.is_open(now));
    let local = open.clone().filter(|(_, server)| !server.other_zone);
    let local_ms = local.map(|(_, server)| server.expected_ms(now, cost)).min();
    let margin_ms = local_ms.map_or(0, |ms| cross_zone.margin_ms(cost, ms));
    let mut best: Option<ScoredServer> = None;
    let mut next_ms: Option<u64> = None;
    for (index, server) in open {
        let candidate = ScoredServer {
            index,
            expected_ms: server.expected_ms(now, cost),
            margin_ms: if server.other_zone { margin_ms } else { 0 },
            jitter: rng.random_range(0..=JITTER_PERCENT),
        };
        let other = match best {
            Some(kept) if kept.score() <= candidate.score() => Some(candidate),
            Some(_) | None => best.replace(candidate),
        };
        if let Some(other) = other {
            let cost_ms = other.cost_ms();
            next_ms = Some(next_ms.map_or(cost_ms, |ms| ms.min(cost_ms)));
        }
    }
    best.map(|best| Placement {
        index: best.index,
        expected_ms: best.expected_ms,
        next_best_ms: next_ms.map(|ms| ms.saturating_sub(best.margin_ms)),
    })
}

/// Chooses a backend server without a recent report that may complete a request within `left_ms`
/// milliseconds, for a request that none is expected to complete in time.
///
/// The estimate for a backend server without a recent report is pessimistic, which is right for a
/// choice among several. To refuse a request by it would keep the estimate as it is, since reports
/// come with the replies to requests. The gate knows the present load, and decides.
pub fn choose_unreported<'a>(
    now: Millis,
    cost: RequestCost,
    left_ms: u64,
    servers: impl Iterator<Item = (usize, &'a ServerEstimate)>,
) -> Option<Placement> {
    let unreported = servers.filter(|(_, s)| s.is_open(now) && s.needs_report(now));
    let estimated = unreported.map(|(index, server)| (server.least_ms(now, cost), index));
    let (expected_ms, index) = estimated.filter(|(ms, _)| *ms <= left_ms).min()?;
    Some(Placement {
        index,
        expected_ms,
        next_best_ms: None,
    })
}

/// A backend server that may be chosen, with its expected duration.
#[derive(Clone, Copy)]
struct ScoredServer {
    index: usize,
    expected_ms: u64,
    /// The margin for crossing availability zones, in milliseconds.
    margin_ms: u64,
    jitter: u64,
}

impl ScoredServer {
    fn cost_ms(self) -> u64 {
        self.expected_ms + self.margin_ms
    }

    fn score(self) -> u64 {
        self.cost_ms() * (100 + self.jitter)
    }
}
