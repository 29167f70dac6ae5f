//! The state that one ingress keeps of each backend server of a service.

use crate::attempt_result::AttemptResult;
use crate::clock::Millis;
use crate::health::Health;
use crate::keys::{ServerKey, ZoneKey};
use crate::load_hint::LoadHint;

/// The weight of a new response in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The latency at which a single response is capped, as a multiple of the median latency.
const MAX_SAMPLE_RATIO: f64 = 10.0;
/// The weight of a new response in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// The weight of an attempt without a response in the failure rate.
const SILENCE_WEIGHT: f64 = 0.5;
/// The backoff after the first refusal of a backend server, in milliseconds.
const MIN_BACKOFF_MS: u64 = 10;
/// The longest backoff after consecutive refusals, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1000;
/// The concurrency limit assumed for a backend server that has not reported one.
const DEFAULT_LIMIT: u32 = 12;
/// The smallest time constant of the decay of a report, in milliseconds.
const MIN_DECAY_MS: f64 = 5.0;

/// A backend server that may be chosen, as described by the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The backend server.
    pub server: ServerKey,
    /// The hash of its instance's id.
    pub id_hash: u64,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Whether this member list is the first with a new incarnation of the backend server, which
    /// discards the state of the previous one.
    pub new_incarnation: bool,
}

/// How long a report that a backend server is leaving stays in effect, in milliseconds.
const LEAVE_HOLD_MS: u64 = 3_000;

/// A load report of a gate with the time at which it was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) received: Millis,
    pub(crate) hint: LoadHint,
    /// The number of requests there from other ingresses.
    pub(crate) other_requests: u32,
}

/// The state of one backend server at one ingress.
#[derive(Clone, Debug)]
pub(crate) struct TrackedServer {
    pub(crate) candidate: Candidate,
    /// Whether it is in the subset of this ingress.
    pub(crate) in_subset: bool,
    /// Whether the member list no longer contains it; it is kept while requests are in flight.
    pub(crate) removed: bool,
    pub(crate) report: Option<Report>,
    /// The mean latency of its responses to this ingress, in microseconds.
    pub(crate) latency: Option<f64>,
    /// The time of its last successful response.
    pub(crate) last_answer: Millis,
    /// The failure rate of its attempts from this ingress, from zero to one.
    pub(crate) failures: f64,
    pub(crate) health: Health,
    /// The time since which it has been much slower than the others.
    pub(crate) slow_since: Option<Millis>,
    /// The time until which it is avoided because it refused a request.
    pub(crate) avoid_until: Millis,
    /// The backoff after its next refusal, in milliseconds.
    next_backoff_ms: u64,
    /// The time of the last report of its gate that it is leaving.
    leaving_reported: Option<Millis>,
    /// The sequence number of the last pick that chose it.
    pub(crate) last_pick: u64,
    /// The number of requests in flight from this ingress.
    pub(crate) inflight: u32,
    /// The time when one of them last completed, or when the first was sent.
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
            next_backoff_ms: MIN_BACKOFF_MS,
            leaving_reported: None,
            last_pick: 0,
            inflight: 0,
            last_progress: now,
        }
    }

    /// Updates it from the current member list.
    pub(crate) fn update_candidate(&mut self, now: Millis, candidate: Candidate) {
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
        let limit = self.report.map(|report| report.hint.limit);
        limit.filter(|&limit| limit > 0).unwrap_or(DEFAULT_LIMIT)
    }

    /// Returns whether it accepts no new requests, by the member list or by a recent report.
    pub(crate) fn is_leaving(&self, now: Millis) -> bool {
        let reported = self
            .leaving_reported
            .is_some_and(|at| now.since(at) < LEAVE_HOLD_MS);
        self.candidate.leaving || reported
    }

    pub(crate) fn start(&mut self, now: Millis) {
        if self.inflight == 0 {
            self.last_progress = now;
        }
        self.inflight += 1;
    }

    /// Records a load report.
    ///
    /// A report that the backend server is leaving stays in effect for [`LEAVE_HOLD_MS`], because
    /// older reports may arrive after it. It expires, because the report may have been wrong.
    pub(crate) fn record_report(&mut self, now: Millis, hint: LoadHint) {
        if hint.leaving {
            self.leaving_reported = Some(now);
        }
        let total = hint.running.saturating_add(hint.queued);
        let other_requests = total.saturating_sub(self.inflight);
        self.report = Some(Report {
            received: now,
            hint,
            other_requests,
        });
    }

    /// Records the result of a request in flight, given the median latency of all backend servers.
    pub(crate) fn finish(&mut self, now: Millis, result: AttemptResult, median: Option<f64>) {
        self.inflight = self.inflight.saturating_sub(1);
        match result {
            AttemptResult::Served { latency_us } => {
                self.failures *= 1.0 - FAILURE_WEIGHT;
                self.record_latency(latency_us as f64, median);
                self.last_answer = now;
                self.avoid_until = now;
                self.next_backoff_ms = MIN_BACKOFF_MS;
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

    /// Returns the estimated number of requests there from other ingresses.
    ///
    /// The estimate decays from the reported number to `mean`, the mean over all backend servers,
    /// within about one service time, because by then other requests are running.
    pub(crate) fn other_requests(&self, now: Millis, mean: f64) -> f64 {
        let Some(report) = self.report else {
            return mean;
        };
        let decay = (f64::from(report.hint.latency_us) / 1000.0).max(MIN_DECAY_MS);
        let weight = (-(now.since(report.received) as f64) / decay).exp();
        weight * f64::from(report.other_requests) + (1.0 - weight) * mean
    }

    /// Returns for how long requests have been in flight without a completion, in milliseconds.
    pub(crate) fn silence_ms(&self, now: Millis) -> u64 {
        if self.inflight == 0 {
            0
        } else {
            now.since(self.last_progress)
        }
    }

    /// Resets the statistics that made it a suspect, given the latency of a good response.
    pub(crate) fn clear_evidence(&mut self, latency_us: u64) {
        self.latency = Some(latency_us as f64);
        self.failures = 0.0;
        self.slow_since = None;
    }

    /// Updates whether it is much slower than the others, and returns since when it has been.
    pub(crate) fn update_slow(&mut self, now: Millis, is_slow: bool) -> Option<Millis> {
        self.slow_since = if is_slow {
            self.slow_since.or(Some(now))
        } else {
            None
        };
        self.slow_since
    }

    /// Avoids it for the next backoff, which doubles with each refusal until it serves a request.
    ///
    /// Further refusals within the backoff are ignored, as they answer requests that were sent
    /// before it.
    fn back_off(&mut self, now: Millis) {
        if now < self.avoid_until {
            return;
        }
        self.avoid_until = now + self.next_backoff_ms;
        self.next_backoff_ms = (self.next_backoff_ms * 2).min(MAX_BACKOFF_MS);
    }

    /// Adds a latency to the mean, capped so that a single long request has little weight.
    fn record_latency(&mut self, latency: f64, median: Option<f64>) {
        let most = median.map_or(f64::INFINITY, |median| median * MAX_SAMPLE_RATIO);
        let latency = latency.min(most);
        self.latency = Some(match self.latency {
            Some(mean) => mean + (latency - mean) * LATENCY_WEIGHT,
            None => latency,
        });
    }
}
