//! Estimates of the usual duration and response size of each route's requests.

use std::collections::HashMap;

/// The weight of a new sample in the moving average, as a right shift: one eighth.
const WEIGHT_SHIFT: u32 = 3;
/// The maximum estimate for a route without samples, in milliseconds; below it, the estimate is a
/// quarter of the target latency.
const UNKNOWN_MAX_MS: u64 = 200;
/// The maximum number of routes with estimates; one more clears all of them.
const ROUTES_MAX: usize = 4_096;

/// Moving averages of the durations and response sizes of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteEstimates {
    durations_us: HashMap<u64, u64>,
    bytes: HashMap<u64, u64>,
}

impl RouteEstimates {
    /// Records a request that took `ms` milliseconds at a backend server whose work took `percent`
    /// of its usual duration.
    pub fn record_duration(&mut self, route: u64, ms: u64, percent: u32) {
        let usual_us = ms * 100_000 / u64::from(percent.max(100));
        if self.durations_us.len() >= ROUTES_MAX && !self.durations_us.contains_key(&route) {
            self.durations_us.clear();
        }
        let average = self.durations_us.entry(route).or_insert(usual_us);
        *average = *average - (*average >> WEIGHT_SHIFT) + (usual_us >> WEIGHT_SHIFT);
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
        match self.durations_us.get(&route) {
            Some(us) => (us / 1_000).max(1),
            None => (aim_ms / 4).min(UNKNOWN_MAX_MS),
        }
    }
}
