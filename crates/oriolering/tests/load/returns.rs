//! Callers that come back after a refusal or leave early.

use rstest::rstest;

use crate::callers::Behaviors;
use crate::results::Results;
use crate::settings::{Load, Strategy};
use crate::{load, simulate};

/// The smallest throughput under overload, in percent of the throughput without callers that come
/// back.
const THROUGHPUT_PERCENT_MIN: u64 = 95;

/// Returns a load of which a third of the callers comes back patiently, a sixth eagerly, and a
/// tenth leaves early.
fn returning(offered: u64, seed: u64) -> Load {
    Load {
        callers: Behaviors {
            patient: 34,
            eager: 16,
            leaving: 10,
            leave_ms: 150,
        },
        ..load(offered, seed)
    }
}

fn check_ends(results: &Results) {
    let refused = results.refused_at_once + results.refused_later;
    let ends = results.answered + refused + results.expired + results.left;
    assert_eq!(ends, results.requests, "each request must end exactly once");
    assert_eq!(results.late, 0, "no response may arrive after the deadline");
    println!(
        "callers in time {:.1} %, sent again {}, refused again {}, left {}",
        results.caller_share() * 100.0,
        results.returned,
        results.refused_again,
        results.left
    );
}

/// Guards against callers that come back and bring down the throughput of a fleet that is full.
#[rstest]
fn callers_that_come_back_leave_the_throughput_as_it_is(
    #[values(110, 130)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let results = simulate(returning(offered, seed), Strategy::Adaptive);
    check_ends(&results);
    let usual = simulate(load(offered, seed), Strategy::Adaptive);
    assert!(results.returned > 0 && results.left > 0, "{results}");
    let ended = results.answered + results.left;
    assert!(
        ended * 100 >= usual.answered * THROUGHPUT_PERCENT_MIN,
        "{results}"
    );
}

/// Guards against retries where nothing is refused.
#[rstest]
fn nobody_comes_back_below_capacity(#[values(1, 2)] seed: u64) {
    let results = simulate(returning(60, seed), Strategy::Adaptive);
    check_ends(&results);
    assert_eq!(results.returned, 0, "{results}");
}
