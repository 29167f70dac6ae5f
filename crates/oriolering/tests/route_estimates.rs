//! The learned durations of routes.

use oriolering::RouteEstimates;
use rstest::rstest;

const ROUTE: u64 = 7;

fn learned(samples: impl IntoIterator<Item = (u64, u32)>) -> u64 {
    let mut times = RouteEstimates::default();
    for (ms, percent) in samples {
        times.record_duration(ROUTE, ms, percent);
    }
    times.duration_ms(ROUTE, 800)
}

#[rstest]
#[case::short_aim(100, 25)]
#[case::long_aim(60_000, 200)]
fn a_route_without_samples_is_guessed_from_its_aim(#[case] aim_ms: u64, #[case] expected: u64) {
    assert_eq!(
        RouteEstimates::default().duration_ms(ROUTE, aim_ms),
        expected
    );
}

#[rstest]
#[case::usual(67, 100, 67)]
#[case::slow(268, 400, 67)]
#[case::fast_counts_as_usual(67, 50, 67)]
#[case::under_a_millisecond(0, 100, 1)]
fn the_first_sample_is_taken_whole(#[case] ms: u64, #[case] percent: u32, #[case] expected: u64) {
    assert_eq!(learned([(ms, percent)]), expected);
}

#[test]
fn a_lasting_change_is_learned_within_some_twenty_samples() {
    let before = std::iter::repeat_n((50, 100), 50);
    let after = std::iter::repeat_n((150, 100), 20);
    let estimate = learned(before.chain(after));
    assert!((140..=150).contains(&estimate), "learned {estimate} ms");
}

#[test]
fn a_single_odd_sample_moves_the_estimate_by_an_eighth() {
    let estimate = learned(std::iter::repeat_n((80, 100), 50).chain([(160, 100)]));
    assert!((88..=90).contains(&estimate), "learned {estimate} ms");
}

#[test]
fn routes_are_learned_apart() {
    let mut times = RouteEstimates::default();
    times.record_duration(1, 10, 100);
    times.record_duration(2, 90, 100);
    assert_eq!((times.duration_ms(1, 0), times.duration_ms(2, 0)), (10, 90));
}

#[test]
fn very_many_routes_do_not_grow_the_memory_without_bound() {
    let mut times = RouteEstimates::default();
    for route in 0..100_000 {
        times.record_duration(route, 10, 100);
    }
    assert_eq!(times.duration_ms(99_999, 800), 10);
    assert_eq!(times.duration_ms(0, 800), 200);
}
