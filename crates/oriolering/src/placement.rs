//! The choice of a backend server for a request, from hints that are a moment old.
//!
//! The load that this answers: backend servers share their instances with others, and at any
//! time a part of them takes several times as long for some hundred milliseconds. A request
//! goes where it is expected to end first: by the pace that the gate told last, by what runs
//! and waits there, and by what this ingress sent since the gate told it.

use rand::Rng;

use crate::{CrossZoneCost, GateLoad, Millis, Rate};

/// The age up to which a pace is taken as it was told, in milliseconds.
const FRESH_MS: u64 = 150;
/// The age from which a pace says nothing any more, in milliseconds.
const STALE_MS: u64 = 600;
/// The pace of a backend server of which nothing recent is known, as a percentage.
const UNKNOWN_PERCENT: u64 = 160;
/// The time that a hop to another availability zone adds, in milliseconds.
const FAR_MS: u64 = 2;
/// The part of an estimate by which two choices count as equal, in percent.
const SPREAD_PERCENT: u64 = 12;
/// How often gates may send one request away for a better one; one less than the refusals after
/// which its caller is told to come back, so that the last gate takes it if it ends in time.
const AWAY_MAX: u32 = 3;
/// The share of a new outcome in the failure rate, as a power of two: one eighth.
const FAILURE_SHIFT: u32 = 3;
/// The failure rate of a backend server that fails every request.
const FAILURE_ONE: u32 = 1_000;
/// The time in which a failure rate halves while nothing is sent, in milliseconds.
const FORGIVE_MS: u64 = 1_500;

/// The most nodes that an ingress reckons with beside itself for the turns under a limit.
const CROWD_MAX: u32 = 64;
/// The longest time for which it leaves the turns to others, in milliseconds: it may be alone by
/// then.
const YIELD_MAX_MS: u64 = 2_000;

/// What an ingress knows of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerEstimate {
    /// What its gate told last.
    pub load: GateLoad,
    /// When the gate told it.
    pub reported: Millis,
    /// The requests sent since then.
    pub sent: u32,
    /// Whether it is in another availability zone.
    pub other_zone: bool,
    /// Until when it is avoided, since its node does not answer.
    pub avoid_until: Millis,
    /// The limit in the last answer of the backend server that passed here.
    pub rate_limit: Option<Rate>,
    failures: u32,
    failed: Millis,
    /// How many nodes seem to share the turns under the limit.
    crowd: u32,
    /// When the gate had no turn for a request.
    no_turn: Millis,
}

impl ServerEstimate {
    /// Returns a site of which nothing is known yet.
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
            failures: 0,
            failed: now,
            crowd: 1,
            no_turn: now,
        }
    }

    /// Takes in what the gate tells.
    pub fn update_load(&mut self, now: Millis, load: GateLoad) {
        self.load = load;
        self.reported = now;
        self.sent = 0;
    }

    /// Records whether a request failed at the backend server.
    pub fn record_result(&mut self, now: Millis, failed: bool) {
        let rate = self.failure_rate(now);
        let sample = if failed { FAILURE_ONE } else { 0 };
        self.failures = rate - (rate >> FAILURE_SHIFT) + (sample >> FAILURE_SHIFT);
        self.failed = now;
    }

    /// Records that the gate sent a request on; if the backend server is limited, others come for
    /// the turns, too, and some are left to those.
    ///
    /// The load that this answers: a backend server takes one request in some 80 ms, and dozens
    /// of nodes know when. Each of them would send one, and all but one would come back.
    pub fn record_rate_limited(&mut self, now: Millis) {
        if self.load.gap_us > 0 {
            self.crowd = (self.crowd * 2).min(CROWD_MAX);
            self.no_turn = now;
        }
    }

    /// Records that the backend server ran a request.
    pub fn record_run(&mut self) {
        self.crowd -= (self.crowd - 1).div_ceil(4);
    }

    /// Returns how many of a thousand requests fail; it falls while nothing is sent.
    pub fn failure_rate(&self, now: Millis) -> u32 {
        let halvings = now.since(self.failed) / FORGIVE_MS;
        self.failures >> halvings.min(31)
    }

    /// Returns the pace that is expected now, as a percentage of the usual duration.
    pub fn work_percent(&self, now: Millis) -> u64 {
        let told = u64::from(self.load.work_percent.max(1));
        let age = now.since(self.reported);
        if age <= FRESH_MS {
            return told;
        }
        if age >= STALE_MS {
            return UNKNOWN_PERCENT;
        }
        let faded = age - FRESH_MS;
        let span = STALE_MS - FRESH_MS;
        (told * (span - faded) + UNKNOWN_PERCENT * faded) / span
    }

    /// Returns how long a request is expected to take here, in milliseconds.
    pub fn expected_ms(&self, now: Millis, load: RequestCost) -> u64 {
        let work_ms = load.work_ms;
        let pace = self.work_percent(now);
        let capacity = u64::from(self.load.capacity.max(1));
        let busy = u64::from(self.load.running + self.load.waiting + self.sent);
        let run = work_ms * pace / 100;
        let ahead = (busy + 1).saturating_sub(capacity);
        let wait = (ahead * run / capacity).max(self.turn_ms(now));
        // A part of what runs shares the instance's processor with the rest.
        let crowd = run * busy.min(capacity) / capacity / 8;
        let hop = if self.other_zone { FAR_MS } else { 0 };
        let alive = u64::from(FAILURE_ONE - self.failure_rate(now).min(FAILURE_ONE - 50));
        (run + wait + crowd + hop) * u64::from(FAILURE_ONE) / alive
    }

    /// Returns how long a request waits for its turn under the backend server's limit, in
    /// milliseconds: by what the gate told, and what was sent and has passed since.
    fn turn_ms(&self, now: Millis) -> u64 {
        let gap_us = u64::from(self.load.gap_us);
        let sent_ms = u64::from(self.sent) * gap_us / 1_000;
        let others_ms = u64::from(self.crowd - 1) * gap_us / 1_000;
        let told = self.reported + u64::from(self.load.turn_ms) + sent_ms;
        let yielded = self.no_turn + others_ms.min(YIELD_MAX_MS);
        told.max(yielded).since(now)
    }

    /// Returns whether requests may be sent here.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.load.closed && self.avoid_until <= now
    }
}

