//! Shares, repeats, probes and frozen backend servers.

use oriolering_bench::soak::Rule;
use oriolering_bench::soak::client::Told;
use oriolering_bench::soak::journal::{Disruption, Freeze, Journal, Run};
use rstest::rstest;

use crate::{SENT_MS, answer, attempt, configuration, first_run, journal, kept, rules, run};

/// Adds an attempt and where it arrived.
fn add(journal: &mut Journal, id: &str, path: &str, runs: &[(&str, &str)]) {
    let mut attempt = attempt(id, true, answer(200, Some(true)));
    attempt.path = path.into();
    let arrived = |(server, service): &(&str, &str)| Run {
        server: (*server).into(),
        service: (*service).into(),
        ..run(&attempt)
    };
    let runs = runs.iter().map(arrived).collect();
    journal.runs.insert(id.into(), runs);
    journal.attempts.push(attempt);
}

/// Returns a journal of requests on the split route, of which so many ran at the second part.
fn split(count: usize, second: usize) -> Journal {
    let mut journal = Journal::default();
    for (prefix, service) in [("/split/", "rack"), ("/split/", "caja")] {
        let mut allowed = configuration(1, 1_000, prefix, service);
        allowed
            .routes
            .get_mut(prefix)
            .unwrap()
            .extend(["rack".into(), "caja".into()]);
        journal.configurations = vec![allowed];
    }
    for number in 0..count {
        let service = if number < second { "caja" } else { "rack" };
        add(
            &mut journal,
            &format!("s{number}"),
            "/split/1",
            &[("i-1", service)],
        );
    }
    journal
}

fn fault(from_ms: u64) -> Disruption {
    Disruption {
        machine: Some(0),
        from_ms,
        to_ms: from_ms + 100,
        planned: false,
        what: "slow".into(),
    }
}

#[rstest]
#[case::as_weighed(200, 60, 0)]
#[case::a_little_off(200, 79, 0)]
#[case::too_much_at_the_second(200, 81, 2)]
#[case::nothing_at_the_second(200, 0, 2)]
#[case::too_few_to_judge(199, 0, 0)]
fn shares_of_a_split_are_judged(
    #[case] count: usize,
    #[case] second: usize,
    #[case] broken: usize,
) {
    assert_eq!(rules(&split(count, second)), vec![Rule::Split; broken]);
}

/// A part that is short of room refuses; the weights of the two parts are 70 and 30.
#[rstest]
#[case::what_arrived_and_was_refused_fits(200, 84, 80, 0)]
#[case::all_that_the_first_lacks_was_refused(200, 200, 470, 0)]
#[case::what_was_refused_is_too_little(200, 120, 60, 2)]
#[case::what_the_first_had_no_room_for_was_moved(400, 200, 20, 2)]
fn a_part_may_refuse_its_share_but_not_move_it(
    #[case] arrived: usize,
    #[case] second: usize,
    #[case] refused: usize,
    #[case] broken: usize,
) {
    let mut journal = split(arrived, second);
    for number in 0..refused {
        let mut refusal = attempt(&format!("r{number}"), true, answer(503, None));
        refusal.path = "/split/1".into();
        journal.attempts.push(refusal);
    }
    assert_eq!(rules(&journal), vec![Rule::Split; broken]);
}

#[rstest]
#[case::long_ago(SENT_MS - 3_200, 2)]
#[case::lately(SENT_MS - 3_000, 0)]
#[case::meanwhile(SENT_MS + 20, 0)]
fn shares_are_judged_while_all_is_calm(#[case] from_ms: u64, #[case] broken: usize) {
    let mut of_server = split(200, 0);
    of_server.faults.push(fault(from_ms));
    assert_eq!(rules(&of_server).len(), broken);
    let mut of_node = split(200, 0);
    of_node.disruptions.push(fault(from_ms));
    assert_eq!(rules(&of_node).len(), broken);
}

/// Returns a journal of so many requests, of which so many arrived twice.
fn repeated(requests: usize, repeats: usize) -> Journal {
    let mut journal = kept();
    journal.attempts.clear();
    journal.runs.clear();
    for number in 0..requests {
        let both = [("i-1", "rack"), ("i-2", "rack")];
        let runs = if number < repeats {
            &both[..]
        } else {
            &both[..1]
        };
        add(&mut journal, &format!("r{number}"), "/check/1", runs);
    }
    journal
}

