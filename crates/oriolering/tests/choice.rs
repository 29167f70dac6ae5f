//! The choice of a backend server.

use oriolering::{
    AttemptResult, Candidate, ChoiceSettings, Chooser, LoadHint, Millis, Policy, ServerClass,
    ServerKey, ZoneKey,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SERVED: AttemptResult = AttemptResult::Served { latency_us: 10_000 };
const FAILED: AttemptResult = AttemptResult::Failed { latency_us: 500 };

fn candidate(i: u32) -> Candidate {
    Candidate {
        server: ServerKey(i),
        id_hash: u64::from(i) + 100,
        zone: ZoneKey(0),
        leaving: false,
        new_incarnation: false,
    }
}

fn candidates(count: u32) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

fn settings(policy: Policy) -> ChoiceSettings {
    ChoiceSettings {
        policy,
        subset_size: 0,
        ramp_ms: 1000,
        zone: ZoneKey(0),
        node_hash: 1,
    }
}

fn chooser(policy: Policy, candidates: &[Candidate]) -> Chooser {
    let mut chooser = Chooser::new(settings(policy));
    chooser.update(Millis(0), candidates);
    chooser
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

fn hint(running: u32) -> LoadHint {
    LoadHint {
        running,
        queued: 0,
        limit: 12,
        latency_us: 10_000,
        leaving: false,
    }
}

fn class_of(chooser: &Chooser, now: Millis, server: u32) -> ServerClass {
    chooser.explain(now)[server as usize].class
}

/// Sends a request each millisecond from `from` to `to`, ends each at once as `answer` says,
/// and returns the requests that each backend server got.
fn drive(
    chooser: &mut Chooser,
    from: u64,
    to: u64,
    answer: impl Fn(ServerKey) -> AttemptResult,
) -> Vec<u32> {
    let mut counts = vec![0; chooser.explain(Millis(from)).len()];
    let mut rng = rng();
    for ms in from..to {
        let now = Millis(ms);
        let server = chooser.pick(now, &mut rng, &[]).expect("some take work");
        counts[server.0 as usize] += 1;
        chooser.finish(now, server, answer(server));
    }
    counts
}

#[rstest]
fn every_policy_chooses_only_what_is_open(
    #[values(
        Policy::Adaptive,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices
    )]
    policy: Policy,
) {
    let mut list = candidates(4);
    list[0].leaving = true;
    let mut chooser = chooser(policy, &list);
    let mut rng = rng();
    let exclude = [ServerKey(1)];
    for ms in 0..100 {
        let server = chooser.pick(Millis(ms), &mut rng, &exclude);
        assert!(matches!(server, Some(ServerKey(2 | 3))), "{server:?}");
    }
    let all: Vec<ServerKey> = list.iter().map(|c| c.server).collect();
    assert_eq!(chooser.pick(Millis(0), &mut rng, &all), None);
    chooser.update(Millis(0), &[]);
    assert_eq!(chooser.pick(Millis(0), &mut rng, &[]), None);
}

#[rstest]
#[case(SERVED)]
#[case(FAILED)]
#[case(AttemptResult::Refused)]
#[case(AttemptResult::NoResponse)]
#[case(AttemptResult::Cancelled)]
fn each_end_frees_one_request_in_flight(#[case] end: AttemptResult) {
    let mut chooser = chooser(Policy::Adaptive, &candidates(1));
    let mut rng = rng();
    for _ in 0..3 {
        chooser.pick(Millis(0), &mut rng, &[]);
    }
    assert_eq!(chooser.explain(Millis(0))[0].inflight, 3);
    chooser.finish(Millis(10), ServerKey(0), end);
    assert_eq!(chooser.explain(Millis(10))[0].inflight, 2);
}

#[test]
fn knowledge_of_those_that_stay_is_kept() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    let server = chooser
        .pick(Millis(0), &mut rng(), &[])
        .expect("two are open");
    chooser.update(Millis(1), &[]);
    assert_eq!(
        chooser.explain(Millis(1)).len(),
        1,
        "one has a request in flight"
    );
    chooser.update(Millis(2), &candidates(2));
    let inflight: u32 = chooser.explain(Millis(2)).iter().map(|e| e.inflight).sum();
    assert_eq!(inflight, 1);
    chooser.finish(Millis(10), server, SERVED);
    chooser.finish(Millis(10), server, SERVED);
    let inflight: u32 = chooser.explain(Millis(10)).iter().map(|e| e.inflight).sum();
    assert_eq!(inflight, 0);
}

