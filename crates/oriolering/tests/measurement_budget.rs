//! Tests of the measurement budget: one node, and a fleet without coordination.

mod runner;

use oriolering::{MeasurementBudget, MeasurementBudgetSettings, Millis};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SETTINGS: MeasurementBudgetSettings = MeasurementBudgetSettings {
    allowed_us: 100_000,
    lag_ms: 1_000,
};
/// The time after which a node that regularly observes the node count may spend.
const COUNTED_MS: u64 = 5_000;

/// Returns the budget of a node that may spend, in a fleet of `nodes`, and the current time.
fn ready(nodes: u32) -> (MeasurementBudget, Millis) {
    let mut budget = MeasurementBudget::new(SETTINGS);
    let mut now = Millis(0);
    while now.0 < COUNTED_MS {
        budget.observe_nodes(now, nodes);
        now = now + 500;
    }
    budget.observe_nodes(now, nodes);
    (budget, now)
}

#[test]
fn debits_up_to_the_share() {
    let (mut budget, now) = ready(4);
    assert_eq!(budget.allowed(now), 25_000);
    for _ in 0..4 {
        assert!(budget.debit(now, 6_000, 10).is_some());
    }
    assert!(budget.debit(now, 6_000, 10).is_none());
    assert_eq!(budget.spent(now), 24_000);
    assert!(budget.debit(now, 1_000, 10).is_some());
    assert!(budget.debit(now, 1, 10).is_none());
}

#[test]
fn refunds_what_was_not_used() {
    let (mut budget, now) = ready(4);
    let charge = budget.debit(now, 25_000, 100).expect("the share suffices");
    budget.settle(now + 5, charge, 2_000);
    assert_eq!(budget.spent(now + 5), 2_000);
    assert!(budget.debit(now + 5, 23_000, 100).is_some());
}

#[test]
fn keeps_a_cost_above_the_charge_as_spent() {
    let (mut budget, now) = ready(4);
    let charge = budget.debit(now, 1_000, 100).expect("the share suffices");
    budget.settle(now + 5, charge, 30_000);
    assert!(budget.debit(now + 900, 1, 10).is_none());
}

#[test]
fn counts_a_measurement_until_one_second_after_its_end() {
    let (mut budget, now) = ready(1);
    let dropped = budget.debit(now, 100_000, 300);
    assert!(dropped.is_some());
    assert_eq!(budget.spent(now + 1_300), 100_000);
    assert_eq!(budget.spent(now + 1_320), 0);
}

#[test]
fn spends_nothing_before_the_others_have_counted_it() {
    let mut budget = MeasurementBudget::new(SETTINGS);
    assert_eq!(budget.allowed(Millis(0)), 0);
    for ms in (0..COUNTED_MS).step_by(500) {
        budget.observe_nodes(Millis(ms), 1);
        assert_eq!(budget.allowed(Millis(ms)), 0, "at {ms} ms");
    }
    budget.observe_nodes(Millis(COUNTED_MS), 1);
    assert_eq!(budget.allowed(Millis(COUNTED_MS)), 100_000);
}

#[test]
fn spends_nothing_after_a_pause_until_the_node_count_is_current() {
    let (mut budget, now) = ready(2);
    let woken = now + 10_000;
    assert_eq!(budget.allowed(woken), 0);
    budget.observe_nodes(woken, 2);
    assert!(budget.debit(woken, 1, 10).is_none());
}

#[test]
fn remembers_the_largest_number_of_nodes() {
    let (mut budget, mut now) = ready(10);
    budget.observe_nodes(now, 2);
    assert_eq!(budget.allowed(now), 10_000);
    for _ in 0..16 {
        now = now + 500;
        budget.observe_nodes(now, 2);
    }
    assert_eq!(budget.allowed(now), 50_000);
    budget.observe_nodes(now, 20);
    assert_eq!(budget.allowed(now), 5_000);
}

#[test]
fn stops_at_once_when_the_budget_is_lowered() {
    let (mut budget, now) = ready(1);
    assert!(budget.debit(now, 60_000, 10).is_some());
    budget.update(MeasurementBudgetSettings {
        allowed_us: 50_000,
        ..SETTINGS
    });
    assert!(budget.debit(now, 1, 10).is_none());
    assert_eq!(budget.allowed(now), 50_000);
}

/// One node of the fleet: when it runs and pauses, and how often it observes the node count.
#[derive(Clone, Debug)]
struct Node {
    start: u64,
    end: u64,
    pause: (u64, u64),
    observe_every: u64,
    seed: u64,
}

