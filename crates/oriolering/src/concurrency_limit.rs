//! The concurrency limit of a backend server, adapted to the slots that it really has.

use crate::Millis;
use crate::latency::{median_lower_bound, upper_median};

/// The fewest service times that a limit is judged by; the median of as many that are exponential
/// has a standard error of 18%.
const WINDOW_MIN: usize = 64;
/// The most service times that a limit is judged by.
const WINDOW_MAX: usize = 256;
/// The service times in a window for each call that the limit allows; at a dozen slots the standard
/// error of the median is 10%.
const WINDOW_CALLS: usize = 16;
/// The inflation of the service time, in percent, from which two windows lower the limit.
const INFLATED_PERCENT: u64 = 125;
/// The inflation of the service time, in percent, from which one window lowers the limit.
const CONGESTED_PERCENT: u64 = 180;
/// The most windows that pass before a limit that met a shed call is tried again.
const BACKOFF_MAX: u32 = 64;
/// The fewest windows with the limit used up after which the baseline is checked.
const CHECK_MIN: u32 = 16;
/// The most windows with the limit used up after which the baseline is checked.
const CHECK_MAX: u32 = 128;

/// A start of the backend server, after which the limit rises over a while.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    start: Millis,
    length: u64,
}

/// The state before the last decrease of the limit.
#[derive(Clone, Copy, Debug)]
struct Decrease {
    median: u32,
    limit: u32,
    check: bool,
}

/// A limit on the calls that run at once, between a floor and a ceiling.
///
/// The limit is judged by windows of service times of calls that started under it. A median that
/// is above the baseline beyond chance shows that calls wait inside the backend server: the limit
/// falls to the share that was really served. A decrease that does not shorten the service
/// time shows that the backend server itself became slower: the baseline follows, and the
/// limit is restored. A window in which the limit was used up without inflation raises it by
/// one. A limit that stays used up is halved for one window now and then, to learn whether
/// the baseline itself was taken while calls waited; a window in which half of the limit was free
/// shows that without a halving.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    value: u32,
    min: u32,
    max: u32,
    epoch: u32,
    ramp: Ramp,
    samples: Vec<u32>,
    failures: usize,
    full: bool,
    spare: bool,
    inflated: bool,
    baseline: u32,
    decrease: Option<Decrease>,
    unchecked: u32,
    check_after: u32,
    shed_at: u32,
    backoff: u32,
    waited: u32,
}

impl ConcurrencyLimit {
    /// Returns a limit that rises from `min` to `initial` within `ramp` milliseconds.
    ///
    /// The floor is raised to one when it is zero.
    pub fn new(initial: u32, min: u32, max: u32, now: Millis, ramp: u64) -> Self {
        let min = min.max(1);
        let max = max.max(min);
        Self {
            value: initial.clamp(min, max),
            min,
            max,
            epoch: 0,
            ramp: Ramp {
                start: now,
                length: ramp,
            },
            samples: Vec::new(),
            failures: 0,
            full: false,
            spare: false,
            inflated: false,
            baseline: 0,
            decrease: None,
            unchecked: 0,
            check_after: 0,
            shed_at: u32::MAX,
            backoff: 1,
            waited: 0,
        }
    }

    /// Changes the bounds.
    pub fn resize(&mut self, min: u32, max: u32) {
        self.min = min.max(1);
        self.max = max.max(self.min);
        let value = self.value.clamp(self.min, self.max);
        if value != self.value {
            self.change(value);
        }
    }

    /// Changes the length of the ramp while it lasts; one that has ended does not begin again.
    pub fn set_ramp(&mut self, now: Millis, length: u64) {
        if self.is_ramping(now) {
            self.ramp.length = length;
        }
    }

    /// Lets the limit rise again from the floor, since the backend server started anew.
    pub fn restart(&mut self, now: Millis, ramp: u64) {
        self.ramp = Ramp {
            start: now,
            length: ramp,
        };
        self.change(self.value);
    }

    /// Returns the limit in force.
    pub fn value(&self, now: Millis) -> u32 {
        let elapsed = now.since(self.ramp.start);
        if elapsed >= self.ramp.length {
            return self.value;
        }
        let rise = u64::from(self.value - self.min) * elapsed / self.ramp.length;
        self.min + rise as u32
    }

    /// Returns whether the limit still rises after a start of the backend server.
    pub fn is_ramping(&self, now: Millis) -> bool {
        now.since(self.ramp.start) < self.ramp.length
    }

    /// Returns when the limit rises next after a start of the backend server.
    pub fn next_rise(&self, now: Millis) -> Option<Millis> {
        let rise = u64::from(self.value - self.min);
        if rise == 0 || !self.is_ramping(now) {
            return None;
        }
        let next = u64::from(self.value(now) - self.min) + 1;
        Some(self.ramp.start + (next * self.ramp.length).div_ceil(rise))
    }

    /// Returns the number of the window, which is passed back when a call ends.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the service time without congestion in microseconds, or zero when unknown.
    pub fn baseline(&self) -> u32 {
        self.baseline
    }

