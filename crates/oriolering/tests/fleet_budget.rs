//! Tests of the shared budget for repeats.

use oriolering::{FleetBudget, Millis};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;
/// The bound that the nodes of a fleet share.
const FLEET_PERCENT: u64 = 20;
const FLEET_WINDOW_MS: u64 = 4_000;
/// The maximum simulated delay from the decision on a repeat to its arrival.
const DELAY_MS: u64 = 6_000;

/// Returns the budget of a node that has the whole `slack` for itself.
fn budget_of(percent: u64, slack: u64, window_ms: u64) -> FleetBudget {
    let mut budget = FleetBudget::new(percent, window_ms);
    budget.set_slack(slack, Some(1));
    budget
}

/// Sends as many repeats as are allowed, each of which arrives at once.
fn use_up(budget: &mut FleetBudget, now: Millis) -> u64 {
    let mut count = 0;
    while budget.reserve(now) {
        budget.record_arrival(now);
        count += 1;
    }
    count
}

#[rstest]
#[case::nothing(0, 0, 0)]
#[case::slack_alone(0, 10, 8)]
#[case::share_alone(100, 0, 16)]
#[case::both(100, 10, 24)]
fn uses_four_fifths_of_the_allowed_repeats(
    #[case] requests: u64,
    #[case] slack: u64,
    #[case] expected: u64,
) {
    let mut budget = budget_of(20, slack, WINDOW_MS);
    for _ in 0..requests {
        budget.deposit(Millis(5));
    }
    assert_eq!(use_up(&mut budget, Millis(6)), expected);
}

#[test]
fn spent_repeats_are_available_again_after_a_window() {
    let mut budget = budget_of(20, 10, WINDOW_MS);
    assert_eq!(use_up(&mut budget, Millis(0)), 8);
    assert!(!budget.reserve(Millis(WINDOW_MS - 1)));
    assert!(budget.reserve(Millis(WINDOW_MS)));
}

#[test]
fn requests_count_for_one_window() {
    let mut budget = budget_of(20, 0, WINDOW_MS);
    (0..100).for_each(|_| budget.deposit(Millis(0)));
    assert!(budget.reserve(Millis(WINDOW_MS - 1)));
    assert!(!budget.reserve(Millis(WINDOW_MS)));
}

#[test]
fn smaller_slack_applies_at_once() {
    let mut budget = budget_of(20, 100, WINDOW_MS);
    assert!(budget.reserve(Millis(0)));
    budget.set_slack(0, Some(1));
    assert!(!budget.reserve(Millis(0)));
}

#[test]
fn repeat_that_did_not_arrive_costs_nothing() {
    let mut budget = budget_of(20, 2, WINDOW_MS);
    for _ in 0..100 {
        assert!(budget.reserve(Millis(0)));
        budget.release();
    }
    assert_eq!(use_up(&mut budget, Millis(0)), 1);
}

#[test]
fn repeat_in_flight_counts_until_it_arrives() {
    let mut budget = budget_of(20, 2, WINDOW_MS);
    assert!(budget.reserve(Millis(0)));
    assert!(!budget.reserve(Millis(5 * WINDOW_MS)));
    budget.record_arrival(Millis(5 * WINDOW_MS));
    assert!(!budget.reserve(Millis(6 * WINDOW_MS - 1)));
    assert!(budget.reserve(Millis(6 * WINDOW_MS)));
}

/// An event at a node; `delay` is the time from the decision on a repeat to its arrival.
#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Failure { delay: u64, arrives: bool },
}

/// Generates the events of one node, each with the pause before it.
///
/// Repeats arrive within `delay_ms`.
fn events(delay_ms: u64) -> impl Strategy<Value = Vec<(u64, Event)>> {
    let failure = (0..=delay_ms, prop::bool::weighted(0.8));
    let event = prop_oneof![
        3 => Just(Event::Request),
        2 => failure.prop_map(|(delay, arrives)| Event::Failure { delay, arrives }),
    ];
    prop::collection::vec((0..300_u64, event), 1..400)
}

/// The history of one node: when requests entered, and when repeats were reserved and arrived.
#[derive(Default)]
struct History {
    requests: Vec<u64>,
    repeats: Vec<(u64, u64)>,
}

