//! Tests of the margin by which a request prefers its own availability zone.

use oriolering::{
    CrossZoneCost, GateLoad, Millis, Placement, RequestCost, ServerEstimate, choose_server,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: Millis = Millis(10_000);
const SLOTS: u32 = 10;
/// A short request with a small response.
const COST: RequestCost = RequestCost {
    work_ms: 60,
    bytes: 1_500,
    aim_ms: 200,
};
const SEEDS: u64 = 400;

fn estimate(other_zone: bool, running: u32, work_percent: u32) -> ServerEstimate {
    let mut server = ServerEstimate::new(NOW, SLOTS, other_zone);
    server.update_load(
        NOW,
        GateLoad {
            running,
            waiting: 0,
            capacity: SLOTS,
            work_percent,
            ..GateLoad::default()
        },
    );
    server
}

fn local(running: u32, work_percent: u32) -> ServerEstimate {
    estimate(false, running, work_percent)
}

fn remote(running: u32, work_percent: u32) -> ServerEstimate {
    estimate(true, running, work_percent)
}

fn choose(
    cost: RequestCost,
    cross_zone: CrossZoneCost,
    servers: &[ServerEstimate],
    seed: u64,
) -> Option<Placement> {
    let mut rng = SmallRng::seed_from_u64(seed);
    choose_server(NOW, cost, cross_zone, servers.iter().enumerate(), &mut rng)
}

/// Returns the percentage of requests that leave their zone.
fn percent_leaving(cost: RequestCost, servers: &[ServerEstimate]) -> u64 {
    let leaves = |seed| {
        let chosen = choose(cost, CrossZoneCost::DEFAULT, servers, seed)
            .expect("a backend server is chosen");
        servers[chosen.index].other_zone
    };
    (0..SEEDS).filter(|seed| leaves(*seed)).count() as u64 * 100 / SEEDS
}

#[test]
fn requests_stay_in_a_zone_as_good_as_others() {
    assert_eq!(
        percent_leaving(COST, &[local(4, 100), remote(4, 100), remote(0, 100)]),
        0
    );
}

#[rstest]
#[case::busy(local(9, 100))]
#[case::a_quarter_slower(local(0, 125))]
fn requests_stay_in_a_slightly_slower_zone(#[case] own: ServerEstimate) {
    assert_eq!(
        percent_leaving(COST, &[own, remote(0, 100), remote(0, 100)]),
        0
    );
}

#[rstest]
#[case::much_slower(local(0, 400))]
#[case::a_long_queue(local(4 * SLOTS, 100))]
fn requests_leave_a_zone_that_misses_the_objective(#[case] own: ServerEstimate) {
    assert_eq!(
        percent_leaving(COST, &[own, remote(0, 100), remote(0, 100)]),
        100
    );
}

#[test]
fn requests_leave_a_zone_gradually_as_it_fills() {
    let others = [remote(0, 100), remote(0, 100), remote(0, 100)];
    let shares: Vec<u64> = (0..4 * SLOTS)
        .map(|busy| percent_leaving(COST, &[&[local(busy, 100)][..], &others].concat()))
        .collect();
    assert!(shares.is_sorted(), "{shares:?}");
    let partly = shares.iter().filter(|share| (1..100).contains(*share));
    assert!(partly.count() >= 2, "{shares:?}");
}

#[test]
fn no_margin_without_a_local_backend_server() {
    let servers = [remote(5, 100), remote(0, 100)];
    assert_eq!(percent_leaving(COST, &servers), 100);
    let chosen =
        choose(COST, CrossZoneCost::DEFAULT, &servers, 1).expect("a backend server is chosen");
    assert_eq!(chosen.expected_ms, remote(0, 100).expected_ms(NOW, COST));
    assert_eq!(
        chosen.next_best_ms,
        Some(remote(5, 100).expected_ms(NOW, COST))
    );
}

#[test]
fn no_margin_after_the_objective_is_missed() {
    let late = RequestCost { aim_ms: 0, ..COST };
    assert_eq!(percent_leaving(late, &[local(0, 150), remote(0, 100)]), 100);
}

#[test]
fn next_best_estimate_includes_the_margin() {
    let servers = [local(4, 100), remote(0, 100)];
    let chosen =
        choose(COST, CrossZoneCost::DEFAULT, &servers, 1).expect("a backend server is chosen");
    assert_eq!(chosen.index, 0);
    let there = remote(0, 100).expected_ms(NOW, COST);
    let margin = CrossZoneCost::DEFAULT.margin_ms(COST, chosen.expected_ms);
    assert!(margin > 10, "{margin}");
    assert_eq!(chosen.next_best_ms, Some(there + margin));
}

#[test]
fn zero_cost_gives_no_margin() {
    let zero_cost = CrossZoneCost { kilobyte_ms: 0 };
    assert_eq!(zero_cost.margin_ms(COST, 0), 0);
    let servers = [local(0, 150), remote(0, 100)];
    let chosen = choose(COST, zero_cost, &servers, 1).expect("a backend server is chosen");
    assert_eq!(chosen.index, 1);
}

proptest! {
    #[test]
    fn margin_never_causes_a_missed_objective(
        work_ms in 1..5_000_u64,
        bytes in 0..u64::MAX,
        aim_ms in 0..60_000_u64,
        local_ms in 0..60_000_u64,
        kilobyte_ms in 0..=CrossZoneCost::KILOBYTE_MAX_MS,
    ) {
        let cost = RequestCost { work_ms, bytes, aim_ms };
        let margin = CrossZoneCost { kilobyte_ms }.margin_ms(cost, local_ms);
        prop_assert!(margin == 0 || local_ms + margin < aim_ms);
    }

    #[test]
    fn margin_does_not_grow_with_the_local_estimate(
        bytes in 0..1_000_000_u64,
        aim_ms in 0..10_000_u64,
        local_ms in 0..10_000_u64,
        added_ms in 0..1_000_u64,
    ) {
        let cost = RequestCost { work_ms: 60, bytes, aim_ms };
        let margin = |ms| CrossZoneCost::DEFAULT.margin_ms(cost, ms);
        prop_assert!(margin(local_ms + added_ms) <= margin(local_ms));
    }
}