#[test]
fn equal_servers_get_equal_shares() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    let counts = drive(&mut chooser, 0, 1000, |_| SERVED);
    assert_eq!(counts, [200; 5]);
}

#[test]
fn leaving_hint_ends_new_work() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    let leaving = LoadHint {
        leaving: true,
        ..hint(3)
    };
    chooser.hint(Millis(0), ServerKey(0), leaving);
    assert_eq!(drive(&mut chooser, 0, 100, |_| SERVED), [0, 100]);
    chooser.hint(Millis(100), ServerKey(0), hint(3));
    assert_eq!(
        class_of(&chooser, Millis(100), 0),
        ServerClass::Leaving,
        "late report"
    );
    let mut list = candidates(2);
    list[0].new_incarnation = true;
    chooser.update(Millis(100), &list);
    assert_eq!(class_of(&chooser, Millis(100), 0), ServerClass::Ramping);
}

#[test]
fn leaving_hint_that_misled_is_forgotten() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    let leaving = LoadHint {
        leaving: true,
        ..hint(3)
    };
    chooser.hint(Millis(0), ServerKey(0), leaving);
    assert_eq!(drive(&mut chooser, 2_900, 2_910, |_| SERVED), [0, 10]);
    let counts = drive(&mut chooser, 3_100, 3_200, |_| SERVED);
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn new_incarnation_gets_a_growing_share() {
    let mut list = candidates(2);
    let mut chooser = chooser(Policy::Adaptive, &list);
    list[0].new_incarnation = true;
    chooser.update(Millis(0), &list);
    let mut rng = rng();
    for _ in 0..22 {
        chooser.pick(Millis(100), &mut rng, &[]);
    }
    let inflight: Vec<u32> = chooser
        .explain(Millis(100))
        .iter()
        .map(|e| e.inflight)
        .collect();
    assert_eq!(inflight, [7, 15], "half a share");
    assert_eq!(class_of(&chooser, Millis(100), 0), ServerClass::Ramping);
    assert_eq!(class_of(&chooser, Millis(1000), 0), ServerClass::Cold);
}

#[test]
fn straggler_loses_its_share_and_gets_it_back() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    drive(&mut chooser, 0, 100, |_| SERVED);
    let slow = |server| match server {
        ServerKey(0) => AttemptResult::Served {
            latency_us: 100_000,
        },
        ServerKey(_) => SERVED,
    };
    let counts = drive(&mut chooser, 100, 1100, slow);
    assert!((1..=5).contains(&counts[0]), "{counts:?}");
    let counts = drive(&mut chooser, 1100, 11_100, slow);
    assert!((1..=15).contains(&counts[0]), "{counts:?}");
    assert_eq!(class_of(&chooser, Millis(11_100), 0), ServerClass::Suspect);
    let counts = drive(&mut chooser, 11_100, 20_100, |_| SERVED);
    assert!(counts[0] > 500, "{counts:?}");
    assert_eq!(class_of(&chooser, Millis(20_100), 0), ServerClass::Cold);
}

#[test]
fn short_pause_makes_no_suspect() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    drive(&mut chooser, 0, 100, |_| SERVED);
    let paused = |server| match server {
        ServerKey(0) => AttemptResult::Served { latency_us: 60_000 },
        ServerKey(_) => SERVED,
    };
    drive(&mut chooser, 100, 150, paused);
    drive(&mut chooser, 150, 1000, |_| SERVED);
    assert_eq!(class_of(&chooser, Millis(1000), 0), ServerClass::Cold);
}

#[test]
fn silence_of_one_turns_requests_to_the_others() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    drive(&mut chooser, 0, 100, |_| SERVED);
    let mut rng = rng();
    for _ in 0..4 {
        chooser.pick(Millis(100), &mut rng, &[]);
    }
    chooser.finish(Millis(130), ServerKey(1), SERVED);
    for _ in 0..4 {
        assert_eq!(chooser.pick(Millis(130), &mut rng, &[]), Some(ServerKey(1)));
    }
}

