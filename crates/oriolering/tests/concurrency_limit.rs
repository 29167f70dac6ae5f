//! The limit against simulated backend servers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oriolering::{ConcurrencyLimit, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// A backend server with a queue of its own, and callers that keep the limit used up.
struct Sim {
    limit: ConcurrencyLimit,
    rng: SmallRng,
    now: u64,
    slots: Vec<u64>,
    ends: BinaryHeap<Reverse<(u64, u64, u32, bool)>>,
    shed: bool,
    service: u64,
    draw: fn(&mut SmallRng) -> f64,
    sheds: u32,
}

impl Sim {
    fn new(limit: ConcurrencyLimit, slots: usize, service: u64) -> Self {
        Self {
            limit,
            rng: SmallRng::seed_from_u64(1),
            now: 0,
            slots: vec![0; slots],
            ends: BinaryHeap::new(),
            shed: false,
            service,
            draw: constant,
            sheds: 0,
        }
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    /// Runs `count` calls to their end.
    fn run(&mut self, count: u32) {
        for _ in 0..count {
            while (self.ends.len() as u32) < self.limit.value(self.millis()) {
                self.dispatch();
            }
            self.finish();
        }
    }

    fn dispatch(&mut self) {
        let epoch = self.limit.epoch();
        let busy = self.slots.iter().filter(|end| **end > self.now).count();
        let shed = self.shed && busy == self.slots.len();
        let end = match shed {
            true => self.now + 100,
            false => self.occupy(),
        };
        self.ends.push(Reverse((end, self.now, epoch, shed)));
        let running = self.ends.len() as u32;
        self.limit.record_start(self.millis(), running);
    }

    /// Returns when a call ends that takes the slot that is free first.
    fn occupy(&mut self) -> u64 {
        let service = (self.service as f64 * (self.draw)(&mut self.rng)) as u64;
        let now = self.now;
        let slot = self.slots.iter_mut().min().expect("a server has slots");
        *slot = now.max(*slot) + service;
        *slot
    }

    fn finish(&mut self) {
        let Reverse((end, start, epoch, shed)) = self.ends.pop().expect("the limit is above zero");
        self.now = self.now.max(end);
        if shed {
            self.sheds += 1;
            return self.limit.record_shed(epoch);
        }
        let us = (end - start) as u32;
        self.limit.record_success(self.millis(), epoch, us);
    }

    /// Runs `count` calls and returns the limit after each of them, sorted.
    fn limits(&mut self, count: u32) -> Vec<u32> {
        let mut limits: Vec<u32> = (0..count)
            .map(|_| {
                self.run(1);
                self.limit.value(self.millis())
            })
            .collect();
        limits.sort_unstable();
        limits
    }

    /// Returns the lowest and the highest limit over `count` calls.
    fn range(&mut self, count: u32) -> (u32, u32) {
        let limits = self.limits(count);
        (limits[0], limits[limits.len() - 1])
    }
}

fn constant(_: &mut SmallRng) -> f64 {
    1.0
}

fn uniform(rng: &mut SmallRng) -> f64 {
    0.5 + rng.random::<f64>()
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn limit(initial: u32) -> ConcurrencyLimit {
    ConcurrencyLimit::new(initial, 1, 100, Millis(0), 0)
}

#[rstest]
fn finds_a_dozen_slots(
    #[values(4, 12, 60)] initial: u32,
    #[values(constant, uniform, exponential)] draw: fn(&mut SmallRng) -> f64,
) {
    let mut sim = Sim::new(limit(initial), 12, 5_000);
    sim.draw = draw;
    sim.run(20_000);
    let start = sim.now;
    let limits = sim.limits(20_000);
    let (low, high) = (limits[2_000], limits[18_000]);
    assert!(low >= 8 && high <= 20, "nine in ten from {low} to {high}");
    let capacity = (sim.now - start) * 12 / 5_000;
    let percent = 20_000 * 100 / capacity;
    assert!(percent >= 85, "{percent} % of the slots were used");
}

#[rstest]
#[case::from_below(4)]
#[case::from_above(40)]
fn finds_the_slots_of_a_server_that_sheds(#[case] initial: u32) {
    let mut sim = Sim::new(limit(initial), 12, 5_000);
    sim.shed = true;
    sim.run(20_000);
    sim.sheds = 0;
    let (low, high) = sim.range(20_000);
    assert!(low >= 10, "lowest limit {low}");
    assert!(high <= 14, "highest limit {high}");
    assert!(sim.sheds <= 40, "{} calls of 20000 were shed", sim.sheds);
}

#[test]
fn follows_a_server_that_loses_and_regains_slots() {
    let mut sim = Sim::new(limit(12), 12, 5_000);
    sim.run(10_000);
    sim.slots.truncate(6);
    sim.run(5_000);
    let (_, high) = sim.range(5_000);
    assert!(high <= 10, "limit {high} with 6 slots");
    sim.slots.resize(12, 0);
    sim.run(10_000);
    let (low, _) = sim.range(5_000);
    assert!(low >= 8, "limit {low} with 12 slots");
}

#[test]
fn recovers_when_the_server_itself_became_slower() {
    let mut sim = Sim::new(limit(12), 12, 5_000);
    sim.run(10_000);
    sim.service = 50_000;
    sim.run(10_000);
    let (low, _) = sim.range(5_000);
    assert!(low >= 8, "limit {low} after the service time grew tenfold");
    sim.service = 5_000;
    sim.run(10_000);
    let (low, high) = sim.range(5_000);
    assert!((8..=20).contains(&low) && high <= 20, "{low} to {high}");
}

#[test]
fn holds_while_calls_fail() {
    let mut limit = limit(4);
    for _ in 0..10_000 {
        let epoch = limit.epoch();
        limit.record_start(Millis(0), 4);
        limit.record_failure(epoch);
    }
    assert_eq!(limit.value(Millis(0)), 4);
    for i in 0..10_000 {
        let epoch = limit.epoch();
        limit.record_start(Millis(0), 4);
        match i % 2 {
            0 => limit.record_failure(epoch),
            _ => limit.record_success(Millis(0), epoch, 5_000),
        }
    }
    assert_eq!(limit.value(Millis(0)), 4);
}

#[test]
fn holds_while_it_is_not_used_up() {
    let mut limit = limit(4);
    for _ in 0..10_000 {
        let epoch = limit.epoch();
        limit.record_start(Millis(0), 3);
        limit.record_success(Millis(0), epoch, 5_000);
    }
    assert_eq!(limit.value(Millis(0)), 4);
}

#[test]
fn falls_once_for_all_calls_shed_in_an_epoch() {
    let mut limit = limit(40);
    let epoch = limit.epoch();
    for _ in 0..40 {
        limit.record_shed(epoch);
    }
    assert_eq!(limit.value(Millis(0)), 36);
}

#[test]
fn stays_between_its_bounds() {
    let mut limit = ConcurrencyLimit::new(50, 3, 8, Millis(0), 0);
    assert_eq!(limit.value(Millis(0)), 8);
    for _ in 0..100 {
        let epoch = limit.epoch();
        limit.record_shed(epoch);
    }
    assert_eq!(limit.value(Millis(0)), 3);
    limit.resize(5, 6);
    assert_eq!(limit.value(Millis(0)), 5);
    limit.resize(0, 0);
    assert_eq!(limit.value(Millis(0)), 1);
}

#[test]
fn rises_from_the_floor_after_a_start() {
    let mut limit = ConcurrencyLimit::new(11, 1, 20, Millis(100), 1_000);
    let value = |limit: &ConcurrencyLimit, ms| limit.value(Millis(ms));
    assert_eq!(value(&limit, 100), 1);
    assert_eq!(limit.next_rise(Millis(100)), Some(Millis(200)));
    assert_eq!(value(&limit, 199), 1);
    assert_eq!(value(&limit, 200), 2);
    assert_eq!(value(&limit, 600), 6);
    assert_eq!(value(&limit, 1_100), 11);
    assert_eq!(limit.next_rise(Millis(1_100)), None);
    limit.restart(Millis(5_000), 1_000);
    assert_eq!(value(&limit, 5_000), 1);
    assert_eq!(value(&limit, 6_000), 11);
}

#[test]
fn a_changed_ramp_counts_while_the_limit_rises_and_not_after() {
    let mut limit = ConcurrencyLimit::new(12, 2, 48, Millis(0), 10_000);
    assert_eq!(limit.value(Millis(1_000)), 3);
    limit.set_ramp(Millis(1_000), 0);
    assert_eq!(limit.value(Millis(1_000)), 12);
    limit.set_ramp(Millis(1_001), 10_000);
    assert_eq!(limit.value(Millis(1_001)), 12);
}