fn simulate(events: &[(u64, Event)], budget: &mut FleetBudget) -> History {
    let (mut history, mut now) = (History::default(), 0);
    let mut in_flight: Vec<(u64, bool)> = Vec::new();
    for (pause, event) in events {
        now += pause;
        in_flight.sort_unstable();
        while in_flight.first().is_some_and(|(at, _)| *at <= now) {
            let (at, arrives) = in_flight.remove(0);
            match arrives {
                true => budget.record_arrival(Millis(at)),
                false => budget.release(),
            }
        }
        match event {
            Event::Request => {
                budget.deposit(Millis(now));
                history.requests.push(now);
            }
            Event::Failure { delay, arrives } if budget.reserve(Millis(now)) => {
                in_flight.push((now + delay, *arrives));
                if *arrives {
                    history.repeats.push((now, now + delay));
                }
            }
            Event::Failure { .. } => {}
        }
    }
    history
}

/// Simulates nodes that share a slack.
fn simulate_fleet(nodes: &[Vec<(u64, Event)>], slack: u64) -> Vec<History> {
    let share = slack / nodes.len() as u64;
    let budget = || budget_of(FLEET_PERCENT, share, FLEET_WINDOW_MS);
    let histories = nodes.iter().map(|events| simulate(events, &mut budget()));
    histories.collect()
}

/// Returns the arrivals and the allowed number for the first window that violates the bound.
///
/// The bound follows from the requests that entered before the last decision on an arrival of that
/// window. A node may have decided up to `delay_ms` before an arrival.
fn violation(nodes: &[History], slack: u64, delay_ms: u64) -> Option<(u64, f64)> {
    let window = FLEET_WINDOW_MS;
    let repeats = || nodes.iter().flat_map(|node| &node.repeats);
    let requests = || nodes.iter().flat_map(|node| &node.requests);
    let counted = |(_, from): &(u64, u64)| {
        let arrivals = repeats().filter(|(_, at)| (*from..from + window).contains(at));
        let last = arrivals
            .clone()
            .map(|(reserved, _)| *reserved)
            .max()
            .unwrap_or(0);
        let since = match delay_ms {
            0 => (last + 1).saturating_sub(window),
            delay => from.saturating_sub(delay + window),
        };
        let requests = requests().filter(|at| (since..=last).contains(*at));
        let allowed = (requests.count() as u64 * FLEET_PERCENT) as f64 / 100.0 + slack as f64;
        (arrivals.count() as u64, allowed)
    };
    let mut windows = repeats().map(counted);
    windows.find(|(arrivals, allowed)| *arrivals as f64 > *allowed)
}

proptest! {
    #[test]
    fn arrivals_in_a_window_are_at_most_those_allowed_at_the_last_reservation(
        events in events(DELAY_MS),
        percent in 0..50_u64,
        slack in 0..20_u64,
        window in 500..8_000_u64,
    ) {
        let mut budget = budget_of(percent, slack, window);
        let history = simulate(&events, &mut budget);
        for (_, from) in &history.repeats {
            let arrivals = history.repeats.iter();
            let arrivals = arrivals.filter(|(_, at)| (*from..from + window).contains(at));
            let last = arrivals.clone().map(|(reserved, _)| *reserved).max().unwrap_or(0);
            let requests = history.requests.iter();
            let requests = requests.filter(|at| **at <= last && **at + window > last);
            let allowed = requests.count() as u64 * percent / 100 + slack;
            let count = arrivals.count() as u64;
            prop_assert!(count <= allowed, "{count} arrivals, {allowed} allowed");
        }
    }

    #[test]
    fn many_nodes_together_stay_within_the_allowance_of_the_service(
        nodes in prop::collection::vec(events(0), 1..8),
        slack in 0..60_u64,
    ) {
        let violation = violation(&simulate_fleet(&nodes, slack), slack, 0);
        prop_assert!(violation.is_none(), "arrivals and allowed: {violation:?}");
    }

    #[test]
    fn many_nodes_with_repeats_in_flight_stay_within_the_bound_of_the_service(
        nodes in prop::collection::vec(events(DELAY_MS), 1..8),
        slack in 0..60_u64,
    ) {
        let violation = violation(&simulate_fleet(&nodes, slack), slack, DELAY_MS);
        prop_assert!(violation.is_none(), "arrivals and allowed: {violation:?}");
    }
}
