//! When a second attempt of an idempotent request may start.

use crate::clock::Millis;
use crate::retry::RetryBudget;

/// The buckets for each doubling of the latency.
const STEPS: u32 = 4;
/// The number of buckets; the last one holds everything above.
const BUCKETS: usize = 96;
/// The answers after which older ones lose half of their weight.
const HALF_LIFE: u32 = 2000;
/// The answers needed before a hedge may start.
const MIN_ANSWERS: u32 = 50;

/// Decides when a second attempt may start, from the latencies seen.
#[derive(Clone, Debug)]
pub struct Hedge {
    percent: u32,
    after: u64,
    counts: [u32; BUCKETS],
    total: u32,
}

impl Hedge {
    /// Returns a hedge for the slowest `percent` of requests, not before `after` milliseconds.
    ///
    /// Hedging is off when either number is zero.
    pub fn new(percent: u32, after: u64) -> Self {
        Self {
            percent,
            after,
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Takes the latency of an answer.
    pub fn observe(&mut self, latency_us: u64) {
        self.counts[bucket_of(latency_us)] += 1;
        self.total += 1;
        if self.total >= HALF_LIFE {
            self.halve();
        }
    }

    /// Returns the milliseconds after which a second attempt may start, or `None` for never.
    pub fn delay_ms(&self) -> Option<u64> {
        if self.percent == 0 || self.after == 0 || self.total < MIN_ANSWERS {
            return None;
        }
        let slow = u64::from(self.total) * u64::from(self.percent.min(100)) / 100;
        let mut above = 0;
        for i in (0..BUCKETS).rev() {
            above += u64::from(self.counts[i]);
            if above > slow {
                return Some(self.after.max(upper_edge(i).div_ceil(1000)));
            }
        }
        None
    }

    /// Returns whether a second attempt may start now, and spends it from `budget` if so.
    pub fn try_start(&self, idempotent: bool, budget: &mut RetryBudget, now: Millis) -> bool {
        idempotent && self.delay_ms().is_some() && budget.try_spend(now)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Returns the bucket of a latency on a logarithmic scale.
fn bucket_of(latency_us: u64) -> usize {
    let doublings = (latency_us.max(1) as f64).log2();
    ((doublings * f64::from(STEPS)) as usize).min(BUCKETS - 1)
}

/// Returns the upper edge of a bucket in microseconds.
fn upper_edge(bucket: usize) -> u64 {
    ((bucket + 1) as f64 / f64::from(STEPS)).exp2() as u64
}
