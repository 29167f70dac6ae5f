//! Distribution of requests among the parts of a route by weight.

use std::collections::HashMap;

use compact_str::CompactString;
use rand::Rng;

use crate::Route;

/// The debts of the parts of one route, in units of weight.
#[derive(Clone, Debug)]
struct Turns {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

/// Chooses the part of a route for each request, so that the shares hold over few requests.
///
/// Each part gains its weight with every request, and the part with the highest credit takes
/// the request and pays for it. A part that is short of room keeps its share: what does not fit
/// there is refused, not moved.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    routes: HashMap<CompactString, Turns>,
}

impl Splitter {
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
        let total: i64 = weights.iter().map(|w| i64::from(*w)).sum();
        let turns = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| Turns {
                weights: Vec::new(),
                credit: Vec::new(),
            });
        if turns.weights != weights {
            // A random start keeps many nodes from choosing the same part at the same time.
            turns.credit = weights
                .iter()
                .map(|w| rng.random_range(0..=i64::from(*w)))
                .collect();
            turns.weights = weights;
        }
        for (credit, weight) in turns.credit.iter_mut().zip(&turns.weights) {
            *credit += i64::from(*weight);
        }
        let open = turns.credit.iter().zip(&turns.weights).enumerate();
        let best = open
            .filter(|(_, (_, weight))| **weight > 0)
            .max_by_key(|(_, (credit, _))| **credit)
            .map_or(0, |(i, _)| i);
        turns.credit[best] -= total;
        best
    }
}
