//! Tests of when a second run of a running idempotent request is started.

use oriolering::{RunEstimate, should_start_second_run};
use proptest::prelude::*;
use rstest::rstest;

/// A run at the usual speed that ends in time.
const ON_TIME: RunEstimate = RunEstimate {
    elapsed_ms: 30,
    done_ms: 30,
    work_ms: 70,
    slowdown_percent: 100,
    elsewhere_ms: 75,
    aim_ms: 170,
    remaining_ms: 770,
};

#[rstest]
#[case::in_time(ON_TIME, false)]
#[case::slow_but_still_in_time(RunEstimate { slowdown_percent: 400, ..ON_TIME }, false)]
#[case::slow_and_late(RunEstimate { slowdown_percent: 400, aim_ms: 130, ..ON_TIME }, true)]
#[case::late_everywhere(RunEstimate { slowdown_percent: 400, aim_ms: 60, ..ON_TIME }, false)]
#[case::no_gain_elsewhere(RunEstimate { slowdown_percent: 400, aim_ms: 150, elsewhere_ms: 149, ..ON_TIME }, false)]
#[case::slow_from_the_start(RunEstimate { elapsed_ms: 60, done_ms: 15, aim_ms: 140, ..ON_TIME }, false)]
#[case::slow_and_little_done(RunEstimate { elapsed_ms: 60, done_ms: 15, slowdown_percent: 400, aim_ms: 140, ..ON_TIME }, true)]
#[case::unresponsive(RunEstimate { elapsed_ms: 300, aim_ms: 0, remaining_ms: 500, ..ON_TIME }, true)]
#[case::unresponsive_without_time(RunEstimate { elapsed_ms: 300, aim_ms: 0, remaining_ms: 60, ..ON_TIME }, false)]
#[case::more_work_done_than_time_left(RunEstimate { elapsed_ms: 450, done_ms: 450, aim_ms: 0, remaining_ms: 350, ..ON_TIME }, false)]
fn starts_only_if_the_second_run_alone_ends_in_time(
    #[case] run: RunEstimate,
    #[case] expected: bool,
) {
    assert_eq!(should_start_second_run(run), expected);
}

proptest! {
    #[test]
    fn never_starts_a_run_that_would_miss_the_deadline(
        elapsed_ms in 0_u64..2_000,
        done_ms in 0_u64..2_000,
        work_ms in 1_u64..500,
        slowdown_percent in 100_u64..900,
        elsewhere_ms in 1_u64..2_000,
        aim_ms in 0_u64..2_000,
        remaining_ms in 0_u64..2_000,
    ) {
        let run = RunEstimate { elapsed_ms, done_ms, work_ms, slowdown_percent, elsewhere_ms, aim_ms, remaining_ms };
        prop_assert!(!should_start_second_run(run) || elsewhere_ms < remaining_ms);
    }
}
