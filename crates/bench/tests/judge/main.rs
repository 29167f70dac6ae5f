//! The judge of the soak finds each broken promise, and nothing in what is allowed.

mod load;
mod notices;

use std::collections::HashMap;

use oriolering_bench::soak::client::{Attempt, Reply, Told};
use oriolering_bench::soak::journal::{Configuration, Disruption, Journal, Run};
use oriolering_bench::soak::record::{Entry, Step};
use oriolering_bench::soak::{Rule, judge};
use oriolering_platform::Bounds;
use rstest::rstest;

/// When the attempts of these tests are sent; all bounds fit in front of it.
const SENT_MS: u64 = 100_000;

fn answer(status: u16, signed: Option<bool>) -> Told {
    Told::Answer(Reply {
        status,
        signed,
        retry_after_ms: None,
    })
}

fn attempt(id: &str, idempotent: bool, told: Told) -> Attempt {
    Attempt {
        id: id.into(),
        caller: "rack".into(),
        method: "POST",
        path: "/check/1".into(),
        idempotent,
        digest: "of the body".into(),
        deadline_ms: 1_000,
        timeout_ms: 800,
        sent_ms: SENT_MS,
        ended_ms: SENT_MS + 100,
        told,
        ..Attempt::default()
    }
}

fn run(attempt: &Attempt) -> Run {
    Run {
        server: "i-1".into(),
        service: "rack".into(),
        reached_ms: SENT_MS + 10,
        method: attempt.method.into(),
        path: attempt.path.clone(),
        caller: Some("rack".into()),
        deadline_ms: Some(700),
        body: Some(attempt.digest.clone()),
        started_ms: Some(SENT_MS + 20),
        flawed: false,
        work_ms: 70,
        ended: Some((SENT_MS + 90, Some(200))),
    }
}

fn configuration(version: u64, ack_ms: u64, prefix: &str, service: &str) -> Configuration {
    let services = vec![service.into()];
    Configuration {
        version,
        sent_ms: ack_ms,
        ack_ms,
        routes: HashMap::from([(prefix.into(), services)]),
    }
}

/// A journal of one attempt that ran once and was answered.
fn journal(idempotent: bool, told: Told) -> Journal {
    let attempt = attempt("a1", idempotent, told);
    Journal {
        runs: HashMap::from([("a1".into(), vec![run(&attempt)])]),
        hosts: HashMap::from([("i-1".into(), 1)]),
        configurations: vec![configuration(1, 1_000, "/check/", "rack")],
        starts: vec![(0, 0), (1, 0)],
        attempts: vec![attempt],
        ..Journal::default()
    }
}

fn kept() -> Journal {
    journal(false, answer(200, Some(true)))
}

fn rules(journal: &Journal) -> Vec<Rule> {
    let breaches = judge(journal, &Bounds::default());
    breaches.into_iter().map(|breach| breach.rule).collect()
}

fn first_run(journal: &mut Journal) -> &mut Run {
    &mut journal.runs.get_mut("a1").unwrap()[0]
}

#[rstest]
#[case(answer(200, Some(true)), None)]
#[case(answer(500, Some(true)), None)]
#[case(answer(502, None), None)]
#[case(Told::Broken, None)]
#[case(answer(200, Some(false)), Some(Rule::Mixed))]
#[case(answer(500, Some(false)), Some(Rule::Mixed))]
#[case(answer(200, None), Some(Rule::Mixed))]
#[case(Told::Garbled, Some(Rule::Mixed))]
#[case(answer(503, None), Some(Rule::Refused))]
#[case(answer(429, None), Some(Rule::Refused))]
#[case(answer(408, None), Some(Rule::Refused))]
#[case(answer(421, None), Some(Rule::Refused))]
fn an_answer_is_judged(#[case] told: Told, #[case] rule: Option<Rule>) {
    let rule: Vec<Rule> = rule.into_iter().collect();
    assert_eq!(rules(&journal(false, told)), rule);
}

#[test]
fn a_second_run_breaks_a_promise_where_it_may_not_be() {
    let twice = |idempotent| {
        let mut journal = journal(idempotent, answer(200, Some(true)));
        let again = first_run(&mut journal).clone();
        journal.runs.get_mut("a1").unwrap().push(again);
        rules(&journal)
    };
    assert_eq!(twice(false), [Rule::Twice]);
    assert_eq!(twice(true), []);
}

