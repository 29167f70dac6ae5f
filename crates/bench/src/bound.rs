//! The bound of any balancer: one queue over all slots of the service.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Returns the latency of each arrival, in order, when `slots` servers share one queue.
///
/// Arrivals are pairs of the time of arrival and the service time in microseconds, sorted by
/// time.
pub fn one_queue(slots: usize, arrivals: &[(u64, u64)]) -> Vec<u64> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let mut latencies = Vec::with_capacity(arrivals.len());
    for &(at, service) in arrivals {
        let Some(Reverse(ready)) = free.pop() else {
            return latencies;
        };
        let end = at.max(ready) + service;
        free.push(Reverse(end));
        latencies.push(end - at);
    }
    latencies
}