    /// Records that a call started, and that `running` calls run now.
    pub fn record_start(&mut self, now: Millis, running: u32) {
        let value = self.value(now);
        self.full |= running >= value;
        self.spare |= running <= value / 2;
    }

    /// Records the service time of a successful call that started in `epoch`.
    pub fn record_success(&mut self, now: Millis, epoch: u32, us: u32) {
        if epoch != self.epoch || self.is_ramping(now) {
            return;
        }
        self.samples.push(us.max(1));
        let window = (WINDOW_CALLS * self.value as usize).clamp(WINDOW_MIN, WINDOW_MAX);
        if self.samples.len() < window {
            return;
        }
        if let Some(median) = upper_median(&self.samples) {
            self.judge(median);
        }
        self.clear();
    }

    /// Records a failed call, which is no evidence of free slots.
    pub fn record_failure(&mut self, epoch: u32) {
        if epoch == self.epoch {
            self.failures += 1;
        }
    }

    /// Records that the backend server shed a call that started in `epoch`.
    ///
    /// The limit falls once for all calls of an epoch.
    pub fn record_shed(&mut self, epoch: u32) {
        if epoch != self.epoch {
            return;
        }
        self.shed_at = self.value;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        self.waited = 0;
        self.decrease = None;
        let step = (self.value / 10).max(1);
        self.change(self.value - step);
    }

    fn judge(&mut self, median: u32) {
        if self.baseline == 0 {
            self.baseline = median;
        }
        if let Some(before) = self.decrease.take() {
            return self.conclude(before, median);
        }
        let percent = u64::from(median_lower_bound(&self.samples)) * 100 / u64::from(self.baseline);
        let inflated = percent >= INFLATED_PERCENT;
        let congested = percent >= CONGESTED_PERCENT || (inflated && self.inflated);
        self.inflated = inflated;
        if congested {
            let served = u64::from(self.value) * u64::from(self.baseline) / u64::from(median);
            return self.fall(median, served as u32, false);
        }
        if inflated {
            return;
        }
        self.follow(median);
        if self.spare {
            // With half of the limit free no call waited, so the baseline needs no check.
            self.unchecked = 0;
            self.check_after = self.check_after.max(CHECK_MIN);
        }
        if self.full {
            self.check_or_grow(median);
        }
    }

    /// Compares the service time with the one before the last decrease of the limit.
    fn conclude(&mut self, before: Decrease, median: u32) {
        let full = u64::from(before.median);
        let expected = full * u64::from(self.value) / u64::from(before.limit);
        if u64::from(median) > full.midpoint(expected) {
            self.baseline = median;
            self.check_after = (self.check_after * 2).clamp(CHECK_MIN, CHECK_MAX);
            return self.change(before.limit);
        }
        self.check_after = CHECK_MIN;
        if before.check {
            self.baseline = self.baseline.min(median);
            self.fall(median, self.value / 2, true);
        }
    }

    /// Lowers the limit to about `value`, at most by half.
    fn fall(&mut self, median: u32, value: u32, check: bool) {
        self.unchecked = 0;
        if self.value == self.min {
            self.baseline = median;
            self.inflated = false;
            return;
        }
        self.decrease = Some(Decrease {
            median,
            limit: self.value,
            check,
        });
        self.change(value.clamp(self.value / 2, self.value - 1));
    }

    fn check_or_grow(&mut self, median: u32) {
        self.unchecked += 1;
        if self.unchecked > self.check_after && self.shed_at == u32::MAX {
            return self.fall(median, self.value / 2, true);
        }
        if self.failures * 10 <= self.samples.len() {
            self.grow();
        }
    }

    /// Moves the baseline toward the median; upward only while slots are free.
    fn follow(&mut self, median: u32) {
        let gap = i64::from(median) - i64::from(self.baseline);
        let step = match (self.full && !self.spare, gap < 0) {
            (false, _) => gap / 4,
            (true, true) => gap / 16,
            (true, false) => 0,
        };
        self.baseline = (i64::from(self.baseline) + step).max(1) as u32;
    }

    /// Raises the limit by one, and waits for a while before one that met a shed call.
    fn grow(&mut self) {
        if self.value >= self.shed_at {
            self.shed_at = u32::MAX;
            self.backoff = 1;
        }
        if self.value.saturating_add(1) == self.shed_at && self.waited < self.backoff {
            self.waited += 1;
            return;
        }
        self.waited = 0;
        if self.value < self.max {
            self.change(self.value + 1);
        }
    }

    /// Sets the limit and starts a new window.
    fn change(&mut self, value: u32) {
        self.value = value.clamp(self.min, self.max);
        self.epoch = self.epoch.wrapping_add(1);
        self.inflated = false;
        self.clear();
    }

    /// Starts a new window.
    fn clear(&mut self) {
        self.samples.clear();
        self.failures = 0;
        self.full = false;
        self.spare = false;
    }
}