#[test]
fn long_requests_do_not_concentrate_the_others() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(4));
    drive(&mut chooser, 0, 100, |_| SERVED);
    let mut rng = rng();
    for _ in 0..4 {
        chooser.pick(Millis(100), &mut rng, &[]);
    }
    let mut counts = [0; 4];
    for i in 1..=400 {
        let now = Millis(100 + i * 100);
        let server = chooser.pick(now, &mut rng, &[]).expect("all are open");
        counts[server.0 as usize] += 1;
        chooser.finish(now, server, SERVED);
    }
    assert!(counts.iter().all(|&n| n >= 80), "{counts:?}");
}

#[test]
fn cancelled_requests_leave_nothing_behind() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    let mut rng = rng();
    for ms in 0..1000 {
        let now = Millis(ms);
        chooser.pick(now, &mut rng, &[]);
        let server = chooser.pick(now, &mut rng, &[]).expect("two are open");
        chooser.finish(now, server, AttemptResult::Cancelled);
        if ms % 2 == 1 {
            for i in 0..2 {
                chooser.finish(now, ServerKey(i), SERVED);
            }
        }
    }
    let counts = drive(&mut chooser, 1000, 2000, |_| SERVED);
    assert!(counts[0].abs_diff(counts[1]) <= 10, "{counts:?}");
}

#[test]
fn distance_makes_no_straggler_of_a_fast_service() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    let answer = |server| match server {
        ServerKey(0) => AttemptResult::Served { latency_us: 2300 },
        ServerKey(_) => AttemptResult::Served { latency_us: 400 },
    };
    let mut rng = rng();
    let others = [1, 2, 3, 4].map(ServerKey);
    for ms in 0..1000 {
        let now = Millis(ms);
        for exclude in [&others[..], &[]] {
            let server = chooser.pick(now, &mut rng, exclude).expect("all are open");
            chooser.finish(now, server, answer(server));
        }
    }
    assert_eq!(class_of(&chooser, Millis(1000), 0), ServerClass::Cold);
}

#[test]
fn gates_that_served_nothing_yet_make_no_suspect_of_the_others() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    for i in 0..5 {
        let latency_us = if i == 0 { 10_000 } else { 0 };
        let hint = LoadHint {
            latency_us,
            ..hint(1)
        };
        chooser.hint(Millis(0), ServerKey(i), hint);
    }
    drive(&mut chooser, 0, 1000, |_| SERVED);
    assert_eq!(class_of(&chooser, Millis(1000), 0), ServerClass::Cold);
}

#[test]
fn single_long_answer_costs_little() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    drive(&mut chooser, 0, 100, |_| SERVED);
    let others = [1, 2, 3, 4].map(ServerKey);
    let server = chooser.pick(Millis(100), &mut rng(), &others);
    assert_eq!(server, Some(ServerKey(0)));
    let latency_us = 5_000_000;
    chooser.finish(
        Millis(100),
        ServerKey(0),
        AttemptResult::Served { latency_us },
    );
    let counts = drive(&mut chooser, 100, 5100, |_| SERVED);
    assert!(counts[0] >= 950, "{counts:?}");
}

#[test]
fn fast_failures_do_not_attract_requests() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    let failing = |server| match server {
        ServerKey(0) => FAILED,
        ServerKey(_) => SERVED,
    };
    let counts = drive(&mut chooser, 0, 5000, failing);
    assert!((3..=10).contains(&counts[0]), "{counts:?}");
}

#[rstest]
fn refusals_do_not_attract_requests(#[values(0, 9)] zone: u32) {
    let mut list = candidates(5);
    for candidate in &mut list[1..] {
        candidate.zone = ZoneKey(zone);
    }
    let mut chooser = chooser(Policy::Adaptive, &list);
    let refusing = |server| match server {
        ServerKey(0) => AttemptResult::Refused,
        ServerKey(_) => SERVED,
    };
    let counts = drive(&mut chooser, 0, 5000, refusing);
    assert!((5..=15).contains(&counts[0]), "{counts:?}");
    let counts = drive(&mut chooser, 7000, 8000, |_| SERVED);
    assert!(counts[0] >= 190, "{counts:?}");
}

