//! What one ingress knows of each backend server of a service.

use crate::attempt_result::AttemptResult;
use crate::clock::Millis;
use crate::health::Health;
use crate::keys::{ServerKey, ZoneKey};
use crate::load_hint::LoadHint;

/// The weight of one answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// How many times the typical latency a single answer counts at most.
const CUT_RATIO: f64 = 10.0;
/// The weight of one answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// The weight of one silence in the share of failures.
const SILENCE_WEIGHT: f64 = 0.5;
/// The time for which a backend server is avoided after a first refusal, in milliseconds.
const MIN_REST_MS: u64 = 10;
/// The longest time for which it is avoided after refusals in a row, in milliseconds.
const MAX_REST_MS: u64 = 1000;
/// The slots assumed for a backend server that has not reported its limit.
const DEFAULT_LIMIT: u32 = 12;
/// The shortest time in which a report loses its weight.
const MIN_DECAY_MS: f64 = 5.0;

/// A backend server that may be chosen, as the list of members tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The backend server.
    pub server: ServerKey,
    /// The hash of its instance's id.
    pub id_hash: u64,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether this list is the first with a new incarnation; all that was known is forgotten.
    pub new_incarnation: bool,
}

/// How long a report that a backend server is leaving holds, in milliseconds.
const LEAVE_HOLD_MS: u64 = 3_000;

/// A report of a gate with the time it came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) received: Millis,
    pub(crate) hint: LoadHint,
    /// The requests there that other ingresses had sent.
    pub(crate) others: u32,
}

/// The knowledge of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct TrackedServer {
    pub(crate) candidate: Candidate,
    /// Whether it is in the subset of this ingress.
    pub(crate) in_subset: bool,
    /// Whether the list no longer has it while requests are still in flight.
    pub(crate) removed: bool,
    pub(crate) report: Option<Report>,
    /// The mean latency of its answers here, in microseconds.
    pub(crate) latency: Option<f64>,
    /// When the last good answer came.
    pub(crate) last_answer: Millis,
    /// The share of its answers here that were failures.
    pub(crate) failures: f64,
    pub(crate) health: Health,
    /// Since when it has been far slower than the others.
    pub(crate) slow_since: Option<Millis>,
    /// Until when it is avoided because it refused.
    pub(crate) avoid_until: Millis,
    /// For how long it is avoided after its next refusal.
    backoff: u64,
    /// When its gate last reported that it is leaving.
    leaving_reported: Option<Millis>,
    /// The number of the last pick that chose it.
    pub(crate) last_pick: u64,
    /// The requests in flight from this ingress.
    pub(crate) inflight: u32,
    /// When one of them last ended, or the first was sent.
    last_progress: Millis,
}

impl TrackedServer {
    pub(crate) fn new(now: Millis, candidate: Candidate) -> Self {
        Self {
            candidate,
            in_subset: false,
            removed: false,
            report: None,
            latency: None,
            last_answer: now,
            failures: 0.0,
            health: Health::new(now, candidate.new_incarnation),
            slow_since: None,
            avoid_until: now,
            backoff: MIN_REST_MS,
            leaving_reported: None,
            last_pick: 0,
            inflight: 0,
            last_progress: now,
        }
    }

    /// Takes over what the list of members says now.
    pub(crate) fn refresh(&mut self, now: Millis, candidate: Candidate) {
        if candidate.new_incarnation {
            *self = Self {
                last_pick: self.last_pick,
                inflight: self.inflight,
                ..Self::new(now, candidate)
            };
        }
        self.candidate = candidate;
        self.removed = false;
    }

    pub(crate) fn limit(&self) -> u32 {
        let heard = self.report.map(|heard| heard.hint.limit);
        heard.filter(|&limit| limit > 0).unwrap_or(DEFAULT_LIMIT)
    }

    /// Returns whether it takes no new work, by the list or by a report that still holds.
    pub(crate) fn is_leaving(&self, now: Millis) -> bool {
        let told = self
            .leaving_reported
            .is_some_and(|at| now.since(at) < LEAVE_HOLD_MS);
        self.candidate.leaving || told
    }

    pub(crate) fn start(&mut self, now: Millis) {
        if self.inflight == 0 {
            self.last_progress = now;
        }
        self.inflight += 1;
    }

    /// Takes a report; one that it is leaving holds for a while, whatever comes late.
    ///
    /// It does not hold for good, because the endpoint behind it may have misled.
    pub(crate) fn record_report(&mut self, now: Millis, hint: LoadHint) {
        if hint.leaving {
            self.leaving_reported = Some(now);
        }
        let total = hint.running.saturating_add(hint.queued);
        let others = total.saturating_sub(self.inflight);
        self.report = Some(Report {
            received: now,
            hint,
            others,
        });
    }

    /// Ends a request in flight, given the typical latency of all backend servers.
    pub(crate) fn finish(&mut self, now: Millis, result: AttemptResult, typical: Option<f64>) {
        self.inflight = self.inflight.saturating_sub(1);
        match result {
            AttemptResult::Served { latency_us } => {
                self.failures *= 1.0 - FAILURE_WEIGHT;
                self.learn_latency(latency_us as f64, typical);
                self.last_answer = now;
                self.avoid_until = now;
                self.backoff = MIN_REST_MS;
            }
            AttemptResult::Failed { .. } => {
                self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
            }
            AttemptResult::NoResponse => {
                self.failures += (1.0 - self.failures) * SILENCE_WEIGHT;
                return;
            }
            AttemptResult::Refused => {
                self.back_off(now);
            }
            AttemptResult::Cancelled => return,
        }
        self.last_progress = now;
    }

    /// Returns the requests there of other ingresses, given their mean over all servers.
    ///
    /// A report loses its weight within about one service time, because by then other
    /// requests run there.
    pub(crate) fn others(&self, now: Millis, mean: f64) -> f64 {
        let Some(heard) = self.report else {
            return mean;
        };
        let decay = (f64::from(heard.hint.latency_us) / 1000.0).max(MIN_DECAY_MS);
        let weight = (-(now.since(heard.received) as f64) / decay).exp();
        weight * f64::from(heard.others) + (1.0 - weight) * mean
    }

    /// Returns the milliseconds for which requests have been in flight without any end.
    pub(crate) fn silence(&self, now: Millis) -> u64 {
        if self.inflight == 0 {
            0
        } else {
            now.since(self.last_progress)
        }
    }

    /// Forgets what made it a suspect.
    pub(crate) fn clear_evidence(&mut self, latency_us: u64) {
        self.latency = Some(latency_us as f64);
        self.failures = 0.0;
        self.slow_since = None;
    }

    /// Notes whether it is far slower than the others, and returns since when.
    pub(crate) fn note_slow(&mut self, now: Millis, is_slow: bool) -> Option<Millis> {
        self.slow_since = if is_slow {
            self.slow_since.or(Some(now))
        } else {
            None
        };
        self.slow_since
    }

    /// Avoids it for a while, twice as long each time until it serves again.
    ///
    /// Refusals of requests that were sent before the last one count as one.
    fn back_off(&mut self, now: Millis) {
        if now < self.avoid_until {
            return;
        }
        self.avoid_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_REST_MS);
    }

    /// Takes a latency into the mean, cut off so that a single long request weighs little.
    fn learn_latency(&mut self, latency: f64, typical: Option<f64>) {
        let most = typical.map_or(f64::INFINITY, |typical| typical * CUT_RATIO);
        let latency = latency.min(most);
        self.latency = Some(match self.latency {
            Some(mean) => mean + (latency - mean) * LATENCY_WEIGHT,
            None => latency,
        });
    }
}
