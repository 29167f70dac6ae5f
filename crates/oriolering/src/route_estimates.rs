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
/// The shortest time between two trials of a route after one that ended at its deadline, in
/// milliseconds: the next one ends in time only if work has become faster since.
const FAILED_TRIAL_INTERVAL_MS: u64 = 2_000;
/// The time left from which a trial is useful soon after one that ended at its deadline, in percent
/// of the time that the failed one took.
const LONGER_TRIAL_PERCENT: u64 = 125;
/// The maximum estimate for a route without samples, in milliseconds; below it, the estimate is a
/// quarter of the target latency.
const UNKNOWN_MAX_MS: u64 = 200;
/// The maximum number of routes with estimates; one more clears all of them.
const ROUTES_MAX: usize = 4_096;

/// Moving averages of the durations and response sizes of routes.
///
/// An estimate changes only with responses and with requests that end at their deadlines. If it
/// were the only reason to refuse requests, one that is too high would never be corrected, since a
/// refused request has no response. Once an estimate may be outdated, some requests are therefore
/// sent as trials in spite of it.
#[derive(Clone, Debug, Default)]
pub struct RouteEstimates {
    durations: HashMap<u64, Duration>,
    bytes: HashMap<u64, u64>,
}

/// The moving average of the durations of one route.
#[derive(Clone, Copy, Debug)]
struct Duration {
    average_us: u64,
    /// When the last response arrived, or when the entry was created.
    sampled: Millis,
    /// When the last trial was sent, if no response arrived since.
    trial: Option<Millis>,
    /// The last trial that ended at its deadline, if no response arrived since.
    failed: Option<FailedTrial>,
    /// Whether a request ended at its deadline since the last response.
    unfinished: bool,
}

/// A trial that ended at its deadline.
#[derive(Clone, Copy, Debug)]
struct FailedTrial {
    sent: Millis,
    /// How long it ran, in milliseconds.
    ran_ms: u64,
}

impl Duration {
    /// Adds a sample to the average; one that a trial brought has more weight.
    fn add_sample(&mut self, usual_us: u64) {
        let shift = match self.trial {
            Some(_) => TRIAL_WEIGHT_SHIFT,
            None => WEIGHT_SHIFT,
        };
        self.average_us = self.average_us - (self.average_us >> shift) + (usual_us >> shift);
    }
}

impl RouteEstimates {
    /// Records a request that took `ms` milliseconds at a backend server whose work took `percent`
    /// of its usual duration.
    pub fn record_duration(&mut self, now: Millis, route: u64, ms: u64, percent: u32) {
        let usual_us = ms * 100_000 / u64::from(percent.max(100));
        let known = self.duration_or_insert(now, route, usual_us);
        known.add_sample(usual_us);
        known.trial = None;
        known.failed = None;
        known.unfinished = false;
        known.sampled = now;
    }

    /// Records a request that had run for `ms` milliseconds at its deadline, at a backend server
    /// whose work took `percent` of its usual duration.
    ///
    /// Its work takes at least that long, so an estimate that is below moves towards that duration,
    /// and never beyond. An estimate that is above stays: a caller with a short deadline shows
    /// nothing about it. One such request may be due to an unresponsive backend server and counts as
    /// one sample; from the second one without a response between them, the duration becomes the
    /// estimate.
    pub fn record_unfinished(&mut self, now: Millis, route: u64, ms: u64, percent: u32) {
        let least_us = ms * 100_000 / u64::from(percent.max(100));
        let known = self.duration_or_insert(now, route, least_us);
        match std::mem::replace(&mut known.unfinished, true) {
            true => known.average_us = known.average_us.max(least_us),
            false if least_us > known.average_us => known.add_sample(least_us),
            false => {}
        }
        // The request is taken for the open trial: requests of one route are not told apart here.
        if let Some(sent) = known.trial {
            known.failed = Some(FailedTrial { sent, ran_ms: ms });
        }
    }

    /// Returns the average of a route, which starts at `first_us` if there is none yet.
    fn duration_or_insert(&mut self, now: Millis, route: u64, first_us: u64) -> &mut Duration {
        if self.durations.len() >= ROUTES_MAX && !self.durations.contains_key(&route) {
            self.durations.clear();
        }
        self.durations.entry(route).or_insert(Duration {
            average_us: first_us,
            sampled: now,
            trial: None,
            failed: None,
            unfinished: false,
        })
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

    /// Returns whether a trial with `left_ms` milliseconds until its deadline may end in time as far
    /// as the last one shows.
    ///
    /// Soon after a trial that ended at its deadline, only a trial with clearly more time may.
    pub fn is_trial_useful(&self, now: Millis, route: u64, left_ms: u64) -> bool {
        let failed = self.durations.get(&route).and_then(|known| known.failed);
        failed.is_none_or(|failed| {
            now.since(failed.sent) >= FAILED_TRIAL_INTERVAL_MS
                || left_ms * 100 >= failed.ran_ms * LONGER_TRIAL_PERCENT
        })
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