#[rstest]
#[case(|run: &mut Run| run.method = "GET".into(), Rule::Changed)]
#[case(|run: &mut Run| run.path = "/check/2".into(), Rule::Changed)]
#[case(|run: &mut Run| run.body = Some("other".into()), Rule::Changed)]
#[case(|run: &mut Run| run.caller = Some("caja".into()), Rule::Caller)]
#[case(|run: &mut Run| run.caller = None, Rule::Caller)]
#[case(|run: &mut Run| run.service = "caja".into(), Rule::Route)]
fn a_run_is_judged(#[case] change: fn(&mut Run), #[case] rule: Rule) {
    let mut journal = kept();
    change(first_run(&mut journal));
    assert_eq!(rules(&journal), [rule]);
}

#[test]
fn a_run_that_nobody_sent_is_found() {
    let mut journal = kept();
    let run = first_run(&mut journal).clone();
    journal.runs.insert("smuggled".into(), vec![run]);
    assert_eq!(rules(&journal), [Rule::Unasked]);
}

#[rstest]
#[case(2_100, None, vec![Rule::Drain])]
#[case(1_900, None, vec![])]
#[case(2_100, Some(0), vec![])]
#[case(2_100, Some(1), vec![])]
#[case(2_100, Some(2), vec![Rule::Drain])]
fn an_arrival_after_draining_is_found_in_touch(
    #[case] age_ms: u64,
    #[case] disrupted: Option<usize>,
    #[case] rule: Vec<Rule>,
) {
    let mut journal = kept();
    journal.leavings.insert("i-1".into(), SENT_MS + 10 - age_ms);
    journal
        .disruptions
        .extend(disrupted.map(|machine| Disruption {
            machine: Some(machine),
            from_ms: SENT_MS - 2_900,
            to_ms: SENT_MS - 2_800,
            planned: false,
            what: "freeze".into(),
        }));
    assert_eq!(rules(&journal), rule);
}

#[rstest]
#[case(Some((SENT_MS + 700, None)), vec![Rule::Gone])]
#[case(Some((SENT_MS + 500, None)), vec![])]
#[case(None, vec![Rule::Gone])]
fn work_after_its_client_left_is_found(
    #[case] ended: Option<(u64, Option<u16>)>,
    #[case] rule: Vec<Rule>,
) {
    let mut journal = journal(true, Told::Left);
    first_run(&mut journal).work_ms = 700;
    first_run(&mut journal).ended = ended;
    assert_eq!(rules(&journal), rule);
}

#[rstest]
// A new version moves the route; the old service is allowed until it has to be in force.
#[case(SENT_MS - 2_100, vec![Rule::Config])]
#[case(SENT_MS - 1_900, vec![])]
fn an_old_configuration_is_found(#[case] ack_ms: u64, #[case] rule: Vec<Rule>) {
    let mut journal = kept();
    let moved = configuration(2, ack_ms, "/check/", "caja");
    journal.configurations.push(moved);
    assert_eq!(rules(&journal), rule);
}

#[test]
fn a_missing_route_is_found_once_it_is_due() {
    let mut journal = journal(true, answer(404, None));
    journal.runs.clear();
    assert_eq!(rules(&journal), [Rule::Config]);
    journal.configurations[0].ack_ms = SENT_MS - 100;
    assert_eq!(rules(&journal), []);
}

#[test]
fn a_configuration_that_is_reverted_is_found() {
    let mut journal = kept();
    let moved = configuration(2, SENT_MS - 50, "/check/", "caja");
    journal.configurations.push(moved);
    first_run(&mut journal).service = "caja".into();
    let mut later = attempt("a2", true, answer(200, Some(true)));
    later.sent_ms = SENT_MS + 400;
    later.ended_ms = SENT_MS + 450;
    journal.runs.insert("a2".into(), vec![run(&later)]);
    journal.attempts.push(later);
    assert_eq!(rules(&journal), [Rule::Reverted]);
    // Another incarnation of the node may begin with the older one.
    journal.starts.push((0, SENT_MS + 300));
    assert_eq!(rules(&journal), []);
}

#[test]
fn late_answers_are_found_when_they_are_many() {
    let late = |count: usize| {
        let mut journal = kept();
        for number in 0..count {
            let id = format!("l{number}");
            let mut late = attempt(&id, true, Told::GaveUp);
            late.ended_ms = SENT_MS + 1_350;
            journal.attempts.push(late);
        }
        rules(&journal).len()
    };
    assert_eq!(late(7), 0);
    assert_eq!(late(8), 8);
}

