//! Estimates of the usual duration and response size of each route's requests.

use std::collections::HashMap;

use crate::Millis;

/// The weight of a new sample in the moving average, as a right shift: one eighth.
const WEIGHT_SHIFT: u32 = 3;
/// The weight of the sample that a trial brings, as a right shift: one half, so that few trials
/// suffice after a slow period.
const TRIAL_WEIGHT_SHIFT: u32 = 1;
/// The age of the last sample from which an estimate may be outdated, in milliseconds.
const OUTDATED_MS: u64 = 1_000;
/// The shortest time between two trials of a route, in milliseconds: they may be in vain, and take
/// slots from other requests.
const TRIAL_INTERVAL_MS: u64 = 500;
/// The maximum estimate for a route without samples, in milliseconds; below it, the estimate is a
/// quarter of the target latency.
const UNKNOWN_MAX_MS: u64 = 200;
/// The maximum number of routes with estimates; one more clears all of them.
const ROUTES_MAX: usize = 4_096;

/// Moving averages of the durations and response sizes of routes.
///
/// An estimate changes only with responses. If it were the only reason to refuse requests, one that
/// is too high would never be corrected, since a refused request has no response. Once an estimate
/// may be outdated, some requests are therefore sent as trials in spite of it.
#[derive(Clone, Debug, Default)]
pub struct RouteEstimates {
    durations: HashMap<u64, Duration>,
    bytes: HashMap<u64, u64>,
}

/// The moving average of the durations of one route.
#[derive(Clone, Copy, Debug)]
struct Duration {
    average_us: u64,
    /// When the last request with a sample ended.
    sampled: Millis,
    /// When the last trial was sent, if there was no sample since.
    trial: Option<Millis>,
}

impl RouteEstimates {
    /// Records a request that took `ms` milliseconds at a backend server whose work took `percent`
    /// of its usual duration.
    pub fn record_duration(&mut self, now: Millis, route: u64, ms: u64, percent: u32) {
        let usual_us = ms * 100_000 / u64::from(percent.max(100));
        if self.durations.len() >= ROUTES_MAX && !self.durations.contains_key(&route) {
            self.durations.clear();
        }
        let first = Duration {
            average_us: usual_us,
            sampled: now,
            trial: None,
        };
        let known = self.durations.entry(route).or_insert(first);
        let shift = match known.trial.take() {
            Some(_) => TRIAL_WEIGHT_SHIFT,
            None => WEIGHT_SHIFT,
        };
        let average = known.average_us;
        known.average_us = average - (average >> shift) + (usual_us >> shift);
        known.sampled = now;
    }

    /// Records the size of a response on a route, in bytes.
    pub fn record_bytes(&mut self, route: u64, bytes: u64) {
        if self.bytes.len() >= ROUTES_MAX && !self.bytes.contains_key(&route) {
            self.bytes.clear();
        }
        let average = self.bytes.entry(route).or_insert(bytes);
        *average = *average - (*average >> WEIGHT_SHIFT) + (bytes >> WEIGHT_SHIFT);
    }

    /// Returns the usual size of a response on a route in bytes, or zero without samples.
    pub fn answer_bytes(&self, route: u64) -> u64 {
        self.bytes.get(&route).copied().unwrap_or(0)
    }

    /// Returns the usual duration of a request on a route with this target latency, in
    /// milliseconds.
    pub fn duration_ms(&self, route: u64, aim_ms: u64) -> u64 {
        match self.durations.get(&route) {
            Some(known) => (known.average_us / 1_000).max(1),
            None => unknown_ms(aim_ms),
        }
    }

    /// Returns the duration to assume for a trial, in milliseconds, or `None` if no trial is due.
    ///
    /// A trial is due if the estimate is above that of a route without samples and may be outdated.
    /// The caller reports each trial that it sends to [`Self::record_trial`].
    pub fn trial_ms(&self, now: Millis, route: u64, aim_ms: u64) -> Option<u64> {
        let known = self.durations.get(&route)?;
        let outdated = now.since(known.sampled) >= OUTDATED_MS;
        let waits = |at| now.since(at) < TRIAL_INTERVAL_MS;
        if !outdated || known.trial.is_some_and(waits) {
            return None;
        }
        let assumed_ms = unknown_ms(aim_ms);
        (assumed_ms < self.duration_ms(route, aim_ms)).then_some(assumed_ms)
    }

    /// Records that a trial of a route was sent.
    pub fn record_trial(&mut self, now: Millis, route: u64) {
        if let Some(known) = self.durations.get_mut(&route) {
            known.trial = Some(now);
        }
    }
}

/// Returns the estimate for a route without samples, in milliseconds.
fn unknown_ms(aim_ms: u64) -> u64 {
    (aim_ms / 4).min(UNKNOWN_MAX_MS)
}
