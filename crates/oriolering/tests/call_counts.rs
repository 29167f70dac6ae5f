//! Tests of the number of calls that a run is expected to make.

use oriolering::{CallCounts, ServiceCalls};

const ROUTE: u64 = 7;

fn calls(made: &[(&str, u32)]) -> ServiceCalls {
    made.iter().map(|(s, n)| ((*s).into(), *n)).collect()
}

fn peak(counts: &CallCounts, service: &str) -> u32 {
    let known = counts.peak_calls(ROUTE).iter();
    let mut named = known.filter(|peak| peak.service == service);
    named.next().map_or(0, |peak| peak.calls)
}

#[test]
fn expects_the_peak_calls_of_recent_runs() {
    let mut counts = CallCounts::default();
    for made in [1, 3, 0, 2] {
        counts.record(ROUTE, &calls(&[("t", made), ("u", 1)]));
    }
    assert_eq!((peak(&counts, "t"), peak(&counts, "u")), (3, 1));
}

#[test]
fn routes_are_tracked_separately() {
    let mut counts = CallCounts::default();
    counts.record(ROUTE + 1, &calls(&[("t", 2)]));
    assert!(counts.peak_calls(ROUTE).is_empty());
}

#[test]
fn fewer_calls_are_expected_after_many_runs_with_fewer() {
    let mut counts = CallCounts::default();
    counts.record(ROUTE, &calls(&[("t", 2)]));
    for _ in 0..1_000 {
        counts.record(ROUTE, &calls(&[("t", 1)]));
    }
    assert_eq!(peak(&counts, "t"), 1);
}

#[test]
fn route_that_stops_making_calls_is_dropped() {
    let mut counts = CallCounts::default();
    counts.record(ROUTE, &calls(&[("t", 1)]));
    for _ in 0..1_000 {
        counts.record(ROUTE, &ServiceCalls::new());
    }
    assert!(counts.peak_calls(ROUTE).is_empty());
}

#[test]
fn number_of_tracked_routes_is_bounded() {
    let mut counts = CallCounts::default();
    for route in 0..10_000 {
        counts.record(route, &calls(&[("t", 1)]));
    }
    let kept = (0..10_000).filter(|route| !counts.peak_calls(*route).is_empty());
    assert!((1..=1_024).contains(&kept.count()));
}
