//! Tests of the estimate for a backend server and of the choice among backend servers.

use oriolering::{
    Admission, CrossZoneCost, GateLoad, Job, Millis, Placement, RefusalReason, RequestCost,
    Scheduler, ServerEstimate, choose_server, choose_unreported,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: Millis = Millis(10_000);
const COST: RequestCost = RequestCost {
    work_ms: 67,
    bytes: 0,
    aim_ms: 200,
};
const SLOTS: u32 = 13;
/// An age at which a report is no longer used, in milliseconds.
const EXPIRED_MS: u64 = 5_000;

fn load(running: u32, waiting: u32, work_percent: u32) -> GateLoad {
    GateLoad {
        running,
        waiting,
        capacity: SLOTS,
        work_percent,
        ..GateLoad::default()
    }
}

fn estimate(load: GateLoad) -> ServerEstimate {
    let mut server = ServerEstimate::new(NOW, SLOTS, false);
    server.update_load(NOW, load);
    server
}

fn choose(servers: &[ServerEstimate], seed: u64) -> Option<Placement> {
    let mut rng = SmallRng::seed_from_u64(seed);
    choose_server(
        NOW,
        COST,
        CrossZoneCost::DEFAULT,
        servers.iter().enumerate(),
        &mut rng,
    )
}

/// Returns how often each backend server is chosen.
fn choice_counts(servers: &[ServerEstimate]) -> Vec<u32> {
    let mut counts = vec![0; servers.len()];
    for seed in 0..400 {
        counts[choose(servers, seed)
            .expect("a backend server is chosen")
            .index] += 1;
    }
    counts
}

#[test]
fn nothing_is_chosen_without_servers() {
    assert_eq!(choose(&[], 1), None);
}

#[rstest]
#[case::idle(load(0, 0, 100), load(SLOTS, 0, 100))]
#[case::shorter_queue(load(SLOTS, 2, 100), load(SLOTS, 20, 100))]
#[case::usual_duration(load(2, 0, 100), load(2, 0, 400))]
#[case::slow_but_free_over_very_long_queue(load(0, 0, 400), load(SLOTS, 60, 100))]
#[case::fast_and_full_over_slow_and_free(load(SLOTS, 2, 100), load(0, 0, 400))]
fn clearly_faster_server_is_always_chosen(#[case] better: GateLoad, #[case] worse: GateLoad) {
    assert_eq!(
        choice_counts(&[estimate(better), estimate(worse)]),
        [400, 0]
    );
    assert_eq!(
        choice_counts(&[estimate(worse), estimate(better)]),
        [0, 400]
    );
}

#[test]
fn equal_servers_share_the_requests() {
    let servers = [load(3, 0, 100); 4].map(estimate);
    let counts = choice_counts(&servers);
    assert!(counts.iter().all(|c| (60..140).contains(c)), "{counts:?}");
}

#[test]
fn requests_sent_since_the_last_report_count() {
    let mut servers = [load(0, 0, 100); 2].map(estimate);
    servers[0].sent = 2 * SLOTS;
    assert_eq!(choice_counts(&servers), [0, 400]);
    servers[0].update_load(NOW, load(0, 0, 100));
    assert_eq!(servers[0].sent, 0);
    assert!(choice_counts(&servers)[0] > 100);
}

#[rstest]
#[case::closed(true, 0)]
#[case::avoided(false, 1)]
fn closed_or_avoided_server_is_not_chosen(#[case] closed: bool, #[case] avoid_ms: u64) {
    let mut closed_server = estimate(GateLoad {
        closed,
        ..load(0, 0, 100)
    });
    closed_server.avoid_until = Millis(NOW.0 * avoid_ms + avoid_ms);
    assert_eq!(choose(&[closed_server], 1), None);
    assert_eq!(
        choice_counts(&[closed_server, estimate(load(SLOTS, 30, 400))]),
        [0, 400]
    );
}

#[test]
fn server_is_chosen_again_after_it_was_avoided() {
    let mut recovered = estimate(load(0, 0, 100));
    recovered.avoid_until = NOW;
    assert!(choose(&[recovered], 1).is_some());
}

#[test]
fn placement_has_the_estimates_of_the_best_and_the_next_best() {
    let (best, second, worst) = (load(0, 0, 100), load(0, 0, 250), load(0, 0, 400));
    for order in [
        [best, second, worst],
        [worst, second, best],
        [second, worst, best],
    ] {
        let servers = order.map(estimate);
        let place = choose(&servers, 5).expect("a backend server is chosen");
        let expect = |load| estimate(load).expected_ms(NOW, COST);
        assert_eq!(place.expected_ms, expect(best));
        assert_eq!(place.next_best_ms, Some(expect(second)));
    }
    assert_eq!(
        choose(&[estimate(best)], 5)
            .expect("a backend server is chosen")
            .next_best_ms,
        None
    );
}

#[test]
fn reported_work_percent_decays_to_a_default() {
    for reported in [100, 400] {
        let server = estimate(load(0, 0, reported));
        let percents: Vec<u64> = (0..1_000)
            .map(|age| server.work_percent(NOW + age))
            .collect();
        assert_eq!(percents[0], u64::from(reported));
        let last = server.work_percent(NOW + EXPIRED_MS);
        assert!(
            (101..400).contains(&last),
            "{last} percent assumed without a recent report"
        );
        let rises = reported < 160;
        let falls_or_rises = |p: &[u64]| if rises { p[0] <= p[1] } else { p[0] >= p[1] };
        assert!(percents.windows(2).all(falls_or_rises));
    }
}

#[test]
fn other_zone_adds_a_few_milliseconds() {
    let local = estimate(load(2, 0, 100));
    let mut remote = local;
    remote.other_zone = true;
    let more = remote.expected_ms(NOW, COST) - local.expected_ms(NOW, COST);
    assert!((1..=10).contains(&more), "{more} ms");
}

#[test]
fn failures_divert_requests_and_decay() {
    let mut failing = estimate(load(0, 0, 100));
    for _ in 0..10 {
        failing.record_result(NOW, true);
    }
    let rate = failing.failure_rate(NOW);
    assert!(rate > 600, "rate {rate}");
    assert_eq!(
        choice_counts(&[failing, estimate(load(0, 0, 150))]),
        [0, 400]
    );
    assert!(failing.failure_rate(NOW + 20_000) < rate / 100);
    for _ in 0..40 {
        failing.record_result(NOW, false);
    }
    assert!(failing.failure_rate(NOW) < 10);
}

#[test]
fn only_server_is_chosen_even_if_it_always_fails() {
    let mut failing = estimate(load(0, 0, 100));
    for _ in 0..1_000 {
        failing.record_result(NOW, true);
    }
    assert!(choose(&[failing], 1).is_some());
}

fn any_estimate() -> impl Strategy<Value = ServerEstimate> {
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
        |(
            (running, waiting, capacity, percent, closed),
            limit,
            (age, sent, other_zone, outcomes),
        )| {
            let (gap_us, turn_ms) = limit;
            let mut server = ServerEstimate::new(NOW, capacity, other_zone);
            server.update_load(
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
            server.sent = sent;
            outcomes
                .into_iter()
                .for_each(|failed| server.record_result(NOW, failed));
            server
        },
    )
}

proptest! {
    #[test]
    fn an_open_server_is_chosen_if_there_is_one(
        servers in prop::collection::vec(any_estimate(), 0..12),
        seed: u64,
    ) {
        let open = servers.iter().any(|s| s.is_open(NOW));
        let place = choose(&servers, seed);
        prop_assert_eq!(place.is_some(), open);
        if let Some(place) = place {
            let chosen = &servers[place.index];
            prop_assert!(chosen.is_open(NOW));
            prop_assert_eq!(place.expected_ms, chosen.expected_ms(NOW, COST));
        }
    }

    #[test]
    fn chosen_server_is_close_to_the_best(
        servers in prop::collection::vec(any_estimate(), 1..12),
        seed: u64,
    ) {
        if let Some(place) = choose(&servers, seed) {
            let open = servers.iter().filter(|s| s.is_open(NOW));
            let best = open.map(|s| s.expected_ms(NOW, COST)).min().expect("one is open");
            prop_assert!(place.expected_ms * 100 <= best * 115 + 100);
        }
    }

    #[test]
    fn next_best_is_the_lowest_of_the_other_estimates(
        servers in prop::collection::vec(any_estimate(), 1..12),
        seed: u64,
    ) {
        if let Some(place) = choose(&servers, seed) {
            let others = servers
                .iter()
                .enumerate()
                .filter(|(i, s)| *i != place.index && s.is_open(NOW));
            let least = others.map(|(_, s)| s.expected_ms(NOW, COST)).min();
            prop_assert_eq!(place.next_best_ms, least);
        }
    }

    #[test]
    fn more_load_never_lowers_the_estimate(
        server in any_estimate(),
        more in 0..50_u32,
        work_ms in 1..5_000_u64,
        bytes in 0..10_000_000_u64,
    ) {
        let expected = |server: &ServerEstimate, work_ms| server.expected_ms(
            NOW,
            RequestCost { work_ms, bytes, ..COST },
        );
        let base = expected(&server, work_ms);
        prop_assert!(expected(&server, work_ms + u64::from(more)) >= base);
        let mut worse = server;
        worse.sent += more;
        prop_assert!(expected(&worse, work_ms) >= base);
        let mut slower = server;
        slower.load.work_percent += more * 10;
        prop_assert!(expected(&slower, work_ms) >= base);
    }
}

/// All backend servers have just started and are twice as slow as usual, but the ingress has no
/// reports yet. Each gate could refuse the request in favour of the next one.
#[rstest]
fn request_is_accepted_if_all_servers_are_equally_slow(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let servers: Vec<ServerEstimate> = (0..48)
        .map(|_| ServerEstimate::new(NOW, SLOTS, false))
        .collect();
    let mut schedulers: Vec<Scheduler> = (0..48).map(|_| Scheduler::new(SLOTS)).collect();
    for scheduler in &mut schedulers {
        scheduler.set_work_percent(200);
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut tried, mut redirects) = (Vec::new(), 0);
    loop {
        let open = servers
            .iter()
            .enumerate()
            .filter(|(i, _)| !tried.contains(i));
        let place = choose_server(NOW, COST, CrossZoneCost::DEFAULT, open, &mut rng)
            .expect("a backend server is chosen");
        let job = Job {
            priority: 1,
            aim: NOW + 200,
            deadline: NOW + 800,
            work_ms: COST.work_ms,
            elsewhere_ms: place.alternative_ms(redirects),
        };
        match schedulers[place.index].offer(NOW, job) {
            Admission::Start => break,
            Admission::Refuse(RefusalReason::Elsewhere) => redirects += 1,
            other @ (Admission::Wait(_) | Admission::Refuse(_)) => panic!("{other:?}"),
        }
        tried.push(place.index);
        assert!(
            redirects <= 3,
            "redirected {redirects} times with all slots free"
        );
    }
}

/// The estimate of a backend server that was full and slow when it last reported, long ago.
fn outdated() -> ServerEstimate {
    let mut server = estimate(load(SLOTS, 2 * SLOTS, 400));
    server.reported = Millis(NOW.0 - EXPIRED_MS);
    server
}

#[test]
fn an_outdated_report_refuses_no_request_that_may_be_in_time() {
    let servers = [outdated()];
    let chosen = choose_unreported(NOW, COST, COST.work_ms, servers.iter().enumerate());
    let expected = Placement {
        index: 0,
        expected_ms: COST.work_ms,
        next_best_ms: None,
    };
    assert_eq!(chosen, Some(expected));
    let chosen = choose_unreported(NOW, COST, COST.work_ms - 1, servers.iter().enumerate());
    assert_eq!(chosen, None);
}

#[rstest]
#[case::recent_report(|server: &mut ServerEstimate| server.reported = NOW)]
#[case::closed(|server: &mut ServerEstimate| server.load.closed = true)]
#[case::avoided(|server: &mut ServerEstimate| server.avoid_until = NOW + 1)]
fn a_backend_server_whose_state_is_known_is_not_asked(#[case] change: fn(&mut ServerEstimate)) {
    let mut server = outdated();
    change(&mut server);
    assert_eq!(
        choose_unreported(NOW, COST, 60_000, [(0, &server)].into_iter()),
        None
    );
}

#[test]
fn a_backend_server_without_a_report_is_asked_by_few_requests_at_once() {
    let mut server = outdated();
    let mut asked = 0;
    for ms in 0..1_000 {
        let now = NOW + ms;
        if choose_unreported(now, COST, 60_000, [(0, &server)].into_iter()).is_some() {
            server.record_asked(now);
            asked += 1;
        }
    }
    assert_eq!(asked, 10);
}
