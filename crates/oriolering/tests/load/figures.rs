//! What callers got.

use std::fmt;

/// The part of the aim within which a refusal counts as at once, in percent.
const AT_ONCE_PERCENT: u64 = 13;

/// What callers got in one play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Figures {
    pub(crate) requests: u64,
    pub(crate) within_aim: u64,
    pub(crate) answered: u64,
    pub(crate) refused_at_once: u64,
    pub(crate) refused_later: u64,
    /// The requests whose caller waited in vain.
    pub(crate) expired: u64,
    /// The answers that came after their deadline.
    pub(crate) late: u64,
    /// The requests that were sent to a second gate while the first one had them.
    pub(crate) second_runs: u64,
    /// The requests that waited and were sent back.
    pub(crate) sent_back: u64,
    /// The runs that began.
    pub(crate) runs: u64,
    /// The runs whose answer did not come in time.
    pub(crate) runs_in_vain: u64,
    /// The requests that were sent to another zone.
    pub(crate) crossed: u64,
    /// How often a gate refused a request of its own zone.
    pub(crate) refused_near: u64,
    /// The most runs in a span at any backend server that names a limit.
    pub(crate) limited_most: u64,
    /// Within which time half of the answers came, in milliseconds.
    pub(crate) p50_ms: u64,
    /// Within which time 99 of 100 answers came, in milliseconds.
    pub(crate) p99_ms: u64,
}

impl Figures {
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

    /// Takes in how long all answers took.
    pub(crate) fn rank(&mut self, took_ms: &mut [u64]) {
        took_ms.sort_unstable();
        let of = |part: usize| took_ms.get(took_ms.len() * part / 100).copied();
        self.p50_ms = of(50).unwrap_or(0);
        self.p99_ms = of(99).unwrap_or(0);
    }

    /// Returns the share of the requests that were not sent to another zone.
    pub(crate) fn stay_share(&self) -> f64 {
        1.0 - self.crossed as f64 / self.requests as f64
    }

    /// Returns the share of the requests that were answered within their aim.
    pub(crate) fn aim_share(&self) -> f64 {
        self.within_aim as f64 / self.requests as f64
    }

    /// Returns the share of the refused requests that were refused at once.
    pub(crate) fn at_once_share(&self) -> f64 {
        let refused = self.refused_at_once + self.refused_later;
        self.refused_at_once as f64 / refused.max(1) as f64
    }

    /// Returns the share of the runs that were in vain.
    pub(crate) fn vain_share(&self) -> f64 {
        self.runs_in_vain as f64 / self.runs.max(1) as f64
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: u64| count as f64 * 100.0 / self.requests as f64;
        write!(
            f,
            "{:6} requests: {:5.1} % within aim, {:5.1} % answered, {:5.1} % refused at once, {:4.1} % later, {:4.1} % expired, {:4.1} % of runs in vain, {:4.1} % second runs, {:4.1} % sent back, {:4.1} % crossed, {:4.1} % refused near, p50 {} p99 {}",
            self.requests,
            share(self.within_aim),
            share(self.answered),
            share(self.refused_at_once),
            share(self.refused_later),
            share(self.expired),
            self.vain_share() * 100.0,
            share(self.second_runs),
            share(self.sent_back),
            share(self.crossed),
            share(self.refused_near),
            self.p50_ms,
            self.p99_ms,
        )
    }
}
