//! The limit on requests to a cold backend server, as its gate applies it.

use oriolering::{Millis, Rate, RateLimiter, SlowStart, WarmUp};
use rstest::rstest;

const DURATION_MS: u64 = 3_000;
/// How often a gate checks the health of a backend server, in milliseconds.
const CHECK_MS: u64 = 150;

fn slow_start(per_s: u32) -> SlowStart {
    SlowStart {
        duration_ms: DURATION_MS,
        rate: Rate::from_thousandths(per_s * 1_000),
    }
}

/// Returns the state of a backend server that a gate has known as warm for a while.
fn warm(per_s: u32) -> WarmUp {
    let mut state = WarmUp::new(Millis(0));
    state.configure(Millis(0), Some(slow_start(per_s)));
    state.record_check(Millis(2_000), Millis(1_990), 0);
    assert_eq!(state.limit(Millis(2_000), true), None);
    state
}

#[test]
fn without_a_slow_start_there_is_no_limit() {
    let mut state = WarmUp::new(Millis(0));
    state.configure(Millis(0), None);
    state.record_check(Millis(10), Millis(5), 800);
    assert_eq!(state.limit(Millis(20), true), None);
}

/// Guards against a new gate that sends at full rate to a backend server that has just started.
#[test]
fn an_unknown_backend_server_is_limited_until_it_says_that_it_is_warm_or_time_has_passed() {
    let mut state = WarmUp::new(Millis(100));
    state.configure(Millis(100), Some(slow_start(11)));
    assert!(state.limit(Millis(100), true).is_some());
    assert!(state.limit(Millis(100 + DURATION_MS - 1), false).is_some());
    assert_eq!(state.limit(Millis(100 + DURATION_MS), false), None);
    state.record_check(Millis(300), Millis(290), 0);
    assert_eq!(state.limit(Millis(300), true), None);
    state.forget(Millis(400));
    assert!(state.limit(Millis(400), true).is_some());
}

/// Guards against a late answer, or an old entry of the list, that ends the limit.
#[test]
fn an_older_value_does_not_end_the_limit() {
    let mut state = warm(11);
    state.record_check(Millis(2_200), Millis(2_190), 900);
    state.record_check(Millis(2_210), Millis(2_100), 0);
    state.record_entry(Millis(2_220), 0);
    assert!(state.limit(Millis(2_220), true).is_some());
    state.record_check(Millis(2_300), Millis(2_290), 0);
    assert_eq!(state.limit(Millis(2_300), true), None);
}

#[test]
fn the_limit_ends_by_time_and_holds_for_a_busy_backend_server_without_recent_checks() {
    let mut state = warm(11);
    state.record_check(Millis(2_200), Millis(2_190), 500);
    assert!(state.limit(Millis(2_690), true).is_some());
    assert_eq!(state.limit(Millis(2_700), true), None);
    assert_eq!(state.limit(Millis(3_300), true), None);
    for at in 0..6 {
        state.record_sent(Millis(3_300 + at));
    }
    assert!(state.limit(Millis(3_310), true).is_some());
    assert_eq!(state.limit(Millis(3_310), false), None);
}

/// Guards against a busy backend server that turns cold and gets what was allowed before, plus what
/// is allowed now, within one second.
#[rstest]
fn in_any_second_a_cold_backend_server_gets_few_requests(
    #[values(4, 11, 40)] per_s: u32,
    #[values(0, 37, 149)] offset_ms: u64,
    #[values(3, 10, 25)] gap_ms: u64,
) {
    let mut state = warm(per_s);
    let mut limiter = RateLimiter::default();
    let cold_from = 5_000 + offset_ms;
    let cold_until = cold_from + DURATION_MS;
    let mut sent = Vec::new();
    let mut limited = false;
    for at in 2_000..cold_until {
        let now = Millis(at);
        if at % CHECK_MS == 0 {
            state.record_check(now, now, if at >= cold_from { cold_until - at } else { 0 });
        }
        let limit = state.limit(now, true);
        limiter.set_limit(now, limit);
        if let Some(rate) = limit.filter(|_| !limited) {
            limiter.set_start(state.limit_start(now, rate));
        }
        limited = limit.is_some();
        if at % gap_ms == 0 && limiter.try_take(now) {
            state.record_sent(now);
            sent.extend((at >= cold_from).then_some(at));
        }
    }
    let before_check = CHECK_MS / gap_ms + 1;
    let allowed = u64::from(per_s) * 3 / 2 + 8;
    for (index, start) in sent.iter().enumerate() {
        let within = sent[index..].iter().take_while(|at| **at < start + 1_000);
        let count = within.count() as u64;
        assert!(
            count <= allowed.max(before_check),
            "{count} requests from {start} on"
        );
    }
    let last = sent.iter().filter(|at| **at >= cold_until - 1_500).count() as u64;
    let offered = 1_500 / gap_ms;
    let expected = (u64::from(per_s) * 3 / 2).min(offered);
    assert!(last + 2 >= expected, "{last} of {expected} are sent");
}
