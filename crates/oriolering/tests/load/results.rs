//! The results of a simulation.

use std::fmt;

/// The percentage of the target latency within which a refusal counts as immediate.
const AT_ONCE_PERCENT: u64 = 13;

/// The results of one simulation, as seen by callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Results {
    pub(crate) requests: u64,
    pub(crate) within_aim: u64,
    pub(crate) answered: u64,
    pub(crate) refused_at_once: u64,
    pub(crate) refused_later: u64,
    /// The requests whose callers left before a response.
    pub(crate) left: u64,
    /// The requests that were sent again after a refusal, which are also part of `requests`.
    pub(crate) returned: u64,
    /// Those of them that were refused again.
    pub(crate) refused_again: u64,
    /// The requests that got no response before their deadline.
    pub(crate) expired: u64,
    /// The responses that came after their deadline.
    pub(crate) late: u64,
    /// The requests that were sent to a second gate while the first one had them.
    pub(crate) second_runs: u64,
    /// The requests that were sent back to the ingress after they had waited at a gate.
    pub(crate) sent_back: u64,
    /// The runs that were started.
    pub(crate) runs: u64,
    /// The runs whose response was not used.
    pub(crate) wasted_runs: u64,
    /// The requests that were sent to another zone.
    pub(crate) cross_zone: u64,
    /// The number of refusals by gates in the zone of the request's ingress.
    pub(crate) refused_locally: u64,
    /// The largest number of runs in a window at any backend server with a rate limit.
    pub(crate) limited_peak: u64,
    /// The median latency of the responses, in milliseconds.
    pub(crate) p50_ms: u64,
    /// The 99th percentile of the latency of the responses, in milliseconds.
    pub(crate) p99_ms: u64,
}

impl Results {
    pub(crate) fn answer(&mut self, took_ms: u64, aim_ms: u64, deadline_ms: u64) {
        self.answered += 1;
        self.within_aim += u64::from(took_ms <= aim_ms);
        self.late += u64::from(took_ms > deadline_ms);
    }

    pub(crate) fn refuse(&mut self, took_ms: u64, aim_ms: u64) {
        match took_ms * 100 <= aim_ms * AT_ONCE_PERCENT {
            true => self.refused_at_once += 1,
            false => self.refused_later += 1,
        }
    }

    /// Computes the percentiles of the latencies of all responses.
    pub(crate) fn set_percentiles(&mut self, took_ms: &mut [u64]) {
        took_ms.sort_unstable();
        let of = |part: usize| took_ms.get(took_ms.len() * part / 100).copied();
        self.p50_ms = of(50).unwrap_or(0);
        self.p99_ms = of(99).unwrap_or(0);
    }

    /// Returns the fraction of the requests that were not sent to another zone.
    pub(crate) fn local_share(&self) -> f64 {
        1.0 - self.cross_zone as f64 / self.requests as f64
    }

    /// Returns the fraction of the requests that were answered within the target latency.
    pub(crate) fn aim_share(&self) -> f64 {
        self.within_aim as f64 / self.requests as f64
    }

    /// Returns the fraction of the callers that got a response within the target latency of the
    /// request that was answered.
    pub(crate) fn caller_share(&self) -> f64 {
        self.within_aim as f64 / (self.requests - self.returned) as f64
    }

    /// Returns the fraction of the refused requests that were refused at once.
    pub(crate) fn at_once_share(&self) -> f64 {
        let refused = self.refused_at_once + self.refused_later;
        self.refused_at_once as f64 / refused.max(1) as f64
    }

    /// Returns the fraction of the runs that were wasted.
    pub(crate) fn wasted_share(&self) -> f64 {
        self.wasted_runs as f64 / self.runs.max(1) as f64
    }
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: u64| count as f64 * 100.0 / self.requests as f64;
        write!(
            f,
            "{:6} requests: {:5.1} % within target, {:5.1} % answered, {:5.1} % refused at once, {:4.1} % later, {:4.1} % expired, {:4.1} % of runs wasted, {:4.1} % second runs, {:4.1} % sent back, {:4.1} % to other zones, {:4.1} % refused locally, p50 {} p99 {}",
            self.requests,
            share(self.within_aim),
            share(self.answered),
            share(self.refused_at_once),
            share(self.refused_later),
            share(self.expired),
            self.wasted_share() * 100.0,
            share(self.second_runs),
            share(self.sent_back),
            share(self.cross_zone),
            share(self.refused_locally),
            self.p50_ms,
            self.p99_ms,
        )
    }
}
