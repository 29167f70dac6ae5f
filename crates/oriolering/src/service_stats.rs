//! What is typical of the backend servers of a service, and who stands out.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::tracked_server::{Report, TrackedServer};

/// How many times the typical latency seen here makes a suspect.
const SLOW_RATIO: f64 = 4.0;
/// How many times the typical reported latency makes a suspect.
const REPORT_RATIO: f64 = 3.0;
/// How far a latency must lie above the typical one to count as slow, in microseconds.
const SLOW_GAP_US: f64 = 5_000.0;
/// How many times the typical latency an answer of a suspect may take to count as good.
const GOOD_RATIO: f64 = 2.0;
/// How many answers may be overdue by chance.
const USUAL_OVERDUE: f64 = 2.0;
/// The typical latencies of silence in which it fades as evidence.
const OVERDUE_FADE: f64 = 8.0;
/// The time in which a slow answer fades, in milliseconds.
const FADE_MS: f64 = 1000.0;
/// How far the share of failures must lie above the typical one to make a suspect.
const FAILURE_GAP: f64 = 0.5;

/// The means and medians over the backend servers that an ingress uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceStats {
    /// The mean requests in flight from this ingress.
    pub(crate) own: f64,
    /// The mean requests there from other ingresses.
    pub(crate) others: f64,
    /// The median latency seen here, in microseconds.
    pub(crate) latency: Option<f64>,
    /// The median latency in the reports, in microseconds.
    pub(crate) reported: Option<f64>,
    /// The median share of failures.
    pub(crate) failures: f64,
}

impl ServiceStats {
    pub(crate) fn of(servers: &[TrackedServer]) -> Self {
        let used = || servers.iter().filter(|s| s.in_subset);
        let heard = || used().filter_map(|s| s.report);
        Self {
            own: mean(used().map(|s| f64::from(s.inflight))),
            others: mean(heard().map(|h| f64::from(h.others))),
            latency: median(used().filter_map(|s| s.latency)),
            reported: median(heard().filter_map(|h| reported_latency(&h))),
            failures: median(used().map(|s| s.failures)).unwrap_or(0.0),
        }
    }

    /// Returns whether a backend server fails far more often than the others.
    pub(crate) fn is_failing(&self, server: &TrackedServer) -> bool {
        server.failures > self.failures + FAILURE_GAP
    }

    /// Returns whether a backend server is far slower than the others.
    pub(crate) fn is_slow(&self, server: &TrackedServer) -> bool {
        let seen = server.latency.zip(self.latency);
        let is_slow = seen.is_some_and(|(own, typical)| is_beyond(own, typical, SLOW_RATIO));
        is_slow || self.reports_slow(server)
    }

    /// Returns whether an answer of a suspect counts as good.
    pub(crate) fn is_good(&self, server: &TrackedServer, latency_us: u64) -> bool {
        let latency = latency_us as f64;
        let is_slow = |typical| is_beyond(latency, typical, GOOD_RATIO);
        !self.latency.is_some_and(is_slow) && !self.reports_slow(server)
    }

    /// Returns how far a backend server's latency counts against it, as a multiple of the
    /// typical one.
    ///
    /// It fades with the age of the last answer: a slow answer alone must not keep a backend
    /// server from being chosen, and so from showing that it is fast again.
    pub(crate) fn slowness(&self, now: Millis, server: &TrackedServer) -> f64 {
        let age = now.since(server.last_answer) as f64;
        1.0 + (self.ratio(server) - 1.0).max(0.0) * (-age / FADE_MS).exp()
    }

    /// Returns the latency of a backend server as a multiple of the typical one.
    fn ratio(&self, server: &TrackedServer) -> f64 {
        match (server.latency, self.latency) {
            (Some(own), Some(typical)) if typical > 0.0 => own / typical,
            (Some(_) | None, Some(_) | None) => 1.0,
        }
    }

    /// Returns how many answers of a backend server are overdue.
    ///
    /// With some requests in flight an answer is expected in the typical latency divided by
    /// their number. A longer silence tells of a pause long before any single request is late.
    /// It fades, because a long request alone in flight is silent too, and only further requests
    /// can show that others are answered.
    pub(crate) fn overdue(&self, now: Millis, server: &TrackedServer) -> f64 {
        let Some(latency) = self.latency.filter(|&latency| latency > 0.0) else {
            return 0.0;
        };
        let silence = server.silence(now) as f64 * 1000.0 / latency;
        let expected = silence * f64::from(server.inflight);
        let fade = (-silence / OVERDUE_FADE).exp();
        (expected - USUAL_OVERDUE).max(0.0) * fade
    }

    fn reports_slow(&self, server: &TrackedServer) -> bool {
        let own = server.report.and_then(|heard| reported_latency(&heard));
        let reported = own.zip(self.reported);
        reported.is_some_and(|(own, typical)| is_beyond(own, typical, REPORT_RATIO))
    }
}

/// Returns whether a latency lies beyond both the ratio and the gap.
///
/// The gap leaves room for the way to another availability zone, which is long beside the time
/// that a fast service takes.
fn is_beyond(latency: f64, typical: f64, ratio: f64) -> bool {
    latency > typical * ratio && latency > typical + SLOW_GAP_US
}

/// Returns the latency in a report, or `None` when the gate has served nothing yet.
fn reported_latency(heard: &Report) -> Option<f64> {
    let latency = heard.hint.latency_us;
    (latency > 0).then_some(f64::from(latency))
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Returns the lower median.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: SmallVec<[f64; 16]> = values.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let middle = sorted.len().checked_sub(1)? / 2;
    Some(sorted[middle])
}
