//! The shared budget for second tries.

use oriolering::{FleetBudget, Millis};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;

fn spend_all(budget: &mut FleetBudget, now: Millis) -> u64 {
    let mut count = 0;
    while budget.allows(now) {
        budget.spend(now);
        count += 1;
    }
    count
}

#[rstest]
#[case::nothing(0, 0, 0)]
#[case::slack_alone(0, 10, 8)]
#[case::share_alone(100, 0, 16)]
#[case::both(100, 10, 24)]
fn four_fifths_of_the_allowance_are_used(
    #[case] requests: u64,
    #[case] slack: u64,
    #[case] expected: u64,
) {
    let mut budget = FleetBudget::new(20, slack, WINDOW_MS);
    for _ in 0..requests {
        budget.deposit(Millis(5));
    }
    assert_eq!(spend_all(&mut budget, Millis(6)), expected);
}

#[test]
fn what_was_spent_comes_back_after_a_window() {
    let mut budget = FleetBudget::new(20, 10, WINDOW_MS);
    assert_eq!(spend_all(&mut budget, Millis(0)), 8);
    assert!(!budget.allows(Millis(WINDOW_MS - 1)));
    assert!(budget.allows(Millis(WINDOW_MS)));
}

#[test]
fn requests_count_for_one_window() {
    let mut budget = FleetBudget::new(20, 0, WINDOW_MS);
    (0..100).for_each(|_| budget.deposit(Millis(0)));
    assert!(budget.allows(Millis(WINDOW_MS - 1)));
    assert!(!budget.allows(Millis(WINDOW_MS)));
}

#[test]
fn a_smaller_slack_holds_at_once() {
    let mut budget = FleetBudget::new(20, 100, WINDOW_MS);
    assert!(budget.allows(Millis(0)));
    budget.set_slack(0);
    assert!(!budget.allows(Millis(0)));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Failure,
}

/// The events of one node with the pauses before them.
fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![3 => Just(Event::Request), 2 => Just(Event::Failure)];
    prop::collection::vec((0..300_u64, event), 1..400)
}

/// Returns the times of requests and of second tries.
fn play(events: &[(u64, Event)], budget: &mut FleetBudget) -> (Vec<u64>, Vec<u64>) {
    let (mut requests, mut repeats, mut now) = (Vec::new(), Vec::new(), 0);
    for (pause, event) in events {
        now += pause;
        match event {
            Event::Request => {
                budget.deposit(Millis(now));
                requests.push(now);
            }
            Event::Failure if budget.allows(Millis(now)) => {
                budget.spend(Millis(now));
                repeats.push(now);
            }
            Event::Failure => {}
        }
    }
    (requests, repeats)
}

fn within(times: &[u64], from: i64, until: i64) -> u64 {
    times
        .iter()
        .filter(|t| (from..until).contains(&(**t as i64)))
        .count() as u64
}

proptest! {
    #[test]
    fn no_window_holds_more_second_tries_than_its_requests_allow(
        events in events(),
        percent in 0..50_u64,
        slack in 0..20_u64,
        window in 500..8_000_u64,
    ) {
        let mut budget = FleetBudget::new(percent, slack, window);
        let (requests, repeats) = play(&events, &mut budget);
        for repeat in &repeats {
            // The window that ends with this second try.
            let (from, until) = (*repeat as i64 + 1 - window as i64, *repeat as i64 + 1);
            let tries = within(&repeats, from, until);
            let allowed = within(&requests, from, until) * percent / 100 + slack;
            prop_assert!(tries <= allowed, "{tries} tries, {allowed} allowed");
        }
    }

    #[test]
    fn many_nodes_together_stay_within_the_allowance_of_the_service(
        nodes in prop::collection::vec(events(), 1..8),
        slack in 0..60_u64,
    ) {
        let (percent, window) = (20, 4_000);
        let share = slack / nodes.len() as u64;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for events in &nodes {
            let mut budget = FleetBudget::new(percent, share, window);
            let (own, tries) = play(events, &mut budget);
            requests.extend(own);
            repeats.extend(tries);
        }
        for repeat in &repeats {
            let (from, until) = (*repeat as i64 + 1 - window as i64, *repeat as i64 + 1);
            let tries = within(&repeats, from, until);
            let allowed = within(&requests, from, until) as f64 * 0.2 + slack as f64;
            prop_assert!(tries as f64 <= allowed, "{tries} tries, {allowed} allowed");
        }
    }
}
