//! Hedging of idempotent requests: when a second attempt may start.

use crate::clock::Millis;
use crate::retry::RetryBudget;

/// The number of histogram buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// The number of histogram buckets; the last one holds all higher latencies.
const BUCKETS: usize = 96;
/// The total count at which all counts are halved, so that older responses lose weight.
const DECAY_ANSWERS: u32 = 2000;
/// The number of responses needed before a second attempt may start.
const MIN_ANSWERS: u32 = 50;

/// Decides when a second attempt may start, from a histogram of latencies.
#[derive(Clone, Debug)]
pub struct Hedge {
    percent: u32,
    after_ms: u64,
    counts: [u32; BUCKETS],
    total: u32,
}

impl Hedge {
    /// Returns a hedge for the slowest `percent` of requests, which starts a second attempt after
    /// at least `after_ms` milliseconds.
    ///
    /// Hedging is disabled if either number is zero.
    pub fn new(percent: u32, after_ms: u64) -> Self {
        Self {
            percent,
            after_ms,
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Records the latency of a response.
    pub fn observe(&mut self, latency_us: u64) {
        self.counts[bucket_of(latency_us)] += 1;
        self.total += 1;
        if self.total >= DECAY_ANSWERS {
            self.decay();
        }
    }

    /// Returns the time after which a second attempt may start, in milliseconds.
    ///
    /// Returns `None` if hedging is disabled or there are too few responses.
    pub fn delay_ms(&self) -> Option<u64> {
        if self.percent == 0 || self.after_ms == 0 || self.total < MIN_ANSWERS {
            return None;
        }
        let slow = u64::from(self.total) * u64::from(self.percent.min(100)) / 100;
        let mut above = 0;
        for i in (0..BUCKETS).rev() {
            above += u64::from(self.counts[i]);
            if above > slow {
                return Some(self.after_ms.max(upper_edge(i).div_ceil(1000)));
            }
        }
        None
    }

    /// Returns whether a second attempt may start now, and takes it from `budget` if so.
    pub fn try_start(&self, idempotent: bool, budget: &mut RetryBudget, now: Millis) -> bool {
        idempotent && self.delay_ms().is_some() && budget.try_spend(now)
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Returns the index of the bucket of a latency; bucket widths grow exponentially.
fn bucket_of(latency_us: u64) -> usize {
    let doublings = (latency_us.max(1) as f64).log2();
    ((doublings * f64::from(BUCKETS_PER_DOUBLING)) as usize).min(BUCKETS - 1)
}

/// Returns the upper bound of a bucket in microseconds.
fn upper_edge(bucket: usize) -> u64 {
    ((bucket + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING)).exp2() as u64
}
