//! What backend servers say of themselves in their answers.

use oriolering_bench::soak::Rule;
use oriolering_bench::soak::client::Attempt;
use oriolering_bench::soak::journal::{Disruption, Freeze, Journal, Run, Saying};
use rstest::rstest;

use crate::{SENT_MS, answer, attempt, configuration, rules, run};

/// When the backend server says something, before the first request.
const SAID_MS: u64 = SENT_MS - 10;

/// Returns a journal of requests from machine 0 that one backend server ran, sent so long after
/// the first.
fn sent_at(after_ms: impl IntoIterator<Item = u64>, said: Saying) -> Journal {
    let mut journal = Journal {
        configurations: vec![configuration(1, 1_000, "/check/", "rack")],
        ..Journal::default()
    };
    journal.hosts.insert("i-1".into(), 1);
    journal.sayings.insert("i-1".into(), vec![said]);
    for (number, ms) in after_ms.into_iter().enumerate() {
        let attempt = Attempt {
            sent_ms: SENT_MS + ms,
            ended_ms: SENT_MS + ms + 100,
            ..attempt(&format!("n{number}"), true, answer(200, Some(true)))
        };
        let run = Run {
            reached_ms: attempt.sent_ms + 10,
            started_ms: Some(attempt.sent_ms + 20),
            ended: Some((attempt.sent_ms + 90, Some(200))),
            ..run(&attempt)
        };
        journal.runs.insert(attempt.id.clone(), vec![run]);
        journal.attempts.push(attempt);
    }
    journal
}

fn limited(thousandths: u32) -> Saying {
    Saying {
        at_ms: SAID_MS,
        limit: Some(thousandths),
        leaving: false,
    }
}

fn leaving() -> Saying {
    Saying {
        at_ms: SAID_MS,
        limit: None,
        leaving: true,
    }
}

fn disruption(what: &str, from_ms: u64) -> Disruption {
    Disruption {
        machine: Some(0),
        from_ms: SENT_MS + from_ms,
        to_ms: SENT_MS + from_ms + 100,
        planned: false,
        what: what.into(),
    }
}

/// Requests each 250 ms for eight seconds are four a second.
fn steady() -> impl Iterator<Item = u64> {
    (0..32).map(|number| number * 250)
}

#[rstest]
#[case::half_of_it_named(2_000, false)]
#[case::a_quarter_named(1_000, true)]
#[case::none_named(0, true)]
fn more_than_one_and_a_half_times_the_limit_is_found(
    #[case] thousandths: u32,
    #[case] broken: bool,
) {
    let journal = sent_at(steady(), limited(thousandths));
    let expected: &[Rule] = if broken { &[Rule::Limit] } else { &[] };
    assert_eq!(rules(&journal), expected);
}

#[test]
fn what_comes_before_the_window_or_after_the_limit_is_let_pass() {
    let early = sent_at((0..40).map(|number| number * 60), limited(1_000));
    assert_eq!(rules(&early), []);
    let mut ended = sent_at(steady(), limited(1_000));
    let end = Saying {
        at_ms: SENT_MS + 2_000,
        limit: None,
        leaving: false,
    };
    ended.sayings.get_mut("i-1").unwrap().push(end);
    assert_eq!(rules(&ended), []);
}

#[test]
fn a_machine_that_was_not_told_is_let_pass() {
    let mut journal = sent_at(steady(), limited(0));
    for attempt in &mut journal.attempts {
        attempt.told = answer(503, None);
        attempt.idempotent = true;
    }
    assert_eq!(rules(&journal), []);
}

#[test]
fn probes_of_a_machine_that_was_told_count() {
    let mut journal = sent_at((0..8).map(|number| number * 1_000), limited(1_000));
    assert_eq!(rules(&journal), []);
    journal.hosts.insert("i-1".into(), 0);
    let probes = (0..60).map(|number| SENT_MS + number * 100).collect();
    journal.probes.insert("i-1".into(), probes);
    assert_eq!(rules(&journal), [Rule::Limit]);
}

#[rstest]
#[case::killed("Kill(400)", false)]
#[case::frozen("Freeze(900)", false)]
#[case::cut_from_the_store("StoreCut(900)", true)]
fn a_restart_or_freeze_excuses(#[case] what: &str, #[case] broken: bool) {
    let mut limit = sent_at(steady(), limited(0));
    limit.disruptions.push(disruption(what, 200));
    let mut leave = sent_at([0, 2_500], leaving());
    leave.disruptions.push(disruption(what, 200));
    let found = [rules(&limit), rules(&leave)];
    match broken {
        true => assert_eq!(found, [vec![Rule::Limit], vec![Rule::Leaving]]),
        false => assert_eq!(found, [vec![], vec![]]),
    }
}

#[test]
fn what_a_frozen_backend_server_reads_at_once_is_let_pass() {
    let mut journal = sent_at(steady(), limited(0));
    journal.freezes.push(Freeze {
        server: "i-1".into(),
        from_ms: SENT_MS,
        to_ms: SENT_MS + 8_000,
    });
    let found = rules(&journal);
    assert!(!found.contains(&Rule::Limit), "{found:?}");
}

#[rstest]
#[case::in_time(2_050, &[])]
#[case::later(2_150, &[Rule::Leaving])]
fn what_is_sent_long_after_a_leaving_server_has_said_so_is_found(
    #[case] after_ms: u64,
    #[case] expected: &[Rule],
) {
    let journal = sent_at([0, after_ms], leaving());
    assert_eq!(rules(&journal), expected);
}

#[test]
fn an_answer_from_before_the_word_tells_nothing() {
    let mut journal = sent_at([0, 2_500], leaving());
    journal.sayings.get_mut("i-1").unwrap()[0].at_ms = SENT_MS + 1_000;
    assert_eq!(rules(&journal), []);
}
