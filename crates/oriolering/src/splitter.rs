//! Weighted distribution of requests among the parts of a route.

use std::collections::HashMap;

use compact_str::CompactString;
use rand::Rng;

use crate::Route;

/// The maximum number of turns to skip at the start; even a part with a share of one in a thousand
/// has turns among them.
const SKIP_MAX: u64 = 10_000;

/// The smooth weighted round-robin state of one route; credits are in units of weight.
#[derive(Clone, Debug)]
struct PartTurns {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl PartTurns {
    /// Starts at a random position in the order of turns, so that even the first requests of many
    /// nodes are distributed by the weights.
    fn start(weights: Vec<u32>, rng: &mut impl Rng) -> Self {
        let cycle: u64 = weights.iter().map(|w| u64::from(*w)).sum();
        let skipped = rng.random_range(0..cycle.clamp(1, SKIP_MAX));
        let credit = vec![0; weights.len()];
        let mut turns = Self { weights, credit };
        for _ in 0..skipped {
            turns.next();
        }
        turns
    }

    /// Returns the index of the part whose turn is next.
    fn next(&mut self) -> usize {
        for (credit, weight) in self.credit.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let open = self.credit.iter().zip(&self.weights).enumerate();
        let best = open
            .filter(|(_, (_, weight))| **weight > 0)
            .max_by_key(|(_, (credit, _))| **credit)
            .map_or(0, |(i, _)| i);
        let total: i64 = self.weights.iter().map(|w| i64::from(*w)).sum();
        self.credit[best] -= total;
        best
    }
}

/// Chooses the part of a route for each request by smooth weighted round-robin, so that the shares
/// hold even over few requests.
///
/// With every request each part gains its weight as credit, and the part with the highest credit
/// takes the request and pays the sum of all weights. A part without free capacity keeps its
/// share: requests that do not fit there are refused, not sent to another part.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    routes: HashMap<CompactString, PartTurns>,
}

impl TrafficSplitter {
    /// Returns the index of the part that takes the next request on `route`.
    ///
    /// # Panics
    ///
    /// Panics if the route has no parts, which the validation of routes rules out.
    pub fn choose(&mut self, route: &Route, rng: &mut impl Rng) -> usize {
        assert!(!route.parts.is_empty(), "a route has at least one part");
        if route.parts.len() == 1 {
            return 0;
        }
        let weights: Vec<u32> = route.parts.iter().map(|p| p.weight).collect();
        let known = self.routes.get_mut(&route.name);
        if let Some(turns) = known.filter(|t| t.weights == weights) {
            return turns.next();
        }
        let mut turns = PartTurns::start(weights, rng);
        let part = turns.next();
        self.routes.insert(route.name.clone(), turns);
        part
    }
}
