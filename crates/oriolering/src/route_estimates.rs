//! How long the requests of a route take at a backend server that works at its usual pace.

use std::collections::HashMap;

/// The share of a new sample in the estimate, as a power of two: one eighth.
const SHIFT: u32 = 3;
/// The estimate for a route without samples, in milliseconds: a quarter of its aim at most.
const UNKNOWN_MAX_MS: u64 = 200;
/// The most routes that are remembered; the oldest samples of others are dropped at random.
const ROUTES_MAX: usize = 4_096;

/// The usual durations of routes, learned from the runs that ended.
#[derive(Clone, Debug, Default)]
pub struct RouteEstimates {
    routes: HashMap<u64, u64>,
    bytes: HashMap<u64, u64>,
}

impl RouteEstimates {
    /// Records a run of `ms` milliseconds at a backend server that took `percent` of the usual
    /// time for its work.
    pub fn record_duration(&mut self, route: u64, ms: u64, percent: u32) {
        let usual_us = ms * 100_000 / u64::from(percent.max(100));
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        let known = self.routes.entry(route).or_insert(usual_us);
        *known = *known - (*known >> SHIFT) + (usual_us >> SHIFT);
    }

    /// Records the size of an answer on a route, in bytes.
    pub fn record_bytes(&mut self, route: u64, bytes: u64) {
        if self.bytes.len() >= ROUTES_MAX && !self.bytes.contains_key(&route) {
            self.bytes.clear();
        }
        let known = self.bytes.entry(route).or_insert(bytes);
        *known = *known - (*known >> SHIFT) + (bytes >> SHIFT);
    }

    /// Returns the usual size of an answer on a route, in bytes.
    pub fn answer_bytes(&self, route: u64) -> u64 {
        self.bytes.get(&route).copied().unwrap_or(0)
    }

    /// Returns the usual duration of a route with this aim, in milliseconds.
    pub fn duration_ms(&self, route: u64, aim_ms: u64) -> u64 {
        match self.routes.get(&route) {
            Some(us) => (us / 1_000).max(1),
            None => (aim_ms / 4).min(UNKNOWN_MAX_MS),
        }
    }
}
