//! When a second attempt may start.

use oriolering::{Hedge, Millis, RetryBudget};
use rstest::rstest;

/// Observes latencies of 1 to `count` milliseconds.
fn observe(hedge: &mut Hedge, count: u64) {
    for ms in 1..=count {
        hedge.observe(ms * 1000);
    }
}

#[rstest]
#[case::no_share(0, 10)]
#[case::no_delay(5, 0)]
fn zero_turns_it_off(#[case] percent: u32, #[case] after: u64) {
    let mut hedge = Hedge::new(percent, after);
    observe(&mut hedge, 1000);
    assert_eq!(hedge.delay_ms(), None);
}

#[test]
fn few_answers_are_no_evidence() {
    let mut hedge = Hedge::new(5, 10);
    observe(&mut hedge, 49);
    assert_eq!(hedge.delay_ms(), None);
}

#[rstest]
#[case::slowest_tenth(10, 1, 900)]
#[case::slowest_fifth(20, 1, 800)]
fn delay_is_the_quantile_within_a_bucket(
    #[case] percent: u32,
    #[case] after: u64,
    #[case] exact: u64,
) {
    let mut hedge = Hedge::new(percent, after);
    observe(&mut hedge, 1000);
    let delay = hedge.delay_ms().expect("hedging is on");
    assert!(delay >= exact && delay <= exact * 12 / 10, "{delay}");
}

#[test]
fn delay_is_not_below_the_setting() {
    let mut hedge = Hedge::new(10, 5000);
    observe(&mut hedge, 1000);
    assert_eq!(hedge.delay_ms(), Some(5000));
}

#[test]
fn delay_follows_a_change() {
    let mut hedge = Hedge::new(10, 1);
    observe(&mut hedge, 1000);
    for _ in 0..20_000 {
        hedge.observe(5_000);
    }
    assert!(hedge.delay_ms().is_some_and(|ms| ms <= 7));
}

#[test]
fn hedges_spend_the_common_budget() {
    let now = Millis(0);
    let mut hedge = Hedge::new(10, 1);
    observe(&mut hedge, 100);
    let mut budget = RetryBudget::new(10, now);
    for _ in 0..100 {
        budget.deposit(now);
    }
    assert!(!hedge.try_start(false, &mut budget, now));
    let started = (0..100).filter(|_| hedge.try_start(true, &mut budget, now));
    assert_eq!(started.count(), 10);
    assert!(!budget.try_spend(now));
}
