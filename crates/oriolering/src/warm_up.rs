//! The slow start of a backend server, during which it accepts only a low rate of requests.
//!
//! A backend server is cold after it starts, and may become cold again at any moment. It crashes if
//! requests arrive much faster than its service allows for a cold one. All requests pass its gate,
//! so the gate limits the rate. [`WarmUp`] decides when, from what the backend server says in health
//! checks and in its entry in the server list.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Millis, Rate};

/// The age from which a health check says nothing about the present, in milliseconds: several times
/// the interval of the checks, which may be lost or late.
const CHECK_MAX_AGE_MS: u64 = 1_000;
/// The interval over which sent requests count towards the rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// The slow start of the backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long a backend server is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// The rate of requests that a cold backend server accepts from all nodes together.
    pub rate: Rate,
}

/// How a rate limit starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStart {
    /// How many requests may be sent at once.
    pub requests: u64,
    /// When further ones may be sent at the rate.
    pub resume: Millis,
}

/// What is known of the warm-up of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is cold until then, by what it said or because its start was not seen.
    Cold { until: Millis },
    /// It was warm at the last health check.
    Warm,
}

/// Decides whether a backend server is limited because it is cold, or may be.
///
/// Without a [`SlowStart`] it never is.
#[derive(Clone, Debug)]
pub struct WarmUp {
    slow_start: Option<SlowStart>,
    state: State,
    /// When the last answered health check was sent.
    checked: Option<Millis>,
    /// When something last said that the backend server is cold.
    cold_since: Millis,
    /// When requests were sent during the last [`RATE_WINDOW_MS`].
    sent: VecDeque<Millis>,
    /// When this state was created; earlier requests are not in `sent`.
    created: Millis,
}

impl WarmUp {
    /// Returns the state of a backend server of which nothing is known: it counts as cold.
    pub fn new(now: Millis) -> Self {
        Self {
            slow_start: None,
            state: State::Cold { until: now },
            checked: None,
            cold_since: now,
            sent: VecDeque::new(),
            created: now,
        }
    }

    /// Sets the slow start of the service; a backend server of which nothing is known is cold from
    /// now on for the whole of it.
    pub fn configure(&mut self, now: Millis, slow_start: Option<SlowStart>) {
        let before = std::mem::replace(&mut self.slow_start, slow_start);
        if before.is_none() && slow_start.is_some() && self.checked.is_none() {
            self.forget(now);
        }
    }

    /// Returns whether the service has a slow start, so that health checks are needed.
    pub fn is_configured(&self) -> bool {
        self.slow_start.is_some()
    }

    /// Counts the backend server as cold for a whole slow start, since another run of it may have
    /// begun. The requests already sent still count towards the rate.
    pub fn forget(&mut self, now: Millis) {
        let duration_ms = self.slow_start.map_or(0, |start| start.duration_ms);
        self.state = State::Cold {
            until: now + duration_ms,
        };
        self.checked = None;
        self.cold_since = now;
    }

    /// Discards the last health check, so that a busy backend server is limited until the next one.
    pub fn require_check(&mut self) {
        self.checked = None;
    }

    /// Records that the backend server says that it stays cold for `remaining_ms` milliseconds.
    ///
    /// `asked` is when the question was sent. Zero ends the limit only if nothing has said since
    /// then that it is cold, as the answer may be late.
    pub fn record_check(&mut self, now: Millis, asked: Millis, remaining_ms: u64) {
        if remaining_ms > 0 {
            self.set_cold(now, now + remaining_ms);
        } else if asked >= self.cold_since {
            self.state = State::Warm;
        }
        self.checked = Some(asked);
    }

    /// Records that an entry of the server list, which may be old, says that the backend server
    /// stays cold for `remaining_ms` milliseconds. It never ends the limit.
    pub fn record_entry(&mut self, now: Millis, remaining_ms: u64) {
        if remaining_ms > 0 {
            let until = now + remaining_ms;
            let known = match self.state {
                State::Cold { until } => until,
                State::Warm => now,
            };
            self.set_cold(now, known.max(until));
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Millis) {
        if self.slow_start.is_none() {
            return;
        }
        self.discard_sent(now);
        self.sent.push_back(now);
    }

    /// Returns the rate to which requests are limited now, if they are.
    ///
    /// Without a recent health check it may have become cold. That matters only if it gets a
    /// considerable part of the rate, and is ignored without `has_checks`, that is a health path.
    pub fn limit(&self, now: Millis, has_checks: bool) -> Option<Rate> {
        let start = self.slow_start?;
        let is_recent = |at| now.since(at) < CHECK_MAX_AGE_MS;
        let unchecked =
            has_checks && !self.checked.is_some_and(is_recent) && self.is_busy(now, start.rate);
        (self.is_cold(now) || unchecked).then_some(start.rate)
    }

    /// Returns whether the backend server counts as cold; a missing health check alone does not make
    /// it so.
    pub fn is_cold(&self, now: Millis) -> bool {
        match self.state {
            State::Cold { until } => now < until,
            State::Warm => false,
        }
    }

    /// Returns how a limit that begins now starts, given the requests of the last second.
    ///
    /// What another process sent before this state was created is not known, so nothing may be sent
    /// at once then.
    pub fn limit_start(&mut self, now: Millis, rate: Rate) -> LimitStart {
        self.discard_sent(now);
        let per_s = (rate.thousandths() / 1_000) as usize;
        let unknown = now.since(self.created) < RATE_WINDOW_MS;
        let excess = self.sent.len().saturating_sub(per_s);
        let last_excess = excess.checked_sub(1).and_then(|index| self.sent.get(index));
        LimitStart {
            requests: match unknown {
                true => 0,
                false => per_s.saturating_sub(self.sent.len()) as u64,
            },
            resume: last_excess.map_or(now, |at| *at + RATE_WINDOW_MS),
        }
    }

    /// Returns whether at least half of what a cold backend server accepts was sent in the last
    /// second.
    fn is_busy(&self, now: Millis, rate: Rate) -> bool {
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) < RATE_WINDOW_MS);
        recent.count() as u64 * 2_000 >= u64::from(rate.thousandths())
    }

    fn set_cold(&mut self, now: Millis, until: Millis) {
        self.state = State::Cold { until };
        self.cold_since = now;
    }

    fn discard_sent(&mut self, now: Millis) {
        while self
            .sent
            .front()
            .is_some_and(|at| now.since(*at) >= RATE_WINDOW_MS)
        {
            self.sent.pop_front();
        }
    }
}
