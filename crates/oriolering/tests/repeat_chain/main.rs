//! Repeats along a chain of services that call each other, in a fleet whose nodes start again,
//! see lists of different lengths and learn late of what arrived.

mod fleet;
mod judge;

use fleet::{Load, play};
use judge::worst;
use rstest::rstest;

const USUAL: Load = Load {
    nodes: 12,
    services: 4,
    calls: 2,
    requests_per_s: 30,
    fail_percent: 40,
    delay_ms: 1_500,
    starts: 0,
    short_lists: false,
    seed: 0,
};

#[rstest]
#[case::half_of_all_runs_fail(Load { fail_percent: 50, ..USUAL })]
#[case::nearly_all_runs_fail(Load { fail_percent: 95, ..USUAL })]
#[case::many_calls(Load { calls: 5, services: 3, requests_per_s: 12, ..USUAL })]
#[case::a_long_chain(Load { services: 11, nodes: 22, calls: 1, ..USUAL })]
#[case::nodes_start_again(Load { starts: 40, ..USUAL })]
#[case::lists_are_short_at_times(Load { short_lists: true, ..USUAL })]
#[case::all_at_once(Load { fail_percent: 80, starts: 40, short_lists: true, ..USUAL })]
fn no_service_gets_more_repeats_than_the_fleet_may_send(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let played = play(Load { seed, ..load });
    let worst = worst(&played);
    assert!(worst.repeats > 0, "nothing was repeated");
    assert!(
        worst.repeats <= worst.allowed,
        "service {}: {} repeats, {} allowed",
        worst.service,
        worst.repeats,
        worst.allowed
    );
}
