//! Simulates a load without a network, and compares the results with two other strategies.
//!
//! Some of the backend servers are several times slower than usual; every 300 ms, others are slow.
//! Load hints arrive with a delay. Second runs are simulated where a test enables them; so are callers
//! that come back or leave early; slowdown by concurrent requests is not. `--nocapture` prints the results.

mod call;
mod callers;
mod events;
mod fleet;
mod gains;
mod gate;
mod ingress;
mod limits;
mod one_queue;
mod results;
mod returns;
mod second_run;
mod server;
mod settings;
mod zones;

use results::Results;
use rstest::rstest;
use settings::{Load, Strategy};

/// The largest fraction of the runs that may be wasted.
const WASTED_MAX: f64 = 0.05;
/// The fraction of all requests by which more are answered within the target latency than with a
/// random choice, as long as there is capacity for all.
const RANDOM_GAIN_MIN: f64 = 0.10;
/// The fraction of all requests by which fewer may be answered within the target latency than
/// with a single queue that has current information about all backend servers.
const QUEUE_LOSS_MAX: f64 = 0.03;
/// The smallest fraction of the refusals that come at once if there is capacity for three of four
/// requests.
const AT_ONCE_MIN: f64 = 0.70;

fn simulate(load: Load, strategy: Strategy) -> Results {
    let results = fleet::simulate(load, strategy);
    let (offered, seed) = (load.offered_percent, load.seed);
    println!("{offered:3} % seed {seed} {strategy:?}: {results}");
    results
}

/// Checks what holds under any load; returns the fraction of requests that are answered within
/// the target latency.
fn check(load: Load, strategy: Strategy) -> f64 {
    let results = simulate(load, strategy);
    let ends = results.answered
        + results.refused_at_once
        + results.refused_later
        + results.expired
        + results.left;
    assert_eq!(ends, results.requests, "each request must end exactly once");
    assert_eq!(results.late, 0, "no response may arrive after the deadline");
    assert!(results.wasted_share() <= WASTED_MAX, "{results}");
    results.aim_share()
}

fn load(offered_percent: u64, seed: u64) -> Load {
    Load {
        seed,
        ..Load::noisy_neighbours(offered_percent)
    }
}

#[rstest]
fn hints_beat_a_random_choice_clearly(
    #[values(30, 60, 90)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let load = load(offered, seed);
    let adaptive = check(load, Strategy::Adaptive);
    let random = check(load, Strategy::Random);
    assert!(adaptive >= random + RANDOM_GAIN_MIN);
}

#[rstest]
fn hints_come_close_to_a_single_queue(
    #[values(30, 60, 90, 130)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let load = load(offered, seed);
    let adaptive = check(load, Strategy::Adaptive);
    let queue = check(load, Strategy::OneQueue);
    assert!(adaptive >= queue - QUEUE_LOSS_MAX);
}

#[rstest]
fn no_request_is_refused_below_capacity(#[values(30, 60)] offered: u64, #[values(1, 2)] seed: u64) {
    let results = simulate(load(offered, seed), Strategy::Adaptive);
    assert_eq!(results.answered, results.requests);
}

#[rstest]
fn excess_requests_are_refused_at_once(#[values(1, 2)] seed: u64) {
    let load = load(130, seed);
    let results = simulate(load, Strategy::Adaptive);
    assert!(results.at_once_share() >= AT_ONCE_MIN, "{results}");
    // Overload does not reduce the throughput of the fleet.
    let capacity = 100.0 / load.offered_percent as f64;
    assert!(results.answered as f64 >= 0.95 * capacity * results.requests as f64);
}
