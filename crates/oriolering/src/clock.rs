//! Time in milliseconds.

use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the start of the process's [`Clock`].
///
/// Timestamps of different processes are never compared; messages carry the remaining time
/// instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    fn add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

/// A source of [`Millis`]: the system's monotonic clock, or a manual clock for tests.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    System(Instant),
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Returns a clock that measures the time from now on with the system's monotonic clock.
    pub fn system() -> Self {
        Self {
            source: Source::System(Instant::now()),
        }
    }

    /// Returns a clock that stays at `start` until it is advanced.
    pub fn manual(start: Millis) -> Self {
        Self {
            source: Source::Manual(Arc::new(AtomicU64::new(start.0))),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        match &self.source {
            Source::System(start) => Millis(start.elapsed().as_millis() as u64),
            Source::Manual(ms) => Millis(ms.load(Ordering::Relaxed)),
        }
    }

    /// Advances a manual clock by `ms`; has no effect on a system clock.
    pub fn advance(&self, ms: u64) {
        match &self.source {
            Source::System(_) => {}
            Source::Manual(now) => {
                now.fetch_add(ms, Ordering::Relaxed);
            }
        }
    }
}