impl Node {
    fn runs(&self, ms: u64) -> bool {
        (self.start..self.end).contains(&ms)
    }

    fn is_active(&self, ms: u64) -> bool {
        self.runs(ms) && !(self.pause.0..self.pause.1).contains(&ms)
    }
}

/// A measurement with its cost.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    start: u64,
    end: u64,
    cost: u64,
}

fn node() -> impl Strategy<Value = Node> {
    let times = (0..12_000u64, 0..30_000u64, 0..30_000u64, 0..12_000u64);
    (times, 50..1_500u64, any::<u64>()).prop_map(|(times, observe_every, seed)| {
        let (start, length, pause, paused) = times;
        Node {
            start,
            end: start + length,
            pause: (pause, pause + paused),
            observe_every,
            seed,
        }
    })
}

const STEP_MS: u64 = 20;
const END_MS: u64 = 32_000;

/// Lets a node spend as much as it may, with node counts that are up to `lag_ms` old.
fn spend(node: &Node, fleet: &[Node], budgets: (u64, u64)) -> Vec<Measurement> {
    let mut rng = SmallRng::seed_from_u64(node.seed);
    let mut budget = MeasurementBudget::new(SETTINGS);
    let mut measurements: Vec<Measurement> = Vec::new();
    let mut open = Vec::new();
    let mut next_observation = node.start;
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        if !node.is_active(ms) {
            next_observation = ms + rng.random_range(0..node.observe_every);
            continue;
        }
        let now = Millis(ms);
        let lowered = ms > END_MS / 2 + rng.random_range(0..500);
        let allowed = if lowered { budgets.1 } else { budgets.0 };
        budget.update(MeasurementBudgetSettings {
            allowed_us: allowed,
            ..SETTINGS
        });
        if ms >= next_observation {
            let late = rng.random_range(0..=SETTINGS.lag_ms);
            let seen = ms.saturating_sub(late);
            let nodes = fleet.iter().filter(|other| other.runs(seen)).count();
            budget.observe_nodes(now, nodes as u32);
            next_observation = ms + node.observe_every;
        }
        let ends = rng.random_bool(0.05);
        if let Some((index, charge)) =
            open.pop_if(|(i, _): &mut (usize, _)| ends && measurements[*i].end > ms)
        {
            let measurement = &mut measurements[index];
            measurement.end = ms;
            measurement.cost /= 2;
            budget.settle(now, charge, measurement.cost);
        }
        let cost = rng.random_range(1..=budget.allowed(now).max(1));
        let hold = rng.random_range(0..=2_000);
        if let Some(charge) = budget.debit(now, cost, hold) {
            open.push((measurements.len(), charge));
            measurements.push(Measurement {
                start: ms,
                end: ms + hold,
                cost,
            });
        }
    }
    measurements
}

/// Returns the highest total cost of the measurements that overlap any one second.
fn highest_second(measurements: &[Measurement]) -> u64 {
    let starts = measurements.iter().flat_map(|measurement| {
        let before = measurement.start.saturating_sub(1_000);
        [before, measurement.start, measurement.end]
    });
    let cost = |from: u64| {
        measurements
            .iter()
            .filter(|measurement| measurement.start <= from + 1_000 && measurement.end >= from)
            .map(|measurement| measurement.cost)
            .sum()
    };
    starts.map(cost).max().unwrap_or(0)
}

#[test]
fn a_fleet_keeps_the_budget_in_every_second() {
    let fleets = prop::collection::vec(node(), 1..7);
    let budgets = (1_000..200_000u64, 1_000..200_000u64);
    let result = runner::runner(128).run(&(fleets, budgets), |(fleet, budgets)| {
        let spent = |node| spend(node, &fleet, budgets);
        let measurements: Vec<Measurement> = fleet.iter().flat_map(spent).collect();
        let highest = highest_second(&measurements);
        prop_assert!(
            highest <= budgets.0.max(budgets.1),
            "spent {highest} us in one second"
        );
        Ok(())
    });
    result.expect("the fleet exceeded its budget");
}

#[test]
fn a_steady_fleet_can_use_its_budget() {
    let (mut budget, mut now) = ready(4);
    let mut spent = 0;
    for _ in 0..1_000 {
        now = now + 10;
        budget.observe_nodes(now, 4);
        if let Some(charge) = budget.debit(now, 6_000, 50) {
            budget.settle(now, charge, 6_000);
            spent += 6_000;
        }
    }
    assert!(spent >= 10 * 23_000, "spent {spent} of 250000 us");
}
