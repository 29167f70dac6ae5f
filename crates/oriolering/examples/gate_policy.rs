//! Prints what a burst of one customer costs the others, with and without the gate's policy.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::binary_heap::{BinaryHeap, PeekMut};

use oriolering::{
    CallId, Decision, Finish, Gate, GateEvent, GateSettings, Incarnation, Millis, Offer, Ticket,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 12;
const SERVICE_US: f64 = 5_000.0;
const QUIET: u64 = 20;
const QUIET_PER_S: f64 = 60.0;
const BURST_PER_S: f64 = 6_000.0;
const RUN_US: u64 = 20_000_000;
const DEADLINE_MS: u64 = 250;
const BURST: u64 = 1_000;

/// A policy: whether the customer is known to the gate, and its settings.
struct Policy {
    name: &'static str,
    keyed: bool,
    settings: GateSettings,
}

/// A call on its way.
#[derive(Clone, Copy)]
struct Call {
    customer: u64,
    arrived: u64,
    sent: u64,
}

/// The callers, the gate and a backend server with a queue of its own.
struct Sim {
    gate: Gate,
    rng: SmallRng,
    keyed: bool,
    calls: HashMap<Ticket, Call>,
    slots: Vec<u64>,
    ends: BinaryHeap<Reverse<(u64, Ticket)>>,
    latencies: Vec<u64>,
    refused: u64,
    burst_done: u64,
}

impl Sim {
    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.random::<f64>()).ln() * mean) as u64
    }

    fn refuse(&mut self, customer: u64) {
        self.refused += u64::from(customer != BURST);
    }

    fn send(&mut self, now: u64, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(&ticket) else {
            return;
        };
        call.sent = now;
        let customer = call.customer;
        if self.gate.dispatch(Millis(now / 1_000), ticket).is_err() {
            return self.refuse(customer);
        }
        let service = self.exponential(SERVICE_US);
        if let Some(slot) = self.slots.iter_mut().min() {
            *slot = now.max(*slot) + service;
            self.ends.push(Reverse((*slot, ticket)));
        }
    }

    fn events(&mut self, now: u64) {
        while let Some(event) = self.gate.next_event(Millis(now / 1_000)) {
            match event {
                GateEvent::Start(ticket) => self.send(now, ticket),
                GateEvent::Refuse(ticket, _) => {
                    if let Some(call) = self.calls.remove(&ticket) {
                        self.refuse(call.customer);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, id: CallId, customer: u64) {
        let offer = Offer {
            id,
            ack: id.seq.saturating_sub(1_000),
            customer: if self.keyed { customer } else { 0 },
            deadline: Millis(now / 1_000 + DEADLINE_MS),
            fingerprint: 0,
        };
        let call = Call {
            customer,
            arrived: now,
            sent: now,
        };
        match self.gate.offer(Millis(now / 1_000), offer) {
            Decision::Start(ticket) => {
                self.calls.insert(ticket, call);
                self.send(now, ticket);
            }
            Decision::Wait(ticket) => {
                self.calls.insert(ticket, call);
            }
            Decision::Refuse(_) => self.refuse(customer),
        }
        self.events(now);
    }

    fn finish_until(&mut self, now: u64) {
        while let Some((end, ticket)) = pop_until(&mut self.ends, now) {
            if let Some(call) = self.calls.remove(&ticket) {
                let latency_us = (end - call.sent) as u32;
                let finish = Finish::Done { latency_us };
                self.gate.finish(Millis(end / 1_000), ticket, finish);
                match call.customer {
                    BURST => self.burst_done += 1,
                    _ => self.latencies.push(end - call.arrived),
                }
            }
            self.events(end);
        }
    }
}

/// Takes the next end of a run when it is not after `now`.
fn pop_until(ends: &mut BinaryHeap<Reverse<(u64, Ticket)>>, now: u64) -> Option<(u64, Ticket)> {
    let next = ends.peek_mut().filter(|next| next.0.0 <= now)?;
    Some(PeekMut::pop(next).0)
}

/// Runs the callers against a policy, and prints how the quiet customers fared.
fn run(policy: &Policy, burst: bool) {
    let mut gate = Gate::new(policy.settings, Incarnation(1), Millis(0));
    let grant = gate.open_session(Millis(0));
    let mut sim = Sim {
        gate,
        rng: SmallRng::seed_from_u64(7),
        keyed: policy.keyed,
        calls: HashMap::new(),
        slots: vec![0; SLOTS],
        ends: BinaryHeap::new(),
        latencies: Vec::new(),
        refused: 0,
        burst_done: 0,
    };
    let quiet_rate = QUIET as f64 * QUIET_PER_S;
    let (mut now, mut seq) = (0, 0);
    while now < RUN_US {
        let bursting = burst && (now / 1_000_000) % 4 == 3;
        let rate = quiet_rate + if bursting { BURST_PER_S } else { 0.0 };
        now += sim.exponential(1e6 / rate);
        seq += 1;
        let quiet = sim.rng.random_bool(quiet_rate / rate);
        let customer = match quiet {
            true => sim.rng.random_range(1..=QUIET),
            false => BURST,
        };
        sim.finish_until(now);
        sim.arrive(now, CallId { grant, seq }, customer);
    }
    sim.latencies.sort_unstable();
    let count = sim.latencies.len();
    let at = |permille: usize| sim.latencies[(count - 1) * permille / 1_000] as f64 / 1e3;
    println!(
        "{:<34} {:>5} {:>7.1} {:>7.1} {:>7.1} {:>9.2} {:>8}",
        policy.name,
        if burst { "yes" } else { "no" },
        at(500),
        at(990),
        at(999),
        sim.refused as f64 * 100.0 / (count as u64 + sim.refused) as f64,
        sim.burst_done,
    );
}

fn main() {
    let gate = GateSettings {
        initial: 8,
        min: 1,
        max: 200,
        queue_length: 100,
        queue_wait_ms: 200,
        ramp_ms: 0,
        sessions: 1,
        max_state_runs: 100_000,
    };
    let open = GateSettings {
        initial: 200,
        min: 200,
        ..gate
    };
    let policies = [
        ("no limit, no customer key", false, open),
        ("adaptive limit, no customer key", false, gate),
        ("adaptive limit, fair by customer", true, gate),
    ];
    println!("quiet customers: latency in ms, refused in %; the burst's calls done");
    println!("policy                             burst     p50     p99   p99.9   refused     done");
    for (name, keyed, settings) in policies {
        let policy = Policy {
            name,
            keyed,
            settings,
        };
        run(&policy, false);
        run(&policy, true);
    }
}
