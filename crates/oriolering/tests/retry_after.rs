//! When refused callers come back.

use std::collections::BTreeSet;

use oriolering::{jittered_retry_after_ms, retry_after_ms};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

#[rstest]
#[case::soon(20, 800, 20)]
#[case::later_than_callers_wait(500, 800, 240)]
#[case::no_time(500, 0, 0)]
fn nobody_is_asked_to_come_back_later_than_callers_wait(
    #[case] back_ms: u64,
    #[case] left_ms: u64,
    #[case] expected: u64,
) {
    assert_eq!(retry_after_ms(back_ms, left_ms), expected);
}

#[rstest]
#[case::soon(60, 800, 40, 90)]
#[case::later_than_callers_wait(u64::MAX, 800, 160, 240)]
#[case::about_as_late(200, 800, 133, 240)]
#[case::no_time(60, 0, 0, 0)]
fn callers_without_turns_come_back_at_different_times(
    #[case] back_ms: u64,
    #[case] left_ms: u64,
    #[case] earliest: u64,
    #[case] latest: u64,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let times: BTreeSet<u64> = (0..2_000)
        .map(|_| jittered_retry_after_ms(back_ms, left_ms, &mut rng))
        .collect();
    assert_eq!(
        (times.first(), times.last()),
        (Some(&earliest), Some(&latest))
    );
    assert_eq!(times.len() as u64, latest - earliest + 1, "all of them");
}
