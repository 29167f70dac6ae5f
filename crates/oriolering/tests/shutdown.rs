//! What a node that was told to stop still takes.

use oriolering::{Millis, Shutdown};
use rstest::rstest;

const GRACE_MS: u64 = 6_000;

#[rstest]
#[case::at_once(0, 1_500, false)]
#[case::before_callers_have_noticed(2_900, 6_000, false)]
#[case::with_time_to_end(3_700, 1_500, false)]
#[case::that_may_outlast_the_process(4_302, 1_500, true)]
#[case::short_enough(4_302, 900, false)]
#[case::at_the_end(5_250, 100, true)]
fn takes_a_request_that_ends_in_time(
    #[case] after: u64,
    #[case] limit: u64,
    #[case] refused: bool,
) {
    let told = Millis(10_000);
    let stop = Shutdown::new(told, GRACE_MS);
    assert_eq!(stop.refuses(told + after, limit), refused);
}

#[rstest]
#[case::idle_before_callers_have_noticed(1_000, true, false)]
#[case::idle(3_000, true, true)]
#[case::busy(3_000, false, false)]
#[case::busy_at_the_end(5_300, false, true)]
fn ends_when_idle_or_at_the_last_moment(
    #[case] after: u64,
    #[case] idle: bool,
    #[case] over: bool,
) {
    let told = Millis(10_000);
    let stop = Shutdown::new(told, GRACE_MS);
    assert_eq!(stop.is_over(told + after, idle), over);
}