#[rstest]
#[case::within(100, 80, false)]
#[case::beyond(100, 81, true)]
#[case::within_the_share_of_more(500, 160, false)]
#[case::beyond_the_share_of_more(500, 161, true)]
fn repeats_beyond_the_budget_are_found(
    #[case] requests: usize,
    #[case] repeats: usize,
    #[case] broken: bool,
) {
    let expected = if broken { vec![Rule::Budget] } else { vec![] };
    assert_eq!(rules(&repeated(requests, repeats)), expected);
}

#[test]
fn repeats_are_counted_by_window_and_service() {
    let mut apart = repeated(100, 90);
    for number in 0..45 {
        let runs = apart.runs.get_mut(format!("r{number}").as_str()).unwrap();
        runs[1].reached_ms += 10_100;
    }
    assert_eq!(rules(&apart), []);
    // A request for another service allows nothing here.
    let mut other = repeated(100, 81);
    add(&mut other, "o", "/check/1", &[("i-3", "rack")]);
    assert_eq!(rules(&other), [Rule::Budget]);
    for number in 0..5 {
        add(
            &mut other,
            &format!("o{number}"),
            "/check/1",
            &[("i-3", "rack")],
        );
    }
    assert_eq!(rules(&other), []);
}

/// Adds the calls that one run makes.
fn add_calls(journal: &mut Journal, parent: &str, server: &str, calls: usize) {
    for number in 0..calls {
        let id = format!("{parent}.{server}_{number}");
        let called = attempt(&id, true, answer(200, Some(true)));
        let run = Run {
            server: "i-9".into(),
            service: "caja".into(),
            ..run(&called)
        };
        journal.runs.insert(id.into(), vec![run]);
    }
}

#[rstest]
#[case::of_first_runs("i-1", vec![])]
#[case::of_repeated_runs("i-2", vec![Rule::Budget])]
fn calls_of_repeated_runs_count_as_repeats(#[case] server: &str, #[case] broken: Vec<Rule>) {
    // The repeats themselves are allowed; each makes two calls.
    let mut journal = repeated(100, 40);
    for number in 0..40 {
        add_calls(&mut journal, &format!("r{number}"), server, 2);
    }
    assert_eq!(rules(&journal), broken);
}

#[test]
fn a_call_of_a_run_that_nobody_asked_for_is_found() {
    let mut journal = repeated(1, 0);
    add_calls(&mut journal, "r0", "i-2", 1);
    assert_eq!(rules(&journal), [Rule::Unasked]);
}

#[rstest]
#[case::as_many_as_allowed(&["i-1", "i-2"], vec![])]
#[case::twice_at_the_same(&["i-1", "i-2", "i-2"], vec![])]
#[case::too_many(&["i-1", "i-2", "i-3"], vec![Rule::Attempts])]
fn runs_at_too_many_servers_are_found(#[case] servers: &[&str], #[case] rule: Vec<Rule>) {
    let mut journal = kept();
    let runs: Vec<_> = servers.iter().map(|server| (*server, "rack")).collect();
    add(&mut journal, "m", "/check/1", &runs);
    assert_eq!(rules(&journal), rule);
}

#[test]
fn a_server_that_ended_meanwhile_does_not_count() {
    let mut journal = kept();
    let runs = ["i-1", "i-2", "i-3"].map(|server| (server, "rack"));
    add(&mut journal, "m", "/check/1", &runs);
    journal.runs.get_mut("m").unwrap()[0].ended = None;
    assert_eq!(rules(&journal), []);
}

#[rstest]
#[case::as_allowed(601, 17, vec![])]
#[case::too_often(1_250, 8, vec![Rule::Probes])]
#[case::too_many_at_once(61, 0, vec![Rule::Probes])]
fn probes_are_counted(#[case] count: u64, #[case] apart_ms: u64, #[case] rule: Vec<Rule>) {
    let mut journal = kept();
    let times = (0..count).map(|i| 1_000 + i * apart_ms).collect();
    journal.probes.insert("i-1".into(), times);
    assert_eq!(rules(&journal), rule);
}

