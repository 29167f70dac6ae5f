//! Estimated durations of routes.

use oriolering::{Millis, RouteEstimates};
use rstest::rstest;

const ROUTE: u64 = 7;
const NOW: Millis = Millis(10_000);

/// Returns the estimate after samples of a duration and a work percentage.
fn estimate_after(samples: impl IntoIterator<Item = (u64, u32)>) -> u64 {
    let mut times = RouteEstimates::default();
    for (ms, percent) in samples {
        times.record_duration(NOW, ROUTE, ms, percent);
    }
    times.duration_ms(ROUTE, 800)
}

#[rstest]
#[case::short_aim(100, 25)]
#[case::long_aim(60_000, 200)]
fn a_route_without_samples_is_estimated_from_its_target_latency(
    #[case] aim_ms: u64,
    #[case] expected: u64,
) {
    assert_eq!(
        RouteEstimates::default().duration_ms(ROUTE, aim_ms),
        expected
    );
}

#[rstest]
#[case::usual(67, 100, 67)]
#[case::slow_server(268, 400, 67)]
#[case::fast_server_counts_as_usual(67, 50, 67)]
#[case::under_a_millisecond(0, 100, 1)]
fn the_first_sample_becomes_the_estimate(
    #[case] ms: u64,
    #[case] percent: u32,
    #[case] expected: u64,
) {
    assert_eq!(estimate_after([(ms, percent)]), expected);
}

#[test]
fn a_lasting_change_is_learned_within_twenty_samples() {
    let before = std::iter::repeat_n((50, 100), 50);
    let after = std::iter::repeat_n((150, 100), 20);
    let estimate = estimate_after(before.chain(after));
    assert!((140..=150).contains(&estimate), "estimated {estimate} ms");
}

#[test]
fn a_single_outlier_moves_the_estimate_by_an_eighth() {
    let estimate = estimate_after(std::iter::repeat_n((80, 100), 50).chain([(160, 100)]));
    assert!((88..=90).contains(&estimate), "estimated {estimate} ms");
}

#[test]
fn routes_have_separate_estimates() {
    let mut times = RouteEstimates::default();
    times.record_duration(NOW, 1, 10, 100);
    times.record_duration(NOW, 2, 90, 100);
    assert_eq!((times.duration_ms(1, 0), times.duration_ms(2, 0)), (10, 90));
}

#[test]
fn the_number_of_estimates_is_bounded() {
    let mut times = RouteEstimates::default();
    for route in 0..100_000 {
        times.record_duration(NOW, route, 10, 100);
    }
    assert_eq!(times.duration_ms(99_999, 800), 10);
    assert_eq!(times.duration_ms(0, 800), 200);
}

/// Returns estimates of a route whose requests took 800 ms until [`NOW`].
fn slow_route() -> RouteEstimates {
    let mut times = RouteEstimates::default();
    times.record_duration(NOW, ROUTE, 800, 100);
    times
}

#[rstest]
#[case::recent_sample(999, 200, None)]
#[case::outdated(1_000, 200, Some(50))]
#[case::long_target(1_000, 60_000, Some(200))]
fn a_trial_is_due_when_the_estimate_may_be_outdated(
    #[case] age_ms: u64,
    #[case] aim_ms: u64,
    #[case] expected: Option<u64>,
) {
    assert_eq!(slow_route().trial_ms(NOW + age_ms, ROUTE, aim_ms), expected);
}

#[test]
fn no_trial_is_due_below_the_estimate_of_an_unknown_route() {
    let mut times = RouteEstimates::default();
    assert_eq!(times.trial_ms(NOW, ROUTE, 800), None);
    times.record_duration(NOW, ROUTE, 50, 100);
    assert_eq!(times.trial_ms(NOW + 60_000, ROUTE, 800), None);
}

#[test]
fn trials_without_a_response_are_few() {
    let mut times = slow_route();
    let mut trials = 0;
    for ms in 1_000..11_000 {
        if times.trial_ms(NOW + ms, ROUTE, 200).is_some() {
            times.record_trial(NOW + ms, ROUTE);
            trials += 1;
        }
    }
    assert_eq!(trials, 20);
}

#[test]
fn the_response_to_a_trial_moves_the_estimate_by_a_half() {
    let mut times = slow_route();
    times.record_trial(NOW + 1_000, ROUTE);
    times.record_duration(NOW + 1_060, ROUTE, 60, 100);
    assert_eq!(times.duration_ms(ROUTE, 200), 430);
    times.record_duration(NOW + 1_120, ROUTE, 60, 100);
    assert_eq!(times.duration_ms(ROUTE, 200), 383);
}

#[rstest]
#[case::first_sample(None, 800, 100, 800)]
#[case::slow_server(None, 800, 400, 200)]
#[case::longer_than_estimated(Some(80), 800, 100, 170)]
#[case::shorter_than_estimated(Some(900), 100, 100, 900)]
fn a_request_that_ends_at_its_deadline_raises_the_estimate(
    #[case] before_ms: Option<u64>,
    #[case] ran_ms: u64,
    #[case] percent: u32,
    #[case] expected: u64,
) {
    let mut times = RouteEstimates::default();
    if let Some(ms) = before_ms {
        times.record_duration(NOW, ROUTE, ms, 100);
    }
    times.record_unfinished(NOW, ROUTE, ran_ms, percent);
    assert_eq!(times.duration_ms(ROUTE, 800), expected);
}

/// Guards against callers with long deadlines that are refused because of those with short ones.
#[test]
fn requests_that_end_at_their_deadlines_show_no_more_than_their_time() {
    let mut times = RouteEstimates::default();
    times.record_duration(NOW, ROUTE, 60, 100);
    times.record_unfinished(NOW, ROUTE, 300, 100);
    assert_eq!(times.duration_ms(ROUTE, 800), 90);
    for _ in 0..100 {
        times.record_unfinished(NOW, ROUTE, 300, 100);
        times.record_unfinished(NOW, ROUTE, 100, 100);
    }
    assert_eq!(times.duration_ms(ROUTE, 800), 300);
}

/// Guards against a route whose requests are all sent as trials although none ends in time, and
/// against one that has no trials any more.
#[rstest]
#[case::soon(1_999, 800, false)]
#[case::soon_with_more_time(1_600, 1_500, true)]
#[case::later(2_000, 800, true)]
fn a_trial_that_ends_at_its_deadline_delays_the_next_one(
    #[case] after_ms: u64,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let mut times = slow_route();
    let sent = NOW + 1_000;
    assert!(times.is_trial_useful(sent, ROUTE, 800));
    times.record_trial(sent, ROUTE);
    times.record_unfinished(sent + 799, ROUTE, 799, 100);
    let now = sent + after_ms;
    assert_eq!(times.is_trial_useful(now, ROUTE, left_ms), expected);
    times.record_duration(now, ROUTE, 60, 100);
    assert!(times.is_trial_useful(now, ROUTE, 800));
}
