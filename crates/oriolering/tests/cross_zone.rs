//! Whether a request leaves its availability zone.

use oriolering::{
    CrossZoneCost, GateLoad, Millis, Placement, RequestCost, ServerEstimate, choose_server,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: Millis = Millis(10_000);
const SLOTS: u32 = 10;
/// A lookup with a small answer.
const LOAD: RequestCost = RequestCost {
    work_ms: 60,
    bytes: 1_500,
    aim_ms: 200,
};
const DRAWS: u64 = 400;

fn site(far: bool, running: u32, work_percent: u32) -> ServerEstimate {
    let mut site = ServerEstimate::new(NOW, SLOTS, far);
    site.update_load(
        NOW,
        GateLoad {
            running,
            waiting: 0,
            capacity: SLOTS,
            work_percent,
            ..GateLoad::default()
        },
    );
    site
}

fn near(running: u32, work_percent: u32) -> ServerEstimate {
    site(false, running, work_percent)
}

fn far(running: u32, work_percent: u32) -> ServerEstimate {
    site(true, running, work_percent)
}

fn place(
    load: RequestCost,
    crossing: CrossZoneCost,
    sites: &[ServerEstimate],
    seed: u64,
) -> Option<Placement> {
    let mut rng = SmallRng::seed_from_u64(seed);
    choose_server(NOW, load, crossing, sites.iter().enumerate(), &mut rng)
}

/// Returns how many of a hundred requests leave their zone.
fn leave_percent(load: RequestCost, sites: &[ServerEstimate]) -> u64 {
    let leaves = |seed| {
        let place = place(load, CrossZoneCost::DEFAULT, sites, seed).expect("a place");
        sites[place.index].other_zone
    };
    (0..DRAWS).filter(|seed| leaves(*seed)).count() as u64 * 100 / DRAWS
}

#[test]
fn all_stay_while_their_zone_is_as_good_as_others() {
    assert_eq!(
        leave_percent(LOAD, &[near(4, 100), far(4, 100), far(0, 100)]),
        0
    );
}

#[rstest]
#[case::busy(near(9, 100))]
#[case::a_quarter_slower(near(0, 125))]
fn all_stay_while_their_zone_is_a_little_worse(#[case] own: ServerEstimate) {
    assert_eq!(leave_percent(LOAD, &[own, far(0, 100), far(0, 100)]), 0);
}

#[rstest]
#[case::much_slower(near(0, 400))]
#[case::a_long_queue(near(4 * SLOTS, 100))]
fn all_leave_a_zone_in_which_the_objective_is_missed(#[case] own: ServerEstimate) {
    assert_eq!(leave_percent(LOAD, &[own, far(0, 100), far(0, 100)]), 100);
}

#[test]
fn they_leave_a_filling_zone_little_by_little() {
    let others = [far(0, 100), far(0, 100), far(0, 100)];
    let shares: Vec<u64> = (0..4 * SLOTS)
        .map(|busy| leave_percent(LOAD, &[&[near(busy, 100)][..], &others].concat()))
        .collect();
    assert!(shares.is_sorted(), "{shares:?}");
    let partly = shares.iter().filter(|share| (1..100).contains(*share));
    assert!(partly.count() >= 2, "{shares:?}");
}

#[test]
fn nothing_holds_back_who_has_no_backend_server_in_the_zone() {
    let sites = [far(5, 100), far(0, 100)];
    assert_eq!(leave_percent(LOAD, &sites), 100);
    let chosen = place(LOAD, CrossZoneCost::DEFAULT, &sites, 1).expect("a place");
    assert_eq!(chosen.expected_ms, far(0, 100).expected_ms(NOW, LOAD));
    assert_eq!(
        chosen.next_best_ms,
        Some(far(5, 100).expected_ms(NOW, LOAD))
    );
}

#[test]
fn nothing_holds_back_who_has_missed_the_objective() {
    let late = RequestCost { aim_ms: 0, ..LOAD };
    assert_eq!(leave_percent(late, &[near(0, 150), far(0, 100)]), 100);
}

#[test]
fn the_gate_is_told_what_leaving_is_worth() {
    let sites = [near(4, 100), far(0, 100)];
    let chosen = place(LOAD, CrossZoneCost::DEFAULT, &sites, 1).expect("a place");
    assert_eq!(chosen.index, 0);
    let there = far(0, 100).expected_ms(NOW, LOAD);
    let margin = CrossZoneCost::DEFAULT.margin_ms(LOAD, chosen.expected_ms);
    assert!(margin > 10, "{margin}");
    assert_eq!(chosen.next_best_ms, Some(there + margin));
}

#[test]
fn at_zero_the_zone_counts_by_its_way_alone() {
    let ignores = CrossZoneCost { kilobyte_ms: 0 };
    assert_eq!(ignores.margin_ms(LOAD, 0), 0);
    let sites = [near(0, 150), far(0, 100)];
    let chosen = place(LOAD, ignores, &sites, 1).expect("a place");
    assert_eq!(chosen.index, 1);
}

proptest! {
    #[test]
    fn staying_never_costs_the_objective(
        work_ms in 1..5_000_u64,
        bytes in 0..u64::MAX,
        aim_ms in 0..60_000_u64,
        near_ms in 0..60_000_u64,
        kilobyte_ms in 0..=CrossZoneCost::KILOBYTE_MAX_MS,
    ) {
        let load = RequestCost { work_ms, bytes, aim_ms };
        let margin = CrossZoneCost { kilobyte_ms }.margin_ms(load, near_ms);
        prop_assert!(margin == 0 || near_ms + margin < aim_ms);
    }

    #[test]
    fn the_margin_falls_as_the_zone_gets_worse(
        bytes in 0..1_000_000_u64,
        aim_ms in 0..10_000_u64,
        near_ms in 0..10_000_u64,
        more_ms in 0..1_000_u64,
    ) {
        let load = RequestCost { work_ms: 60, bytes, aim_ms };
        let margin = |ms| CrossZoneCost::DEFAULT.margin_ms(load, ms);
        prop_assert!(margin(near_ms + more_ms) <= margin(near_ms));
    }
}
