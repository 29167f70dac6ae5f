//! How many requests a backend server in need still takes.
//!
//! The load that this answers: a backend server names the requests a second that it takes from
//! all nodes together, while several times as many want to reach it. All of them pass the gate
//! beside it, so the gate counts them; shares for each node would have to follow where the
//! requests enter, and would be wrong whenever the views of the fleet differ.

use crate::{Millis, Rate};

/// One request, in the millionths in which an allowance is counted.
const REQUEST: u64 = 1_000_000;
/// For how long an allowance that is not used is kept, in milliseconds, beside one request.
const KEPT_MS: u64 = 250;
/// The lowest rate that is kept, in thousandths of a request a second: the end of a limit shows
/// in answers alone, so one request in ten seconds is always sent.
const RATE_MIN: u32 = 100;
/// The longest time that a request is told to wait, in milliseconds.
const WAIT_MAX_MS: u64 = 3_600_000;

/// The requests that may be sent to one backend server; without a limit it is never used up.
///
/// It is empty when a limit is named, since what was sent just before is still on its way. In
/// any span of time then at most as many requests start as the limits of that time allow, and
/// those of a quarter of a second and one besides.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    rate: Option<Rate>,
    /// What was left when it was counted last, in millionths of a request.
    left: u64,
    counted: Millis,
}

impl RateLimiter {
    /// Takes in the limit that the backend server names now, if any; returns whether it changed.
    pub fn set_limit(&mut self, now: Millis, rate: Option<Rate>) -> bool {
        let rate = rate.map(|r| r.max(Rate::from_thousandths(RATE_MIN)));
        let before = self.rate;
        self.left = match before {
            Some(_) => self.left_at(now).min(most(rate)),
            None => 0,
        };
        self.counted = now;
        self.rate = rate;
        before != rate
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now: Millis) -> bool {
        self.rate.is_none() || self.left_at(now) >= REQUEST
    }

    /// Counts a request that is sent now, and returns whether that is allowed.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let open = self.is_open(now);
        if open && self.rate.is_some() {
            self.left = self.left_at(now) - REQUEST;
            self.counted = now;
        }
        open
    }

    /// Counts a probe that is sent now, and returns whether that is allowed: only what no request
    /// is likely to miss goes to probes.
    pub fn try_take_spare(&mut self, now: Millis) -> bool {
        let spare = self.left_at(now) * 2 >= most(self.rate);
        spare && self.try_take(now)
    }

    /// Returns how long a request waits for its turn behind `ahead` others, in milliseconds.
    pub fn wait_ms(&self, now: Millis, ahead: usize) -> u64 {
        let Some(rate) = self.rate else {
            return 0;
        };
        let wanted = (ahead as u64 + 1) * REQUEST;
        let lacking = wanted.saturating_sub(self.left_at(now));
        let wait = lacking.div_ceil(u64::from(rate.thousandths()));
        wait.min(WAIT_MAX_MS)
    }

    /// Returns the time from one request to the next, in microseconds; zero without a limit.
    pub fn gap_us(&self) -> u32 {
        let gap = |rate: Rate| 1_000_000_000 / rate.thousandths();
        self.rate.map_or(0, |rate| gap(rate).max(1))
    }

    fn left_at(&self, now: Millis) -> u64 {
        // A thousandth of a request a second is a millionth of one in a millisecond.
        let per_ms = self.rate.map_or(0, |rate| u64::from(rate.thousandths()));
        let earned = now.since(self.counted).saturating_mul(per_ms);
        self.left.saturating_add(earned).min(most(self.rate))
    }
}

/// Returns the largest allowance at a rate, in millionths of a request.
fn most(rate: Option<Rate>) -> u64 {
    rate.map_or(0, |rate| REQUEST + u64::from(rate.thousandths()) * KEPT_MS)
}