/// What a request asks of a backend server and of the way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCost {
    /// How long it takes at the usual pace, in milliseconds.
    pub work_ms: u64,
    /// The bytes of the request and of its answer.
    pub bytes: u64,
    /// What is left until its answer is worth less, in milliseconds.
    pub aim_ms: u64,
}

/// The choice for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The index of the backend server among those that were offered.
    pub index: usize,
    /// How long the request is expected to take there, in milliseconds.
    pub expected_ms: u64,
    /// How long it is expected to take at the next best, in milliseconds, with what leaving the
    /// availability zone for it, or returning from here, is worth.
    pub next_best_ms: Option<u64>,
}

impl Placement {
    /// Returns how long the request is expected to take at the next best, for the gate to weigh;
    /// nothing once gates have sent it away `away` times for a better one.
    ///
    /// The load that this answers: all backend servers are about as slow, since they have just
    /// started, and what an ingress knows of the others is old. Each gate would send the request
    /// on, and its caller would be refused with room free.
    pub fn alternative_ms(&self, away: u32) -> Option<u64> {
        self.next_best_ms.filter(|_| away < AWAY_MAX)
    }
}

/// Chooses among the sites where a request is expected to end first; those of other availability
/// zones have to be better by what `crossing` says.
///
/// Sites that are about as good are chosen at random, so that many ingresses with the same
/// hints do not all choose the same one.
pub fn choose_server<'a>(
    now: Millis,
    load: RequestCost,
    crossing: CrossZoneCost,
    sites: impl Iterator<Item = (usize, &'a ServerEstimate)> + Clone,
    rng: &mut impl Rng,
) -> Option<Placement> {
    let open = sites.filter(|(_, site)| site.is_open(now));
    let near = open.clone().filter(|(_, site)| !site.other_zone);
    let near_ms = near.map(|(_, site)| site.expected_ms(now, load)).min();
    let margin_ms = near_ms.map_or(0, |ms| crossing.margin_ms(load, ms));
    let mut best: Option<Candidate> = None;
    let mut next_ms: Option<u64> = None;
    for (index, site) in open {
        let candidate = Candidate {
            index,
            expected_ms: site.expected_ms(now, load),
            margin_ms: if site.other_zone { margin_ms } else { 0 },
            jitter: rng.random_range(0..=SPREAD_PERCENT),
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

/// A site that may be chosen.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    expected_ms: u64,
    /// What the way there is worth beside its time, in milliseconds.
    margin_ms: u64,
    jitter: u64,
}

impl Candidate {
    fn cost_ms(self) -> u64 {
        self.expected_ms + self.margin_ms
    }

    fn score(self) -> u64 {
        self.cost_ms() * (100 + self.jitter)
    }
}
