//! The request arrivals of a run, and the latencies of an ideal single queue as a bound.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{DEADLINE_US, QUEUE, SERVERS, SERVICE_US, SLOTS};

/// A request with its intended send time and its service time, in microseconds.
pub(crate) struct Request {
    pub(crate) at: u64,
    pub(crate) service: u64,
    pub(crate) ingress: usize,
    pub(crate) idempotent: bool,
}

/// Draws a service time with a mean of [`SERVICE_US`]: half to one and a half times the mean
/// for `even`, exponential for any other shape.
fn draw_service(rng: &mut StdRng, shape: &str) -> u64 {
    let factor = match shape {
        "even" => rng.random_range(0.5..1.5),
        _ => -(1.0 - rng.random::<f64>()).ln(),
    };
    (SERVICE_US * factor) as u64 + 1
}

pub(crate) fn draw_requests(
    shape: &str,
    seed: u64,
    load: f64,
    burst: bool,
    ingresses: usize,
    seconds: u64,
) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let gap = SERVICE_US / ((SERVERS * SLOTS) as f64 * load);
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < (seconds * 1_000_000) as f64 {
        let double = burst && at % 1_000_000.0 < 40_000.0;
        let factor = if double { 0.5 } else { 1.0 };
        at -= gap * factor * (1.0 - rng.random::<f64>()).ln();
        requests.push(Request {
            at: at as u64,
            service: draw_service(&mut rng, shape),
            ingress: rng.random_range(0..ingresses),
            idempotent: rng.random_bool(0.7),
        });
    }
    requests
}

/// Returns the latencies with a single queue for all slots, in microseconds.
pub(crate) fn single_queue_latencies(requests: &[Request], slots: usize) -> Vec<u64> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let serve = |r: &Request| {
        while waiting.front().is_some_and(|&start| start <= r.at) {
            waiting.pop_front();
        }
        let Some(Reverse(slot)) = free.peek().copied() else {
            return DEADLINE_US;
        };
        if waiting.len() >= slots / SLOTS * QUEUE {
            return DEADLINE_US;
        }
        free.pop();
        let start = slot.max(r.at);
        waiting.push_back(start);
        free.push(Reverse(start + r.service));
        (start + r.service - r.at).min(DEADLINE_US)
    };
    requests.iter().map(serve).collect()
}
