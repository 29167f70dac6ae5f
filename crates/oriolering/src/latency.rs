//! The service time of a backend server, estimated from recent calls.

/// The number of service times that an estimate is made from.
const SAMPLES: usize = 64;
/// The number of new service times after which the median is computed again.
const REFRESH: usize = 8;

/// The service times of the most recent successful calls, in microseconds.
#[derive(Debug)]
pub struct Latency {
    samples: Vec<u32>,
    next: usize,
    sum: u64,
    median: u32,
}

impl Latency {
    /// Returns an estimate without any service time.
    pub fn new() -> Self {
        Self {
            samples: Vec::with_capacity(SAMPLES),
            next: 0,
            sum: 0,
            median: 0,
        }
    }

    /// Adds the service time of a successful call.
    pub fn record(&mut self, us: u32) {
        self.sum += u64::from(us);
        if self.samples.len() < SAMPLES {
            self.samples.push(us);
        } else {
            self.sum -= u64::from(self.samples[self.next]);
            self.samples[self.next] = us;
        }
        self.next = (self.next + 1) % SAMPLES;
        if self.samples.len() < REFRESH || self.next.is_multiple_of(REFRESH) {
            self.median = upper_median(&self.samples).unwrap_or(0);
        }
    }

    /// Returns the median in microseconds, or zero without any service time.
    pub fn median(&self) -> u32 {
        self.median
    }

    /// Returns the mean in microseconds, or zero without any service time.
    pub fn mean(&self) -> u32 {
        let count = self.samples.len().max(1) as u64;
        (self.sum / count) as u32
    }

    /// Returns the median in milliseconds, rounded down.
    pub fn service_ms(&self) -> u64 {
        u64::from(self.median) / 1_000
    }

    /// Returns the time in which `slots` slots finish `count` calls, in milliseconds.
    pub fn drain_ms(&self, count: usize, slots: u32) -> u64 {
        let work = count as u64 * u64::from(self.mean());
        work.div_ceil(u64::from(slots.max(1)) * 1_000)
    }
}

impl Default for Latency {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the upper median of `samples`.
pub(crate) fn upper_median(samples: &[u32]) -> Option<u32> {
    let mut sorted = samples.to_vec();
    let middle = sorted.len() / 2;
    if sorted.is_empty() {
        return None;
    }
    Some(*sorted.select_nth_unstable(middle).1)
}

/// Returns the value that the true median is not below, but for one case in about forty.
///
/// The rank of the median in a sample deviates by half the square root of its size.
pub(crate) fn median_lower_bound(samples: &[u32]) -> u32 {
    let middle = samples.len() / 2;
    let rank = middle.saturating_sub(samples.len().isqrt());
    let mut sorted = samples.to_vec();
    if sorted.is_empty() {
        return 0;
    }
    *sorted.select_nth_unstable(rank).1
}
