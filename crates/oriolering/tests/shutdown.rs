//! Refusals and exit time during a graceful shutdown.

use oriolering::{Millis, Shutdown};
use rstest::rstest;

const GRACE_MS: u64 = 6_000;

#[rstest]
#[case::at_once(0, 1_500, false)]
#[case::before_callers_notice(2_900, 6_000, false)]
#[case::enough_time_left(3_700, 1_500, false)]
#[case::may_outlast_the_process(4_302, 1_500, true)]
#[case::short_enough(4_302, 900, false)]
#[case::at_the_end(5_250, 100, true)]
fn refuses_requests_that_may_outlast_the_process(
    #[case] after_ms: u64,
    #[case] limit_ms: u64,
    #[case] refused: bool,
) {
    let requested = Millis(10_000);
    let shutdown = Shutdown::new(requested, GRACE_MS);
    assert_eq!(shutdown.refuses(requested + after_ms, limit_ms), refused);
}

#[rstest]
#[case::idle_before_callers_notice(1_000, true, false)]
#[case::idle(3_000, true, true)]
#[case::busy(3_000, false, false)]
#[case::busy_at_the_end(5_300, false, true)]
fn exits_when_idle_or_at_the_end_of_the_grace_period(
    #[case] after_ms: u64,
    #[case] idle: bool,
    #[case] over: bool,
) {
    let requested = Millis(10_000);
    let shutdown = Shutdown::new(requested, GRACE_MS);
    assert_eq!(shutdown.is_over(requested + after_ms, idle), over);
}