#[test]
fn refusals_of_all_are_ignored() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    let counts = drive(&mut chooser, 0, 1000, |_| AttemptResult::Refused);
    assert!(
        counts.iter().all(|&n| (150..=250).contains(&n)),
        "{counts:?}"
    );
}

#[test]
fn silence_is_noticed_at_once() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(3));
    let silent = |server| match server {
        ServerKey(0) => AttemptResult::NoResponse,
        ServerKey(_) => SERVED,
    };
    assert_eq!(drive(&mut chooser, 0, 300, silent)[0], 2);
}

#[test]
fn suspicion_of_most_is_ignored() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(5));
    let mut rng = rng();
    for server in [1, 2, 0] {
        let others: Vec<ServerKey> = (0..5).filter(|&i| i != server).map(ServerKey).collect();
        for _ in 0..5 {
            chooser.pick(Millis(0), &mut rng, &others);
            chooser.finish(Millis(0), ServerKey(server), AttemptResult::NoResponse);
        }
        if class_of(&chooser, Millis(0), server) != ServerClass::Suspect {
            break;
        }
    }
    let counts = drive(&mut chooser, 1, 501, |_| SERVED);
    assert!(counts.iter().all(|&n| n <= 260), "{counts:?}");
    assert!(counts.iter().filter(|&&n| n > 0).count() >= 3, "{counts:?}");
}

#[test]
fn many_ingresses_with_one_stale_report_do_not_herd() {
    const INGRESSES: u64 = 40;
    let mut total = [0_u32; 5];
    for node in 0..INGRESSES {
        let mut chooser = Chooser::new(ChoiceSettings {
            node_hash: node,
            ..settings(Policy::Adaptive)
        });
        chooser.update(Millis(0), &candidates(5));
        for i in 0..5 {
            let running = if i == 0 { 0 } else { 10 };
            chooser.hint(Millis(0), ServerKey(i), hint(running));
        }
        let server = chooser
            .pick(Millis(1), &mut rng(), &[])
            .expect("all are open");
        total[server.0 as usize] += 1;
    }
    assert!(total[0] <= 16, "{total:?}");
}

#[test]
fn stale_reports_decay_towards_the_mean() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    chooser.hint(Millis(0), ServerKey(0), hint(12));
    chooser.hint(Millis(0), ServerKey(1), hint(0));
    let load = |now| chooser.explain(Millis(now))[0].load;
    assert_eq!(load(0), 12.0);
    assert!(load(10) < 9.0);
    assert!((load(1000) - 6.0).abs() < 0.01);
}

#[test]
fn reported_overload_sheds_traffic() {
    let mut chooser = chooser(Policy::Adaptive, &candidates(2));
    let mut rng = rng();
    for _ in 0..10 {
        chooser.pick(Millis(0), &mut rng, &[]);
    }
    let overloaded = LoadHint {
        queued: 40,
        ..hint(12)
    };
    chooser.hint(Millis(0), ServerKey(0), overloaded);
    chooser.hint(Millis(0), ServerKey(1), hint(6));
    for _ in 0..2 {
        assert_eq!(chooser.pick(Millis(0), &mut rng, &[]), Some(ServerKey(1)));
    }
}

#[test]
fn own_zone_goes_first_and_spills() {
    let mut list = candidates(4);
    for other in &mut list[2..] {
        other.zone = ZoneKey(1);
    }
    let mut chooser = chooser(Policy::Adaptive, &list);
    let mut rng = rng();
    let mut zones = Vec::new();
    for _ in 0..40 {
        let server = chooser
            .pick(Millis(0), &mut rng, &[])
            .expect("all are open");
        zones.push(server.0 / 2);
    }
    assert!(zones[..15].iter().all(|&zone| zone == 0), "{zones:?}");
    assert_eq!(zones[15], 1, "{zones:?}");
    let inflight: Vec<u32> = chooser
        .explain(Millis(0))
        .iter()
        .map(|e| e.inflight)
        .collect();
    assert_eq!(inflight, [10; 4]);
}
