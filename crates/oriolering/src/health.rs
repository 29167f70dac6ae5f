//! The health of a backend server at one ingress, which determines its share of requests.

use crate::clock::Millis;

/// The share of its slots that a suspect gets, and at which a ramping backend server starts.
const MIN_SHARE: f64 = 0.5;
/// The number of consecutive good responses after which a suspect recovers.
const GOOD_ANSWERS: u32 = 2;
/// How long a backend server must be slow to become a suspect, in milliseconds.
const SLOW_MS: u64 = 200;
/// The shortest time between two probes of a suspect, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1000;
/// The number of picks of the ingress between two probes of a suspect.
const PROBE_INTERVAL_PICKS: u64 = 2000;
/// The time after which a suspect is probed regardless of the number of picks, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 10_000;

/// The health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It gets its full share of requests.
    Healthy,
    /// Its share has been growing since the given time.
    Ramping(Millis),
    /// It was slow or failed, and gets only occasional requests as probes.
    Suspect {
        /// The time of the last probe.
        probed: Millis,
        /// The number of picks of the ingress at the last probe.
        picks: u64,
        /// The number of consecutive good responses.
        good: u32,
    },
}

impl Health {
    pub(crate) fn new(now: Millis, new_incarnation: bool) -> Self {
        if new_incarnation {
            Self::Ramping(now)
        } else {
            Self::Healthy
        }
    }

    pub(crate) fn is_suspect(self) -> bool {
        matches!(self, Self::Suspect { .. })
    }

    /// Returns the share of its slots that may be used, from zero to one.
    pub(crate) fn share(self, now: Millis, ramp_ms: u64) -> f64 {
        match self {
            Self::Healthy => 1.0,
            Self::Ramping(since) if ramp_ms > 0 => {
                let done = now.since(since) as f64 / ramp_ms as f64;
                done.clamp(MIN_SHARE, 1.0)
            }
            Self::Ramping(_) => 1.0,
            Self::Suspect { .. } => MIN_SHARE,
        }
    }

    /// Returns how long it must be slow to become a suspect, in milliseconds.
    ///
    /// A short pause must not make a backend server a suspect, and one that has just started is
    /// expected to be slow.
    pub(crate) fn slow_limit_ms(self, ramp_ms: u64) -> u64 {
        match self {
            Self::Healthy | Self::Suspect { .. } => SLOW_MS,
            Self::Ramping(_) => ramp_ms.max(SLOW_MS),
        }
    }

    /// Returns whether it is a suspect that is due for a probe.
    pub(crate) fn is_probe_due(self, now: Millis, picks_now: u64) -> bool {
        match self {
            Self::Healthy | Self::Ramping(_) => false,
            Self::Suspect { probed, picks, .. } => {
                let age = now.since(probed);
                let enough = picks_now.saturating_sub(picks) >= PROBE_INTERVAL_PICKS;
                age >= MAX_PROBE_INTERVAL_MS || (age >= PROBE_INTERVAL_MS && enough)
            }
        }
    }

    /// Makes it a suspect, or resets the number of good responses if it is one.
    pub(crate) fn mark_suspect(&mut self, now: Millis, picks_now: u64) {
        match self {
            Self::Healthy | Self::Ramping(_) => {
                *self = Self::Suspect {
                    probed: now,
                    picks: picks_now,
                    good: 0,
                };
            }
            Self::Suspect { good, .. } => *good = 0,
        }
    }

    /// Records a request to a suspect as a probe.
    pub(crate) fn record_probe(&mut self, now: Millis, picks_now: u64) {
        match self {
            Self::Healthy | Self::Ramping(_) => {}
            Self::Suspect { probed, picks, .. } => {
                *probed = now;
                *picks = picks_now;
            }
        }
    }

    /// Counts a good response of a suspect, and returns whether it has recovered.
    pub(crate) fn record_good_answer(&mut self, now: Millis) -> bool {
        match self {
            Self::Healthy | Self::Ramping(_) => false,
            Self::Suspect { good, .. } => {
                *good += 1;
                if *good < GOOD_ANSWERS {
                    return false;
                }
                *self = Self::Ramping(now);
                true
            }
        }
    }
}
