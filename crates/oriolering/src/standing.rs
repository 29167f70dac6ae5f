//! Whether a backend server is trusted with a full share of requests.

use crate::clock::Millis;

/// The smallest share of its slots that a ramping backend server gets.
const MIN_SHARE: f64 = 0.1;

/// How far a backend server is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It gets its full share.
    Fit,
    /// Its share grows since the given time.
    Ramping(Millis),
    /// It gets only occasional requests; the last was sent at the given time.
    Suspect(Millis),
}

impl Standing {
    pub(crate) fn new(now: Millis, fresh: bool) -> Self {
        if fresh { Self::Ramping(now) } else { Self::Fit }
    }

    /// Returns the share of its slots that it may be given, from zero to one.
    pub(crate) fn share(self, now: Millis, ramp: u64) -> f64 {
        match self {
            Self::Fit => 1.0,
            Self::Ramping(since) if ramp > 0 => {
                let done = now.since(since) as f64 / ramp as f64;
                done.clamp(MIN_SHARE, 1.0)
            }
            Self::Ramping(_) => 1.0,
            Self::Suspect(_) => MIN_SHARE,
        }
    }
}
