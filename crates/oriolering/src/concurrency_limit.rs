//! An adaptive concurrency limit that finds the number of slots of a backend server.

use crate::Millis;
use crate::latency::{median_lower_bound, upper_median};

/// The minimum number of service times in a window; for exponential service times, the median of
/// that many has a standard error of 18%.
const WINDOW_MIN: usize = 64;
/// The maximum number of service times in a window.
const WINDOW_MAX: usize = 256;
/// The number of service times in a window for each call that the limit allows; with a dozen slots
/// the standard error of the median is 10%.
const WINDOW_CALLS: usize = 16;
/// The service time, as a percentage of the baseline, from which two windows in a row lower the
/// limit.
const INFLATED_PERCENT: u64 = 125;
/// The service time, as a percentage of the baseline, from which a single window lowers the limit.
const CONGESTED_PERCENT: u64 = 180;
/// The maximum number of windows before a limit at which a call was shed is tried again.
const BACKOFF_MAX: u32 = 64;
/// The minimum number of saturated windows between two checks of the baseline.
const CHECK_MIN: u32 = 16;
/// The maximum number of saturated windows between two checks of the baseline.
const CHECK_MAX: u32 = 128;

/// The period after a start of the backend server in which the limit rises.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    start: Millis,
    length: u64,
}

/// The state before the last decrease of the limit, and whether that was a baseline check.
#[derive(Clone, Copy, Debug)]
struct Decrease {
    median: u32,
    limit: u32,
    check: bool,
}

/// An adaptive limit on the number of calls that run at once, between a minimum and a maximum.
///
/// The limit is adjusted after each window of service times of calls that started under it:
///
/// - A median significantly above the baseline shows that calls queue inside the backend server.
///   The limit falls to the number of calls that were really served at once.
/// - A decrease that does not shorten the service time shows that the backend server itself
///   became slower. The baseline is raised, and the limit is restored.
/// - A window in which the limit was reached without inflated service times raises it by one.
/// - While the limit stays saturated, it is halved for one window now and then, to check whether
///   the baseline was measured while calls queued. A window in which half of the limit was free
///   makes that check unnecessary.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    value: u32,
    min: u32,
    max: u32,
    epoch: u32,
    ramp: Ramp,
    samples: Vec<u32>,
    failures: usize,
    saturated: bool,
    half_free: bool,
    inflated: bool,
    baseline: u32,
    decrease: Option<Decrease>,
    windows_unchecked: u32,
    check_after: u32,
    shed_limit: u32,
    backoff: u32,
    windows_waited: u32,
}