fn freeze(from_ms: u64, to_ms: u64) -> Freeze {
    Freeze {
        server: "i-1".into(),
        from_ms,
        to_ms,
    }
}

#[rstest]
#[case::sent_late(4, 2_100, 500, 4)]
#[case::a_few(3, 2_100, 500, 0)]
#[case::sent_early(4, 1_900, 500, 0)]
#[case::read_after_its_end(4, 2_100, 9, 0)]
fn requests_for_a_server_that_is_frozen_for_long_are_found(
    #[case] count: usize,
    #[case] age_ms: u64,
    #[case] rest_ms: u64,
    #[case] broken: usize,
) {
    let mut journal = kept();
    journal.attempts.clear();
    for number in 0..count {
        add(
            &mut journal,
            &format!("f{number}"),
            "/check/1",
            &[("i-1", "rack")],
        );
    }
    journal
        .freezes
        .push(freeze(SENT_MS - age_ms, SENT_MS + rest_ms));
    journal.runs.remove("a1");
    assert_eq!(rules(&journal), vec![Rule::Frozen; broken]);
}

#[rstest]
#[case::while_it_was_frozen(SENT_MS + 50, vec![])]
#[case::after_it_was(SENT_MS - 10, vec![Rule::Gone])]
fn what_a_frozen_server_ends_late_is_its_own(#[case] to_ms: u64, #[case] rule: Vec<Rule>) {
    let mut journal = journal(true, Told::Left);
    first_run(&mut journal).work_ms = 700;
    first_run(&mut journal).ended = None;
    journal.freezes.push(freeze(SENT_MS - 100, to_ms));
    assert_eq!(rules(&journal), rule);
}

#[rstest]
#[case::while_it_was_frozen("i-1", vec![])]
#[case::of_another_server("i-2", vec![Rule::Drain])]
fn what_a_frozen_server_reads_late_is_its_own(#[case] server: &str, #[case] rule: Vec<Rule>) {
    let mut journal = kept();
    journal.leavings.insert("i-1".into(), SENT_MS - 2_100);
    journal.freezes.push(Freeze {
        server: server.into(),
        ..freeze(SENT_MS - 100, SENT_MS + 5)
    });
    assert_eq!(rules(&journal), rule);
}

#[rstest]
#[case::ran_all_the_while(200, 8, 0)]
#[case::ran_with_small_gaps(250, 8, 0)]
#[case::stood_still(1_400, 0, 1)]
fn what_the_soak_itself_holds_up_is_not_late(
    #[case] gap_ms: u64,
    #[case] late: usize,
    #[case] stalls: usize,
) {
    let mut journal = kept();
    for number in 0..8 {
        let mut late = attempt(&format!("l{number}"), true, Told::GaveUp);
        late.ended_ms = SENT_MS + 1_400;
        journal.attempts.push(late);
    }
    let ticks = (0..=1_400 / gap_ms).map(|i| SENT_MS + i * gap_ms);
    ticks.for_each(|ms| journal.tick(ms));
    assert_eq!(journal.disruptions.len(), stalls);
    assert_eq!(rules(&journal), vec![Rule::Late; late]);
}

#[test]
fn what_ran_twice_is_found_though_the_soak_stood_still() {
    let mut journal = kept();
    let again = first_run(&mut journal).clone();
    journal.runs.get_mut("a1").unwrap().push(again);
    journal.tick(SENT_MS);
    journal.tick(SENT_MS + 1_000);
    assert_eq!(rules(&journal), [Rule::Twice]);
}

#[rstest]
#[case::by_one_start(&[(1_000, 1_400)], 1)]
#[case::by_several(&[(1_000, 1_150), (1_200, 1_350)], 1)]
#[case::by_less_than_half(&[(1_000, 1_190)], 0)]
#[case::by_one_at_another_time(&[(2_000, 2_400)], 0)]
fn a_stand_still_is_explained_by_processes_that_start_or_end(
    #[case] held: &[(u64, u64)],
    #[case] explained: usize,
) {
    let mut journal = Journal::default();
    journal.tick(1_000);
    journal.tick(1_400);
    journal.held = held.to_vec();
    assert_eq!(journal.explained_stalls(), explained);
}
