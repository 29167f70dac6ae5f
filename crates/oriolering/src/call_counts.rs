//! Tracks how many calls the runs of each route make to other services.

use std::collections::HashMap;

use compact_str::CompactString;
use smallvec::SmallVec;

/// The number of consecutive runs below the peak after which the peak is lowered by one call.
const RUNS_BELOW_PEAK: u32 = 64;
/// The maximum number of tracked routes; reaching it clears all of them, so that routes that no
/// longer exist do not accumulate.
const MAX_ROUTES: usize = 1_024;

/// The recent peak of the calls that one run makes to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeakCalls {
    /// The called service.
    pub service: CompactString,
    /// The most calls that one run made recently.
    pub calls: u32,
    /// The number of runs since then that made fewer calls.
    below: u32,
}

/// The number of calls that one run made, by called service.
pub type ServiceCalls = SmallVec<[(CompactString, u32); 2]>;

/// The peak number of calls that a run makes, by the hash of its route.
///
/// Routes whose runs make no calls are not tracked.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    routes: HashMap<u64, SmallVec<[PeakCalls; 2]>>,
}

impl CallCounts {
    /// Records the calls that a run made before it ended.
    pub fn record(&mut self, route: u64, made: &ServiceCalls) {
        let is_new = !self.routes.contains_key(&route);
        if made.is_empty() && is_new {
            return;
        }
        if is_new && self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let known = self.routes.entry(route).or_default();
        for (service, calls) in made {
            if !known.iter().any(|peak| peak.service == *service) {
                known.push(PeakCalls {
                    service: service.clone(),
                    calls: *calls,
                    below: 0,
                });
            }
        }
        for peak in known.iter_mut() {
            let calls = made.iter().find(|(service, _)| *service == peak.service);
            peak.observe(calls.map_or(0, |(_, calls)| *calls));
        }
        known.retain(|peak| peak.calls > 0);
        if known.is_empty() {
            self.routes.remove(&route);
        }
    }

    /// Returns the most calls that a run of a route is expected to make, by called service.
    pub fn peak_calls(&self, route: u64) -> &[PeakCalls] {
        self.routes.get(&route).map_or(&[], |known| known)
    }
}

impl PeakCalls {
    fn observe(&mut self, calls: u32) {
        if calls >= self.calls {
            self.calls = calls;
            self.below = 0;
            return;
        }
        self.below += 1;
        if self.below >= RUNS_BELOW_PEAK {
            self.calls -= 1;
            self.below = 0;
        }
    }
}