impl ConcurrencyLimit {
    /// Returns a limit that rises from `min` to `initial` within `ramp` milliseconds.
    ///
    /// A minimum of zero is raised to one.
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
            saturated: false,
            half_free: false,
            inflated: false,
            baseline: 0,
            decrease: None,
            windows_unchecked: 0,
            check_after: 0,
            shed_limit: u32::MAX,
            backoff: 1,
            windows_waited: 0,
        }
    }

    /// Changes the bounds.
    pub fn resize(&mut self, min: u32, max: u32) {
        self.min = min.max(1);
        self.max = max.max(self.min);
        let value = self.value.clamp(self.min, self.max);
        if value != self.value {
            self.set(value);
        }
    }

    /// Changes the length of the current ramp; a ramp that has ended does not start again.
    pub fn set_ramp(&mut self, now: Millis, length: u64) {
        if self.is_ramping(now) {
            self.ramp.length = length;
        }
    }

    /// Ramps the limit up from the minimum again, because the backend server has restarted.
    pub fn restart(&mut self, now: Millis, ramp: u64) {
        self.ramp = Ramp {
            start: now,
            length: ramp,
        };
        self.set(self.value);
    }

    /// Returns the current limit.
    pub fn value(&self, now: Millis) -> u32 {
        let elapsed = now.since(self.ramp.start);
        if elapsed >= self.ramp.length {
            return self.value;
        }
        let rise = u64::from(self.value - self.min) * elapsed / self.ramp.length;
        self.min + rise as u32
    }

    /// Returns whether the limit is still ramping up after a start of the backend server.
    pub fn is_ramping(&self, now: Millis) -> bool {
        now.since(self.ramp.start) < self.ramp.length
    }

    /// Returns when the limit next rises during the ramp after a start of the backend server.
    pub fn next_rise(&self, now: Millis) -> Option<Millis> {
        let rise = u64::from(self.value - self.min);
        if rise == 0 || !self.is_ramping(now) {
            return None;
        }
        let next = u64::from(self.value(now) - self.min) + 1;
        Some(self.ramp.start + (next * self.ramp.length).div_ceil(rise))
    }

    /// Returns the epoch of the current limit, which is passed back when a call ends.
    ///
    /// Calls that started under an earlier limit are thereby ignored.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the service time without queueing in microseconds, or zero when unknown.
    pub fn baseline(&self) -> u32 {
        self.baseline
    }

    /// Records that a call started, and that `running` calls are now running.
    pub fn record_start(&mut self, now: Millis, running: u32) {
        let value = self.value(now);
        self.saturated |= running >= value;
        self.half_free |= running <= value / 2;
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
            self.evaluate_window(median);
        }
        self.clear_window();
    }

    /// Records a failed call; when more than a tenth of a window fails, the limit does not rise.
    pub fn record_failure(&mut self, epoch: u32) {
        if epoch == self.epoch {
            self.failures += 1;
        }
    }

    /// Records that the backend server shed a call that started in `epoch`.
    ///
    /// The limit falls by a tenth, once for all calls of an epoch.
    pub fn record_shed(&mut self, epoch: u32) {
        if epoch != self.epoch {
            return;
        }
        self.shed_limit = self.value;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        self.windows_waited = 0;
        self.decrease = None;
        let step = (self.value / 10).max(1);
        self.set(self.value - step);
    }

    /// Adjusts the limit to the service times of a complete window.
    fn evaluate_window(&mut self, median: u32) {
        if self.baseline == 0 {
            self.baseline = median;
        }
        if let Some(before) = self.decrease.take() {
            return self.evaluate_decrease(before, median);
        }
        let percent = u64::from(median_lower_bound(&self.samples)) * 100 / u64::from(self.baseline);
        let inflated = percent >= INFLATED_PERCENT;
        let congested = percent >= CONGESTED_PERCENT || (inflated && self.inflated);
        self.inflated = inflated;
        if congested {
            let served = u64::from(self.value) * u64::from(self.baseline) / u64::from(median);
            return self.lower(median, served as u32, false);
        }
        if inflated {
            return;
        }
        self.update_baseline(median);
        if self.half_free {
            // With half of the limit free, no call was queued, so the baseline needs no check.
            self.windows_unchecked = 0;
            self.check_after = self.check_after.max(CHECK_MIN);
        }
        if self.saturated {
            self.check_or_raise(median);
        }
    }

    /// Decides, from the service time after a decrease, whether the lower limit is kept.
    fn evaluate_decrease(&mut self, before: Decrease, median: u32) {
        let full = u64::from(before.median);
        let expected = full * u64::from(self.value) / u64::from(before.limit);
        if u64::from(median) > full.midpoint(expected) {
            self.baseline = median;
            self.check_after = (self.check_after * 2).clamp(CHECK_MIN, CHECK_MAX);
            return self.set(before.limit);
        }
        self.check_after = CHECK_MIN;
        if before.check {
            self.baseline = self.baseline.min(median);
            self.lower(median, self.value / 2, true);
        }
    }

    /// Lowers the limit to about `value`, at most by half.
    fn lower(&mut self, median: u32, value: u32, check: bool) {
        self.windows_unchecked = 0;
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
        self.set(value.clamp(self.value / 2, self.value - 1));
    }

    fn check_or_raise(&mut self, median: u32) {
        self.windows_unchecked += 1;
        if self.windows_unchecked > self.check_after && self.shed_limit == u32::MAX {
            return self.lower(median, self.value / 2, true);
        }
        if self.failures * 10 <= self.samples.len() {
            self.raise();
        }
    }

    /// Moves the baseline toward the median; upward only when the limit was not saturated.
    fn update_baseline(&mut self, median: u32) {
        let gap = i64::from(median) - i64::from(self.baseline);
        let step = match (self.saturated && !self.half_free, gap < 0) {
            (false, _) => gap / 4,
            (true, true) => gap / 16,
            (true, false) => 0,
        };
        self.baseline = (i64::from(self.baseline) + step).max(1) as u32;
    }

    /// Raises the limit by one, after a backoff if a call was shed at the new limit.
    fn raise(&mut self) {
        if self.value >= self.shed_limit {
            self.shed_limit = u32::MAX;
            self.backoff = 1;
        }
        if self.value.saturating_add(1) == self.shed_limit && self.windows_waited < self.backoff {
            self.windows_waited += 1;
            return;
        }
        self.windows_waited = 0;
        if self.value < self.max {
            self.set(self.value + 1);
        }
    }

    /// Sets the limit and starts a new window.
    fn set(&mut self, value: u32) {
        self.value = value.clamp(self.min, self.max);
        self.epoch = self.epoch.wrapping_add(1);
        self.inflated = false;
        self.clear_window();
    }

    /// Starts a new window.
    fn clear_window(&mut self) {
        self.samples.clear();
        self.failures = 0;
        self.saturated = false;
        self.half_free = false;
    }
}
