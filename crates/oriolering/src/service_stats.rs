//! Statistics over the backend servers of a service, used to detect outliers.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::tracked_server::{Report, TrackedServer};

/// The multiple of the median measured latency above which a backend server is slow.
const SLOW_RATIO: f64 = 4.0;
/// The multiple of the median reported latency above which a backend server is slow.
const REPORT_RATIO: f64 = 3.0;
/// How far a latency must be above the median to count as slow, in microseconds.
const SLOW_GAP_US: f64 = 5_000.0;
/// The multiple of the median latency up to which a response of a suspect is good.
const GOOD_RATIO: f64 = 2.0;
/// The number of overdue responses that is attributed to chance.
const CHANCE_OVERDUE: f64 = 2.0;
/// The time constant of the decay of overdue responses, as a multiple of the median latency.
const OVERDUE_DECAY: f64 = 8.0;
/// The time constant of the decay of slowness after the last response, in milliseconds.
const SLOWNESS_DECAY_MS: f64 = 1000.0;
/// How far a failure rate must be above the median to make a suspect.
const FAILURE_GAP: f64 = 0.5;

/// Means and medians over the backend servers in the subset of an ingress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceStats {
    /// The mean number of requests in flight from this ingress.
    pub(crate) own_requests: f64,
    /// The mean number of requests from other ingresses.
    pub(crate) other_requests: f64,
    /// The median latency measured by this ingress, in microseconds.
    pub(crate) latency: Option<f64>,
    /// The median latency reported by the gates, in microseconds.
    pub(crate) reported: Option<f64>,
    /// The median failure rate.
    pub(crate) failures: f64,
}

impl ServiceStats {
    pub(crate) fn of(servers: &[TrackedServer]) -> Self {
        let used = || servers.iter().filter(|s| s.in_subset);
        let reports = || used().filter_map(|s| s.report);
        Self {
            own_requests: mean(used().map(|s| f64::from(s.inflight))),
            other_requests: mean(reports().map(|h| f64::from(h.other_requests))),
            latency: median(used().filter_map(|s| s.latency)),
            reported: median(reports().filter_map(|h| reported_latency(&h))),
            failures: median(used().map(|s| s.failures)).unwrap_or(0.0),
        }
    }

    /// Returns whether a backend server fails much more often than the others.
    pub(crate) fn is_failing(&self, server: &TrackedServer) -> bool {
        server.failures > self.failures + FAILURE_GAP
    }

    /// Returns whether a backend server is much slower than the others.
    pub(crate) fn is_slow(&self, server: &TrackedServer) -> bool {
        let seen = server.latency.zip(self.latency);
        let is_slow = seen.is_some_and(|(own, median)| is_far_above(own, median, SLOW_RATIO));
        is_slow || self.is_reported_slow(server)
    }

    /// Returns whether a response of a suspect is fast enough to count as good.
    pub(crate) fn is_good(&self, server: &TrackedServer, latency_us: u64) -> bool {
        let latency = latency_us as f64;
        let is_slow = |median| is_far_above(latency, median, GOOD_RATIO);
        !self.latency.is_some_and(is_slow) && !self.is_reported_slow(server)
    }

    /// Returns the factor by which a backend server's latency raises its cost, at least one.
    ///
    /// The factor starts as the ratio to the median latency and decays with the age of the last
    /// response. Otherwise a slow response could keep a backend server from being chosen, and so
    /// from showing that it is fast again.
    pub(crate) fn slowness(&self, now: Millis, server: &TrackedServer) -> f64 {
        let age = now.since(server.last_answer) as f64;
        1.0 + (self.ratio(server) - 1.0).max(0.0) * (-age / SLOWNESS_DECAY_MS).exp()
    }

    /// Returns the latency of a backend server as a multiple of the median latency.
    fn ratio(&self, server: &TrackedServer) -> f64 {
        match (server.latency, self.latency) {
            (Some(own), Some(median)) if median > 0.0 => own / median,
            (Some(_) | None, Some(_) | None) => 1.0,
        }
    }

    /// Returns the estimated number of overdue responses of a backend server.
    ///
    /// With several requests in flight, a response is expected within the median latency divided
    /// by their number. A longer time without one indicates a pause long before any single request
    /// is late. The estimate decays, because a single long request causes the same, and only
    /// further requests can show that others are answered.
    pub(crate) fn overdue(&self, now: Millis, server: &TrackedServer) -> f64 {
        let Some(latency) = self.latency.filter(|&latency| latency > 0.0) else {
            return 0.0;
        };
        let silence = server.silence_ms(now) as f64 * 1000.0 / latency;
        let expected = silence * f64::from(server.inflight);
        let decay = (-silence / OVERDUE_DECAY).exp();
        (expected - CHANCE_OVERDUE).max(0.0) * decay
    }

    fn is_reported_slow(&self, server: &TrackedServer) -> bool {
        let own = server.report.and_then(|report| reported_latency(&report));
        let reported = own.zip(self.reported);
        reported.is_some_and(|(own, median)| is_far_above(own, median, REPORT_RATIO))
    }
}

/// Returns whether a latency exceeds a median by both `ratio` and [`SLOW_GAP_US`].
///
/// The gap allows for the network latency to another availability zone, which can be a multiple of
/// the latency of a fast service.
fn is_far_above(latency: f64, median: f64, ratio: f64) -> bool {
    latency > median * ratio && latency > median + SLOW_GAP_US
}

/// Returns the latency in a report, or `None` if the gate has not served any request yet.
fn reported_latency(report: &Report) -> Option<f64> {
    let latency = report.hint.latency_us;
    (latency > 0).then_some(f64::from(latency))
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Returns the lower median, or `None` without values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: SmallVec<[f64; 16]> = values.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let middle = sorted.len().checked_sub(1)? / 2;
    Some(sorted[middle])
}
