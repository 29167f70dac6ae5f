//! Whether a backend server is trusted with a full share of requests.

use crate::clock::Millis;

/// The smallest share of its slots that a ramping backend server gets.
const MIN_SHARE: f64 = 0.5;
/// The good answers in a row that end a suspicion.
const GOOD_ANSWERS: u32 = 2;
/// The time for which a backend server must be slow to become a suspect, in milliseconds.
const SLOW_MS: u64 = 200;
/// The shortest time between two requests to a suspect, in milliseconds.
const PROBE_MS: u64 = 1000;
/// The requests of the ingress between two requests to a suspect.
const PROBE_PICKS: u64 = 2000;
/// The time after which a suspect gets a request however little traffic there is.
const QUIET_MS: u64 = 10_000;

/// How far a backend server is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It gets its full share.
    Healthy,
    /// Its share grows since the given time.
    Ramping(Millis),
    /// It gets only occasional requests.
    Suspect {
        /// When the last one was sent.
        probed: Millis,
        /// The picks of the ingress when the last one was sent.
        picks: u64,
        /// The good answers in a row.
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

    /// Returns the share of its slots that it may be given, from zero to one.
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

    /// Returns for how long it must be slow to become a suspect.
    ///
    /// A pause must not cost a backend server its traffic, and one that starts cold is slow for
    /// a reason.
    pub(crate) fn slow_limit_ms(self, ramp_ms: u64) -> u64 {
        match self {
            Self::Healthy | Self::Suspect { .. } => SLOW_MS,
            Self::Ramping(_) => ramp_ms.max(SLOW_MS),
        }
    }

    /// Returns whether a suspect is due for a request that tries it out.
    pub(crate) fn is_probe_due(self, now: Millis, count: u64) -> bool {
        match self {
            Self::Healthy | Self::Ramping(_) => false,
            Self::Suspect { probed, picks, .. } => {
                let age = now.since(probed);
                let enough = count.saturating_sub(picks) >= PROBE_PICKS;
                age >= QUIET_MS || (age >= PROBE_MS && enough)
            }
        }
    }

    /// Makes it a suspect, or starts the count of good answers anew.
    pub(crate) fn mark_suspect(&mut self, now: Millis, count: u64) {
        match self {
            Self::Healthy | Self::Ramping(_) => {
                *self = Self::Suspect {
                    probed: now,
                    picks: count,
                    good: 0,
                };
            }
            Self::Suspect { good, .. } => *good = 0,
        }
    }

    /// Notes that a suspect was sent a request.
    pub(crate) fn record_probe(&mut self, now: Millis, count: u64) {
        match self {
            Self::Healthy | Self::Ramping(_) => {}
            Self::Suspect { probed, picks, .. } => {
                *probed = now;
                *picks = count;
            }
        }
    }

    /// Counts a good answer of a suspect, and returns whether it is trusted again.
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
