//! Simulates repeats along a chain of services, in a fleet whose nodes restart, receive node lists
//! of different lengths and learn late which repeats arrived.

mod checker;
mod fleet;

use checker::worst_window;
use fleet::{Load, simulate};
use rstest::rstest;

const BASE: Load = Load {
    nodes: 12,
    services: 4,
    calls: 2,
    requests_per_s: 30,
    fail_percent: 40,
    delay_ms: 1_500,
    restarts: 0,
    short_lists: false,
    seed: 0,
};

#[rstest]
#[case::half_of_all_runs_fail(Load { fail_percent: 50, ..BASE })]
#[case::nearly_all_runs_fail(Load { fail_percent: 95, ..BASE })]
#[case::many_calls(Load { calls: 5, services: 3, requests_per_s: 12, ..BASE })]
#[case::a_long_chain(Load { services: 11, nodes: 22, calls: 1, ..BASE })]
#[case::restarts(Load { restarts: 40, ..BASE })]
#[case::short_lists(Load { short_lists: true, ..BASE })]
#[case::failures_restarts_and_short_lists(Load { fail_percent: 80, restarts: 40, short_lists: true, ..BASE })]
fn repeats_at_each_service_stay_within_the_bound(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let history = simulate(Load { seed, ..load });
    let worst = worst_window(&history);
    assert!(worst.repeats > 0, "nothing was repeated");
    assert!(
        worst.repeats <= worst.allowed,
        "service {}: {} repeats, {} allowed",
        worst.service,
        worst.repeats,
        worst.allowed
    );
}
