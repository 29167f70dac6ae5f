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

/// Guards against a node that is gone before the last sixth of its grace period, when a request may
/// still run that must not be cut off.
#[rstest]
#[case::long(10_000)]
#[case::usual(6_000)]
#[case::short(3_000)]
#[case::very_short(1_000)]
fn a_busy_node_stays_until_the_last_sixth_of_the_grace_period(#[case] grace_ms: u64) {
    let requested = Millis(10_000);
    let shutdown = Shutdown::new(requested, grace_ms);
    assert!(!shutdown.is_over(requested + grace_ms * 5 / 6, false));
    assert!(shutdown.is_over(requested + (grace_ms - 100), false));
}

#[rstest]
#[case::first(0, false)]
#[case::last_moment(2_600, false)]
#[case::at_the_end(2_625, true)]
fn a_short_grace_period_refuses_requests_at_its_end(#[case] after_ms: u64, #[case] refused: bool) {
    let requested = Millis(10_000);
    let shutdown = Shutdown::new(requested, 3_000);
    assert_eq!(shutdown.refuses(requested + after_ms, 1_500), refused);
}

#[test]
fn a_request_has_its_deadline_before_the_node_exits() {
    let shutdown = Shutdown::new(Millis(10_000), GRACE_MS);
    assert_eq!(shutdown.limit_deadline(Millis(12_000)), Millis(12_000));
    assert_eq!(shutdown.limit_deadline(Millis(18_000)), Millis(15_300));
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
