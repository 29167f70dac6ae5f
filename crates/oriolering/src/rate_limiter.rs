//! A rate limiter for the requests to one backend server.
//!
//! An overloaded backend server publishes how many requests per second it accepts from all nodes
//! together, while the demand may be several times as high. Every request passes the gate of that
//! server, so the gate enforces the limit. Shares per node would have to follow where requests
//! enter, and would be wrong whenever nodes see different fleets.

use crate::{LimitStart, Millis, Rate};

/// The tokens that one request costs; a token is a millionth of a request.
const REQUEST_TOKENS: u64 = 1_000_000;
/// The burst size: unused tokens are kept for this time, in milliseconds, plus one request.
const BURST_MS: u64 = 250;
/// The lowest rate, in thousandths of a request per second.
///
/// Only a response tells that a limit has ended, so one request in ten seconds is always sent.
const MIN_RATE: u32 = 100;
/// The longest wait that is reported for a request, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// A token bucket for the requests to one backend server; it allows everything without a limit.
///
/// The bucket is empty when a limit is first set, since requests sent just before are still in
/// flight. In any interval the requests that start are at most those that the limits of that
/// interval allow, plus a quarter of a second's worth and one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    rate: Option<Rate>,
    /// The tokens at the last update.
    tokens: u64,
    /// When the tokens were last updated, or when they begin to be earned.
    updated: Millis,
}

impl RateLimiter {
    /// Sets the limit that the backend server publishes, if any, and returns whether it changed.
    pub fn set_limit(&mut self, now: Millis, rate: Option<Rate>) -> bool {
        let rate = rate.map(|r| r.max(Rate::from_thousandths(MIN_RATE)));
        let before = self.rate;
        if before == rate {
            return false;
        }
        (self.tokens, self.updated) = match before {
            Some(_) => (
                self.tokens_at(now).min(capacity(rate)),
                self.updated.max(now),
            ),
            None => (0, now),
        };
        self.rate = rate;
        true
    }

    /// Sets how the limit starts that has just been set, where what was sent before is known.
    pub fn set_start(&mut self, start: LimitStart) {
        let tokens = start.requests.saturating_mul(REQUEST_TOKENS);
        self.tokens = tokens.min(capacity(self.rate));
        self.updated = start.resume;
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now: Millis) -> bool {
        self.rate.is_none() || self.tokens_at(now) >= REQUEST_TOKENS
    }

    /// Takes the tokens for a request that is sent now, and returns whether there were enough.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let open = self.is_open(now);
        if open && self.rate.is_some() {
            self.tokens = self.tokens_at(now) - REQUEST_TOKENS;
            self.updated = now;
        }
        open
    }

    /// Takes the tokens for a probe that is sent now, and returns whether that is allowed.
    ///
    /// A probe needs a bucket that is at least half full, so that requests are unlikely to be
    /// delayed by it.
    pub fn try_take_spare(&mut self, now: Millis) -> bool {
        let spare = self.tokens_at(now) * 2 >= capacity(self.rate);
        spare && self.try_take(now)
    }

    /// Returns how long a request waits behind `ahead` others, in milliseconds.
    pub fn wait_ms(&self, now: Millis, ahead: usize) -> u64 {
        let Some(rate) = self.rate else {
            return 0;
        };
        let wanted = (ahead as u64 + 1) * REQUEST_TOKENS;
        let lacking = wanted.saturating_sub(self.tokens_at(now));
        let wait = lacking.div_ceil(u64::from(rate.thousandths()));
        let paused = match lacking {
            0 => 0,
            _ => self.updated.since(now),
        };
        (paused + wait).min(MAX_WAIT_MS)
    }

    /// Returns the interval between requests at the limit, in microseconds; zero without a limit.
    pub fn gap_us(&self) -> u32 {
        let gap = |rate: Rate| 1_000_000_000 / rate.thousandths();
        self.rate.map_or(0, |rate| gap(rate).max(1))
    }

    fn tokens_at(&self, now: Millis) -> u64 {
        // A thousandth of a request per second is one token per millisecond.
        let per_ms = self.rate.map_or(0, |rate| u64::from(rate.thousandths()));
        let earned = now.since(self.updated).saturating_mul(per_ms);
        self.tokens.saturating_add(earned).min(capacity(self.rate))
    }
}

/// Returns the capacity of the bucket at a rate, in tokens.
fn capacity(rate: Option<Rate>) -> u64 {
    rate.map_or(0, |rate| {
        REQUEST_TOKENS + u64::from(rate.thousandths()) * BURST_MS
    })
}
