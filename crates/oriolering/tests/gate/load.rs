//! Refusals by a gate under a simulated load within the capacity of its backend server.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oriolering::{
    CallId, Decision, Finish, Gate, GateEvent, GateSettings, Grant, Incarnation, Millis, Offer,
    Ticket,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SLOTS: usize = 12;
const MEAN_US: f64 = 20_000.0;
const DEADLINE_MS: u64 = 2_000;
const CALLS: u32 = 20_000;
/// The number and length of the uploads, and below the short calls, at each node in the bench test
/// of a leaving instance.
const UPLOADS: u32 = 4;
const UPLOAD_US: u64 = 6_000_000;
const SHORT_US: f64 = 10_000.0;
/// The load of 50 calls per second with the mean service time.
const SHORT_LOAD: f64 = 50.0 * MEAN_US / 1e6 / SLOTS as f64;

const SETTINGS: GateSettings = GateSettings {
    initial: 12,
    min: 2,
    max: 12,
    queue_length: 24,
    queue_wait_ms: 200,
    ramp_ms: 0,
    sessions: 16,
    max_state_runs: 100_000,
};

/// A running call: its end, its start and its ticket.
type Run = Reverse<(u64, u64, Ticket)>;

/// A simulation of a gate, the slots of its backend server and callers that arrive at random.
struct Simulation {
    gate: Gate,
    grant: Grant,
    rng: SmallRng,
    now: u64,
    slots: Vec<u64>,
    runs: BinaryHeap<Run>,
    sequence: u64,
    refused: usize,
    mean_us: f64,
    fixed_us: Option<u64>,
}

impl Simulation {
    fn new(settings: GateSettings, seed: u64) -> Self {
        let mut gate = Gate::new(settings, Incarnation(1), Millis(0));
        Self {
            grant: gate.open_session(Millis(0)),
            gate,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            slots: vec![0; SLOTS],
            runs: BinaryHeap::new(),
            sequence: 0,
            refused: 0,
            mean_us: MEAN_US,
            fixed_us: None,
        }
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    /// Returns an exponentially distributed time with this mean.
    fn draw_exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.random::<f64>()).ln() * mean) as u64
    }

    /// Offers `count` calls at random times that keep the share `load` of the slots busy.
    fn run(&mut self, count: u32, load: f64) {
        for _ in 0..count {
            let gap = self.draw_exponential(MEAN_US / SLOTS as f64 / load);
            self.advance(gap);
            self.offer();
        }
    }

    /// Offers `count` calls at once that take `us` microseconds each.
    fn offer_fixed(&mut self, count: u32, us: u64) {
        self.fixed_us = Some(us);
        for _ in 0..count {
            self.offer();
        }
        self.fixed_us = None;
    }

    /// Advances the time by `us` microseconds.
    fn advance(&mut self, us: u64) {
        let until = self.now + us;
        while let Some(end) = self.next_end().filter(|end| *end <= until) {
            self.now = end;
            self.finish();
        }
        self.now = until;
    }

    fn next_end(&self) -> Option<u64> {
        self.runs.peek().map(|run| run.0.0)
    }

    fn offer(&mut self) {
        self.sequence += 1;
        let now = self.millis();
        let offer = Offer {
            id: CallId {
                grant: self.grant,
                seq: self.sequence,
            },
            ack: self.sequence.saturating_sub(10_000),
            customer: 0,
            deadline: now + DEADLINE_MS,
            fingerprint: 0,
        };
        match self.gate.offer(now, offer) {
            Decision::Start(ticket) => self.start(ticket),
            Decision::Refuse(_) => self.refused += 1,
            Decision::Wait(_) => {}
        }
        self.handle_events();
    }

    fn handle_events(&mut self) {
        while let Some(event) = self.gate.next_event(self.millis()) {
            match event {
                GateEvent::Start(ticket) => self.start(ticket),
                GateEvent::Refuse(..) => self.refused += 1,
            }
        }
    }

    /// Runs a call on the first slot that becomes free.
    fn start(&mut self, ticket: Ticket) {
        self.gate
            .dispatch(self.millis(), ticket)
            .expect("no call is fenced");
        let service = match self.fixed_us {
            Some(us) => us,
            None => self.draw_exponential(self.mean_us),
        };
        let slot = self.slots.iter_mut().min().expect("a server has slots");
        *slot = self.now.max(*slot) + service;
        self.runs.push(Reverse((*slot, self.now, ticket)));
    }

    fn finish(&mut self) {
        let Reverse((end, start, ticket)) = self.runs.pop().expect("a call runs");
        let latency_us = (end - start) as u32;
        self.gate
            .finish(self.millis(), ticket, Finish::Done { latency_us });
        self.handle_events();
    }
}

/// Returns the number of calls refused in ten simulations.
fn refused(settings: GateSettings, load: f64) -> usize {
    let simulate = |seed| {
        let mut sim = Simulation::new(settings, seed);
        sim.run(CALLS, load);
        sim.refused
    };
    (0..10).map(simulate).sum()
}

/// Bursts fill the queue even when the limit is known to be right. A gate that has to find its
/// limit may refuse hardly more calls than one with the right limit.
#[rstest]
fn finding_the_limit_refuses_hardly_any_additional_calls(
    #[values(12, 48)] max: u32,
    #[values(0.5, 0.7, 0.85)] load: f64,
) {
    let fixed = refused(
        GateSettings {
            min: 12,
            ..SETTINGS
        },
        load,
    );
    let adapted = refused(GateSettings { max, ..SETTINGS }, load);
    println!("max {max} load {load}: {adapted} calls refused, {fixed} with the right limit fixed");
    assert!(adapted <= fixed + CALLS as usize / 1_000);
}

/// Uploads hold slots while they wait for their callers. A backend server that is slow for a while
/// must not lower the limit to the number of uploads, or all other calls would be refused until the
/// uploads end.
#[rstest]
fn short_calls_are_served_beside_long_ones(#[values(1.0, 10.0)] slower: f64) {
    for seed in 0..10 {
        let mut sim = Simulation::new(SETTINGS, seed);
        sim.offer_fixed(UPLOADS, UPLOAD_US);
        sim.mean_us = SHORT_US * slower;
        sim.run(100, SHORT_LOAD);
        sim.mean_us = SHORT_US;
        sim.run(200, SHORT_LOAD);
        assert_eq!(sim.refused, 0, "seed {seed}");
    }
}
