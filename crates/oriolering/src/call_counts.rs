//! How many calls the runs of each route make to other services.

use std::collections::HashMap;

use compact_str::CompactString;
use smallvec::SmallVec;

/// The runs in a row below the most calls after which fewer are expected.
const RUNS_BELOW: u32 = 64;
/// The most routes that are kept; routes that were dropped make room when it is reached.
const ROUTES_MAX: usize = 1_024;

/// The most calls that a run makes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeakCalls {
    /// The service that is called.
    pub service: CompactString,
    /// The most calls that one run made of late.
    pub calls: u32,
    /// The runs since then that made fewer.
    below: u32,
}

/// The calls that one run made, by called service.
pub type ServiceCalls = SmallVec<[(CompactString, u32); 2]>;

/// The most calls that runs make, by the hash of their route.
///
/// Routes whose runs make no calls are not kept.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    routes: HashMap<u64, SmallVec<[PeakCalls; 2]>>,
}

impl CallCounts {
    /// Takes in the calls that a run made before it ended.
    pub fn record(&mut self, route: u64, made: &ServiceCalls) {
        let is_new = !self.routes.contains_key(&route);
        if made.is_empty() && is_new {
            return;
        }
        if is_new && self.routes.len() >= ROUTES_MAX {
            self.routes.clear();
        }
        let known = self.routes.entry(route).or_default();
        for (service, calls) in made {
            if !known.iter().any(|most| most.service == *service) {
                known.push(PeakCalls {
                    service: service.clone(),
                    calls: *calls,
                    below: 0,
                });
            }
        }
        for most in known.iter_mut() {
            let calls = made.iter().find(|(service, _)| *service == most.service);
            most.observe(calls.map_or(0, |(_, calls)| *calls));
        }
        known.retain(|most| most.calls > 0);
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
        if self.below >= RUNS_BELOW {
            self.calls -= 1;
            self.below = 0;
        }
    }
}
