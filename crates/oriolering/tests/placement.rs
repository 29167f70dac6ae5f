//! What is expected of a backend server, and which one is chosen.

use oriolering::{
    Admission, CrossZoneCost, GateLoad, Job, Millis, Placement, RefusalReason, RequestCost,
    Scheduler, ServerEstimate, choose_server,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: Millis = Millis(10_000);
const LOAD: RequestCost = RequestCost {
    work_ms: 67,
    bytes: 0,
    aim_ms: 200,
};
const SLOTS: u32 = 13;
/// The age from which nothing that was told is believed, in milliseconds.
const LONG_AGO_MS: u64 = 5_000;

fn load(running: u32, waiting: u32, work_percent: u32) -> GateLoad {
    GateLoad {
        running,
        waiting,
        capacity: SLOTS,
        work_percent,
        ..GateLoad::default()
    }
}

fn site(load: GateLoad) -> ServerEstimate {
    let mut site = ServerEstimate::new(NOW, SLOTS, false);
    site.update_load(NOW, load);
    site
}

fn choose(sites: &[ServerEstimate], seed: u64) -> Option<Placement> {
    let mut rng = SmallRng::seed_from_u64(seed);
    choose_server(
        NOW,
        LOAD,
        CrossZoneCost::DEFAULT,
        sites.iter().enumerate(),
        &mut rng,
    )
}

/// Returns how often each site is chosen.
fn shares(sites: &[ServerEstimate]) -> Vec<u32> {
    let mut counts = vec![0; sites.len()];
    for seed in 0..400 {
        counts[choose(sites, seed).expect("a place").index] += 1;
    }
    counts
}

#[test]
fn no_site_is_no_place() {
    assert_eq!(choose(&[], 1), None);
}

#[rstest]
#[case::idle(load(0, 0, 100), load(SLOTS, 0, 100))]
#[case::shorter_queue(load(SLOTS, 2, 100), load(SLOTS, 20, 100))]
#[case::usual_pace(load(2, 0, 100), load(2, 0, 400))]
#[case::slow_but_free_over_very_long_queue(load(0, 0, 400), load(SLOTS, 60, 100))]
#[case::fast_and_full_over_slow_and_free(load(SLOTS, 2, 100), load(0, 0, 400))]
fn the_one_that_ends_clearly_sooner_is_always_chosen(
    #[case] better: GateLoad,
    #[case] worse: GateLoad,
) {
    assert_eq!(shares(&[site(better), site(worse)]), [400, 0]);
    assert_eq!(shares(&[site(worse), site(better)]), [0, 400]);
}

#[test]
fn equal_ones_share_the_requests() {
    let sites = [load(3, 0, 100); 4].map(site);
    let counts = shares(&sites);
    assert!(counts.iter().all(|c| (60..140).contains(c)), "{counts:?}");
}

#[test]
fn what_was_sent_since_the_last_word_counts() {
    let mut sites = [load(0, 0, 100); 2].map(site);
    sites[0].sent = 2 * SLOTS;
    assert_eq!(shares(&sites), [0, 400]);
    sites[0].update_load(NOW, load(0, 0, 100));
    assert_eq!(sites[0].sent, 0);
    assert!(shares(&sites)[0] > 100);
}

#[rstest]
#[case::closed(true, 0)]
#[case::suspect(false, 1)]
fn one_that_is_closed_or_suspect_is_not_chosen(#[case] closed: bool, #[case] suspect_ms: u64) {
    let mut shut = site(GateLoad {
        closed,
        ..load(0, 0, 100)
    });
    shut.avoid_until = Millis(NOW.0 * suspect_ms + suspect_ms);
    assert_eq!(choose(&[shut], 1), None);
    assert_eq!(shares(&[shut, site(load(SLOTS, 30, 400))]), [0, 400]);
}

#[test]
fn one_whose_suspicion_is_over_is_chosen_again() {
    let mut back = site(load(0, 0, 100));
    back.avoid_until = NOW;
    assert!(choose(&[back], 1).is_some());
}

#[test]
fn the_choice_tells_what_is_expected_there_and_at_the_next_best() {
    let (good, fair, bad) = (load(0, 0, 100), load(0, 0, 250), load(0, 0, 400));
    for order in [[good, fair, bad], [bad, fair, good], [fair, bad, good]] {
        let sites = order.map(site);
        let place = choose(&sites, 5).expect("a place");
        let expect = |load| site(load).expected_ms(NOW, LOAD);
        assert_eq!(place.expected_ms, expect(good));
        assert_eq!(place.next_best_ms, Some(expect(fair)));
    }
    assert_eq!(
        choose(&[site(good)], 5).expect("a place").next_best_ms,
        None
    );
}

#[test]
fn a_pace_is_believed_less_and_less() {
    for told in [100, 400] {
        let site = site(load(0, 0, told));
        let paces: Vec<u64> = (0..1_000).map(|age| site.work_percent(NOW + age)).collect();
        assert_eq!(paces[0], u64::from(told));
        let last = site.work_percent(NOW + LONG_AGO_MS);
        assert!((101..400).contains(&last), "nothing is known, so {last}");
        let rises = told < 160;
        let falls_or_rises = |p: &[u64]| if rises { p[0] <= p[1] } else { p[0] >= p[1] };
        assert!(paces.windows(2).all(falls_or_rises));
    }
}

#[test]
fn another_zone_costs_a_little() {
    let near = site(load(2, 0, 100));
    let mut far = near;
    far.other_zone = true;
    let more = far.expected_ms(NOW, LOAD) - near.expected_ms(NOW, LOAD);
    assert!((1..=10).contains(&more), "{more} ms");
}

#[test]
fn failures_turn_requests_away_and_are_forgotten() {
    let mut failing = site(load(0, 0, 100));
    for _ in 0..10 {
        failing.record_result(NOW, true);
    }
    let rate = failing.failure_rate(NOW);
    assert!(rate > 600, "rate {rate}");
    assert_eq!(shares(&[failing, site(load(0, 0, 150))]), [0, 400]);
    assert!(failing.failure_rate(NOW + 20_000) < rate / 100);
    for _ in 0..40 {
        failing.record_result(NOW, false);
    }
    assert!(failing.failure_rate(NOW) < 10);
}

#[test]
fn one_that_always_fails_is_still_chosen_if_it_is_alone() {
    let mut failing = site(load(0, 0, 100));
    for _ in 0..1_000 {
        failing.record_result(NOW, true);
    }
    assert!(choose(&[failing], 1).is_some());
}

fn any_site() -> impl Strategy<Value = ServerEstimate> {
    let load = (
        0..40_u32,
        0..60_u32,
        0..40_u32,
        0..1_000_u32,
        prop::bool::weighted(0.2),
    );
    let rest = (
        0..2_000_u64,
        0..100_u32,
        any::<bool>(),
        prop::collection::vec(any::<bool>(), 0..20),
    );
    let limit = (0..10_000_000_u32, any::<u32>());
    (load, limit, rest).prop_map(
        |((running, waiting, capacity, percent, closed), limit, (age, sent, far, outcomes))| {
            let (gap_us, turn_ms) = limit;
            let mut site = ServerEstimate::new(NOW, capacity, far);
            site.update_load(
                Millis(NOW.0 - age),
                GateLoad {
                    running,
                    waiting,
                    capacity,
                    work_percent: percent,
                    gap_us,
                    turn_ms,
                    closed,
                },
            );
            site.sent = sent;
            outcomes
                .into_iter()
                .for_each(|failed| site.record_result(NOW, failed));
            site
        },
    )
}

proptest! {
    #[test]
    fn an_open_site_is_chosen_if_there_is_one(
        sites in prop::collection::vec(any_site(), 0..12),
        seed: u64,
    ) {
        let open = sites.iter().any(|s| s.is_open(NOW));
        let place = choose(&sites, seed);
        prop_assert_eq!(place.is_some(), open);
        if let Some(place) = place {
            let chosen = &sites[place.index];
            prop_assert!(chosen.is_open(NOW));
            prop_assert_eq!(place.expected_ms, chosen.expected_ms(NOW, LOAD));
        }
    }

    #[test]
    fn the_chosen_one_is_hardly_worse_than_the_best(
        sites in prop::collection::vec(any_site(), 1..12),
        seed: u64,
    ) {
        if let Some(place) = choose(&sites, seed) {
            let open = sites.iter().filter(|s| s.is_open(NOW));
            let best = open.map(|s| s.expected_ms(NOW, LOAD)).min().expect("one is open");
            prop_assert!(place.expected_ms * 100 <= best * 115 + 100);
        }
    }

    #[test]
    fn the_next_best_is_the_least_of_the_others(
        sites in prop::collection::vec(any_site(), 1..12),
        seed: u64,
    ) {
        if let Some(place) = choose(&sites, seed) {
            let others = sites.iter().enumerate().filter(|(i, s)| *i != place.index && s.is_open(NOW));
            let least = others.map(|(_, s)| s.expected_ms(NOW, LOAD)).min();
            prop_assert_eq!(place.next_best_ms, least);
        }
    }

    #[test]
    fn more_work_queue_and_slowness_never_make_a_site_better(
        site in any_site(),
        more in 0..50_u32,
        work_ms in 1..5_000_u64,
        bytes in 0..10_000_000_u64,
    ) {
        let expected = |site: &ServerEstimate, work_ms| site.expected_ms(NOW, RequestCost { work_ms, bytes, ..LOAD });
        let base = expected(&site, work_ms);
        prop_assert!(expected(&site, work_ms + u64::from(more)) >= base);
        let mut worse = site;
        worse.sent += more;
        prop_assert!(expected(&worse, work_ms) >= base);
        let mut slower = site;
        slower.load.work_percent += more * 10;
        prop_assert!(expected(&slower, work_ms) >= base);
    }
}

/// A request that begins at backend servers which have all just started, and take twice as long,
/// while the ingress knows none of it.
#[rstest]
fn a_request_is_not_refused_where_all_are_as_slow(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let sites: Vec<ServerEstimate> = (0..48)
        .map(|_| ServerEstimate::new(NOW, SLOTS, false))
        .collect();
    let mut rooms: Vec<Scheduler> = (0..48).map(|_| Scheduler::new(SLOTS)).collect();
    for room in &mut rooms {
        room.set_work_percent(200);
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut tried, mut away) = (Vec::new(), 0);
    loop {
        let open = sites.iter().enumerate().filter(|(i, _)| !tried.contains(i));
        let place =
            choose_server(NOW, LOAD, CrossZoneCost::DEFAULT, open, &mut rng).expect("a place");
        let job = Job {
            priority: 1,
            aim: NOW + 200,
            deadline: NOW + 800,
            work_ms: LOAD.work_ms,
            elsewhere_ms: place.alternative_ms(away),
        };
        match rooms[place.index].offer(NOW, job) {
            Admission::Start => break,
            Admission::Refuse(RefusalReason::Elsewhere) => away += 1,
            other @ (Admission::Wait(_) | Admission::Refuse(_)) => panic!("{other:?}"),
        }
        tried.push(place.index);
        assert!(away <= 3, "sent away {away} times with all slots free");
    }
}
