//! When an idempotent request that still runs is sent to a second backend server.

use oriolering::{Run, wants_second_run};
use proptest::prelude::*;
use rstest::rstest;

/// A run at the usual pace that ends in time.
const CALM: Run = Run {
    elapsed_ms: 30,
    done_ms: 30,
    work_ms: 70,
    percent: 100,
    elsewhere_ms: 75,
    aim_ms: 170,
    left_ms: 770,
};

#[rstest]
#[case::in_time(CALM, false)]
#[case::slow_but_still_in_time(Run { percent: 400, ..CALM }, false)]
#[case::slow_and_late(Run { percent: 400, aim_ms: 130, ..CALM }, true)]
#[case::late_everywhere(Run { percent: 400, aim_ms: 60, ..CALM }, false)]
#[case::no_gain_elsewhere(Run { percent: 400, aim_ms: 150, elsewhere_ms: 149, ..CALM }, false)]
#[case::slow_from_the_start(Run { elapsed_ms: 60, done_ms: 15, aim_ms: 140, ..CALM }, false)]
#[case::slow_and_little_done(Run { elapsed_ms: 60, done_ms: 15, percent: 400, aim_ms: 140, ..CALM }, true)]
#[case::silent(Run { elapsed_ms: 300, aim_ms: 0, left_ms: 500, ..CALM }, true)]
#[case::silent_without_time(Run { elapsed_ms: 300, aim_ms: 0, left_ms: 60, ..CALM }, false)]
fn begins_where_only_the_second_ends_in_time(#[case] run: Run, #[case] wanted: bool) {
    assert_eq!(wants_second_run(run), wanted);
}

proptest! {
    #[test]
    fn never_begins_what_cannot_end(
        elapsed_ms in 0_u64..2_000,
        done_ms in 0_u64..2_000,
        work_ms in 1_u64..500,
        percent in 100_u64..900,
        elsewhere_ms in 1_u64..2_000,
        aim_ms in 0_u64..2_000,
        left_ms in 0_u64..2_000,
    ) {
        let run = Run { elapsed_ms, done_ms, work_ms, percent, elsewhere_ms, aim_ms, left_ms };
        prop_assert!(!wants_second_run(run) || elsewhere_ms < left_ms);
    }
}
