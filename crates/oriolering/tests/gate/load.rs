//! What callers get from a gate under a load that its backend server can carry.

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
/// Uploads as long, and short calls as many, as the proof of a leaving instance has at each node.
const UPLOADS: u32 = 4;
const UPLOAD_US: u64 = 6_000_000;
const SHORT_US: f64 = 10_000.0;
/// The load of 50 calls a second that take as long as is usual here.
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

/// A call that the backend server runs, by its end.
type Run = Reverse<(u64, u64, Ticket)>;

/// A gate, the slots of its backend server and callers that come at random.
struct Play {
    gate: Gate,
    grant: Grant,
    rng: SmallRng,
    now: u64,
    slots: Vec<u64>,
    runs: BinaryHeap<Run>,
    sequence: u64,
    refused: usize,
    mean: f64,
    fixed: Option<u64>,
}

impl Play {
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
            mean: MEAN_US,
            fixed: None,
        }
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    fn draw(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.random::<f64>()).ln() * mean) as u64
    }

    /// Offers `count` calls at `load`, the share of the slots that they keep busy.
    fn run(&mut self, count: u32, load: f64) {
        for _ in 0..count {
            let gap = self.draw(MEAN_US / SLOTS as f64 / load);
            self.wait(gap);
            self.offer();
        }
    }

    /// Offers `count` calls at once that take `us` each.
    fn hold(&mut self, count: u32, us: u64) {
        self.fixed = Some(us);
        for _ in 0..count {
            self.offer();
        }
        self.fixed = None;
    }

    /// Lets `us` microseconds pass.
    fn wait(&mut self, us: u64) {
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
        self.pump();
    }

    fn pump(&mut self) {
        while let Some(event) = self.gate.next_event(self.millis()) {
            match event {
                GateEvent::Start(ticket) => self.start(ticket),
                GateEvent::Refuse(..) => self.refused += 1,
            }
        }
    }

    /// Runs a call on the slot that is free first.
    fn start(&mut self, ticket: Ticket) {
        self.gate
            .dispatch(self.millis(), ticket)
            .expect("nothing fences calls here");
        let service = match self.fixed {
            Some(us) => us,
            None => self.draw(self.mean),
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
        self.pump();
    }
}

/// Returns how many of the calls of ten plays were refused.
fn refused(settings: GateSettings, load: f64) -> usize {
    let play = |seed| {
        let mut play = Play::new(settings, seed);
        play.run(CALLS, load);
        play.refused
    };
    (0..10).map(play).sum()
}

/// Bursts find the queue full also at a gate whose limit is known to be right; no more calls may
/// be refused at one that has to find its limit.
#[rstest]
fn no_call_is_refused_for_the_search_of_the_limit(
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
    println!("max {max} load {load}: {adapted} calls refused, {fixed} with the right limit");
    assert!(adapted <= fixed + CALLS as usize / 1_000);
}

/// Uploads that wait for their callers hold slots, and a backend server that is slow for a while
/// must not bring the limit down to them: all other calls would be refused until they end.
#[rstest]
fn short_calls_are_served_beside_long_ones(#[values(1.0, 10.0)] slower: f64) {
    for seed in 0..10 {
        let mut play = Play::new(SETTINGS, seed);
        play.hold(UPLOADS, UPLOAD_US);
        play.mean = SHORT_US * slower;
        play.run(100, SHORT_LOAD);
        play.mean = SHORT_US;
        play.run(200, SHORT_LOAD);
        assert_eq!(play.refused, 0, "seed {seed}");
    }
}
