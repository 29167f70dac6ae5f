//! Retry delays of refused callers.

use std::collections::BTreeSet;

use oriolering::{jittered_retry_after_ms, retry_after_ms};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

#[rstest]
#[case::short_delay(20, 800, 20)]
#[case::longer_than_callers_wait(500, 800, 240)]
#[case::no_time_left(500, 0, 0)]
fn the_delay_is_capped_by_the_time_left(
    #[case] delay_ms: u64,
    #[case] left_ms: u64,
    #[case] expected: u64,
) {
    assert_eq!(retry_after_ms(delay_ms, left_ms), expected);
}

#[rstest]
#[case::short_delay(60, 800, 40, 90)]
#[case::longer_than_callers_wait(u64::MAX, 800, 160, 240)]
#[case::near_the_maximum(200, 800, 133, 240)]
#[case::no_time_left(60, 0, 0, 0)]
fn jitter_spreads_the_delays(
    #[case] delay_ms: u64,
    #[case] left_ms: u64,
    #[case] earliest: u64,
    #[case] latest: u64,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let times: BTreeSet<u64> = (0..2_000)
        .map(|_| jittered_retry_after_ms(delay_ms, left_ms, &mut rng))
        .collect();
    assert_eq!(
        (times.first(), times.last()),
        (Some(&earliest), Some(&latest))
    );
    assert_eq!(
        times.len() as u64,
        latest - earliest + 1,
        "every delay in the range occurs"
    );
}