#[rstest]
#[case(4, false, 4)]
#[case(3, false, 0)]
#[case(4, true, 0)]
fn lost_answers_of_sound_servers_are_found(
    #[case] count: usize,
    #[case] flawed: bool,
    #[case] broken: usize,
) {
    let mut journal = kept();
    for number in 0..count {
        let id = format!("l{number}");
        let lost = attempt(&id, false, Told::Broken);
        let run = Run {
            flawed,
            ..run(&lost)
        };
        journal.runs.insert(id.into(), vec![run]);
        journal.attempts.push(lost);
    }
    assert_eq!(rules(&journal), vec![Rule::Lost; broken]);
}

#[rstest]
#[case(true, 0, vec![Rule::Lost])]
#[case(false, 0, vec![])]
#[case(true, 1, vec![])]
fn a_request_that_a_stopping_node_breaks_off_is_found(
    #[case] planned: bool,
    #[case] machine: usize,
    #[case] rule: Vec<Rule>,
) {
    let mut journal = journal(false, Told::Broken);
    first_run(&mut journal).ended = Some((SENT_MS + 100, None));
    journal.disruptions.push(Disruption {
        machine: Some(machine),
        from_ms: SENT_MS + 50,
        to_ms: SENT_MS + 200,
        planned,
        what: "terminate".into(),
    });
    assert_eq!(rules(&journal), rule);
}

#[rstest]
#[case(21, Some(1_600), 21)]
#[case(21, None, 21)]
#[case(20, None, 0)]
#[case(21, Some(1_400), 0)]
fn deadlines_beyond_the_client_are_found_when_they_are_many(
    #[case] count: usize,
    #[case] deadline_ms: Option<u64>,
    #[case] broken: usize,
) {
    let mut journal = Journal {
        attempts: Vec::new(),
        ..kept()
    };
    journal.runs.clear();
    for number in 0..count {
        let id = format!("d{number}");
        let attempt = attempt(&id, true, answer(200, Some(true)));
        let run = Run {
            deadline_ms,
            ..run(&attempt)
        };
        journal.runs.insert(id.into(), vec![run]);
        journal.attempts.push(attempt);
    }
    assert_eq!(rules(&journal), vec![Rule::Time; broken]);
}

#[test]
fn service_has_to_return() {
    let mut journal = kept();
    journal.closing = Some((SENT_MS + 1_000, SENT_MS + 2_000));
    let mut after = attempt("a2", true, answer(503, None));
    after.sent_ms = SENT_MS + 17_100;
    after.ended_ms = SENT_MS + 17_200;
    journal.attempts.push(after);
    assert_eq!(rules(&journal), [Rule::Recover]);
    journal.attempts[1].sent_ms = SENT_MS + 16_900;
    assert_eq!(rules(&journal), []);
}

#[test]
fn a_record_tells_each_arrival_apart() {
    let entry = |at_ms, arrival, id: &str, step| Entry {
        at_ms,
        server: "i-1".into(),
        service: "rack".into(),
        arrival,
        id: id.into(),
        step,
    };
    let reached = || Step::Reached {
        method: "POST".into(),
        path: "/check/1".into(),
        caller: Some("rack".into()),
        deadline_ms: None,
    };
    let mut journal = Journal::default();
    // The backend server crashes with the first and numbers anew.
    journal.add_record(&[
        entry(10, 1, "a1", reached()),
        entry(11, 1, "a1", Step::Started(9)),
        entry(20, 1, "a2", reached()),
        entry(21, 2, "a1", reached()),
        entry(22, 2, "a1", Step::Body("d".into())),
        entry(23, 2, "a1", Step::Started(9)),
        entry(24, 0, "", Step::Probed),
        entry(24, 1, "a2", Step::Refused),
        entry(25, 2, "a1", Step::Cancelled),
    ]);
    let runs = &journal.runs["a1"];
    let mut started: Vec<_> = runs.iter().map(|run| run.started_ms).collect();
    started.sort_unstable();
    assert_eq!(started, [Some(11), Some(23)]);
    assert!(runs.iter().any(|run| run.ended == Some((25, None))));
    assert_eq!(journal.runs["a2"][0].started_ms, None);
    assert_eq!(journal.probes["i-1"], [24]);
    assert_eq!(journal.runs.len(), 2);
}
