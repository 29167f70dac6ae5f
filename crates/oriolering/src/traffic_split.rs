//! Distribution of requests among the parts of a route by weight.

use std::collections::HashMap;

use compact_str::CompactString;
use rand::Rng;

use crate::Route;

/// The most turns that are skipped at the start; a share of a thousandth has its place in them.
const SKIP_MAX: u64 = 10_000;

/// The debts of the parts of one route, in units of weight.
#[derive(Clone, Debug)]
struct Turns {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl Turns {
    /// Begins anywhere in the order of turns, so that the first requests of many nodes already
    /// add up to the weights.
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

    /// Returns the part whose turn it is.
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

/// Chooses the part of a route for each request, so that the shares hold over few requests.
///
/// Each part gains its weight with every request, and the part with the highest credit takes
/// the request and pays for it. A part that is short of room keeps its share: what does not fit
/// there is refused, not moved.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    routes: HashMap<CompactString, Turns>,
}

impl TrafficSplitter {
    /// Returns the index of the part that takes the next request on `route`.
    ///
    /// # Panics
    ///
    /// Panics when the route has no part, which the check of routes rules out.
    pub fn choose(&mut self, route: &Route, rng: &mut impl Rng) -> usize {
        assert!(!route.parts.is_empty(), "a route has one part or more");
        if route.parts.len() == 1 {
            return 0;
        }
        let weights: Vec<u32> = route.parts.iter().map(|p| p.weight).collect();
        let known = self.routes.get_mut(&route.name);
        if let Some(turns) = known.filter(|t| t.weights == weights) {
            return turns.next();
        }
        let mut turns = Turns::start(weights, rng);
        let part = turns.next();
        self.routes.insert(route.name.clone(), turns);
        part
    }
}
