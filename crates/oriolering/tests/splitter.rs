//! Tests of the shares of a route's parts.

use oriolering::{Route, RouteKind, TrafficSplitter, WeightedService};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn route(name: &str, weights: &[u32]) -> Route {
    let part = |(i, weight): (usize, &u32)| WeightedService {
        service: format!("s{i}").into(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        aim_ms: 200,
        attempts: 2,
        priority: 0,
        parts: weights.iter().enumerate().map(part).collect(),
    }
}

fn choices(weights: &[u32], count: usize, seed: u64) -> Vec<usize> {
    let mut splitter = TrafficSplitter::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let route = route("r", weights);
    (0..count)
        .map(|_| splitter.choose(&route, &mut rng))
        .collect()
}

/// Returns by how many requests the share of `part` in a window differs from its weight.
fn deviation(window: &[usize], weights: &[u32], part: usize) -> f64 {
    let total: u32 = weights.iter().sum();
    let expected = window.len() as f64 * f64::from(weights[part]) / f64::from(total);
    let actual = window.iter().filter(|p| **p == part).count() as f64;
    (actual - expected).abs()
}

#[rstest]
#[case::one(&[5])]
#[case::one_of_no_weight(&[0])]
fn single_part_gets_all_requests(#[case] weights: &[u32]) {
    assert!(choices(weights, 50, 1).iter().all(|p| *p == 0));
}

#[rstest]
#[case::first(&[0, 3, 1])]
#[case::middle(&[2, 0, 7])]
#[case::last(&[1, 1, 0])]
#[case::all_but_one(&[0, 0, 9])]
fn part_without_weight_gets_no_requests(#[case] weights: &[u32]) {
    for seed in 0..50 {
        let choices = choices(weights, 200, seed);
        assert!(choices.iter().all(|p| weights[*p] > 0));
    }
}

#[test]
fn equal_weights_alternate() {
    for seed in 0..20 {
        let choices = choices(&[3, 3], 40, seed);
        assert!(choices.windows(2).all(|pair| pair[0] != pair[1]));
    }
}

#[test]
fn nodes_start_with_different_parts() {
    let first: Vec<usize> = (0..400)
        .map(|seed| choices(&[1_000, 1_000], 1, seed)[0])
        .collect();
    let share = first.iter().filter(|p| **p == 0).count();
    assert!(
        (120..280).contains(&share),
        "{share} of 400 nodes start with the first part"
    );
}

#[test]
fn first_requests_of_many_nodes_follow_the_weights() {
    let weights = [9_u32, 1];
    let nodes = 600;
    let all: Vec<usize> = (0..nodes)
        .flat_map(|seed| choices(&weights, 3, seed))
        .collect();
    let share = all.iter().filter(|p| **p == 1).count() as f64 / all.len() as f64;
    assert!(
        (0.05..0.15).contains(&share),
        "the part with a weight of one tenth got a share of {share:.3}"
    );
}

#[test]
fn routes_are_split_independently() {
    let mut splitter = TrafficSplitter::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let (one, other) = (route("one", &[1, 1]), route("other", &[1, 1]));
    let mut counts = [0, 0];
    for _ in 0..100 {
        counts[splitter.choose(&one, &mut rng)] += 1;
        splitter.choose(&other, &mut rng);
        splitter.choose(&other, &mut rng);
    }
    assert_eq!(counts, [50, 50]);
}

#[test]
fn new_weights_apply_from_the_next_request() {
    let mut splitter = TrafficSplitter::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let (before, after) = (route("r", &[99, 1]), route("r", &[1, 9]));
    for _ in 0..1_000 {
        splitter.choose(&before, &mut rng);
    }
    let window: Vec<usize> = (0..20).map(|_| splitter.choose(&after, &mut rng)).collect();
    assert!(deviation(&window, &[1, 9], 0) <= 1.0);
}

fn weights(parts: std::ops::Range<usize>) -> impl Strategy<Value = Vec<u32>> {
    let all = prop::collection::vec(0..50_u32, parts);
    all.prop_filter("some weight", |w| w.iter().any(|w| *w > 0))
}

proptest! {
    #[test]
    fn two_parts_deviate_by_at_most_one_request_in_any_window(
        weights in weights(2..3),
        seed: u64,
        from in 0..300_usize,
        length in 1..200_usize,
    ) {
        let choices = choices(&weights, from + length, seed);
        for part in 0..weights.len() {
            let diff = deviation(&choices[from..], &weights, part);
            prop_assert!(diff <= 1.0 + 1e-9, "part {part} is off by {diff:.2} requests");
        }
    }

    #[test]
    fn more_parts_deviate_by_at_most_two_requests_in_any_window(
        weights in weights(3..6),
        seed: u64,
        from in 0..300_usize,
        length in 1..200_usize,
    ) {
        let choices = choices(&weights, from + length, seed);
        for part in 0..weights.len() {
            let diff = deviation(&choices[from..], &weights, part);
            prop_assert!(diff <= 2.0 + 1e-9, "part {part} is off by {diff:.2} requests");
        }
    }
}
