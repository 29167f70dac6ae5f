//! Compares the policies of choice on the same arrivals, with one event heap and no waiting.
//!
//! One service of five backend servers with twelve slots each is driven by a few ingresses.
//! Arrivals are open-loop and latency counts from the intended send time. A request that is
//! refused, failed or too late counts with the deadline as its latency. The bound is one queue
//! over all slots, or without the faulty backend server's if it is slow or fails, with the same
//! arrivals and service times and without delays.
//!
//! Options: `--ingresses 5 --seconds 20 --seed 1 --loads 50,70 --faults none,straggler
//! --policies adaptive,random --shape even`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oriolering::{
    Attempt, AttemptState, Candidate, Cause, ChoiceSettings, Chooser, Failure, LoadHint, Millis,
    Policy, Refusal, RetryBudget, ServerKey, Step, ZoneKey, next_step,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 5;
const SLOTS: usize = 12;
const ZONES: usize = 4;
const QUEUE: usize = 24;
const SERVICE_US: f64 = 10_000.0;
const DEADLINE_US: u64 = 1_000_000;
const FAULT_US: u64 = 5_000_000;
const MEASURE_US: u64 = 6_000_000;
const PAUSE_US: u64 = 50_000;
const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::Adaptive,
];

/// A request with its intended send time.
struct Request {
    at: u64,
    service: u64,
    ingress: usize,
    idempotent: bool,
}

/// One attempt of a request and how it ended.
struct Try {
    request: usize,
    server: usize,
    sent: u64,
    end: Attempt,
    hint: LoadHint,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Done(usize),
    Answer(usize),
    Restart,
}

/// A gate with its backend server.
struct Gate {
    running: usize,
    queue: VecDeque<usize>,
    recent: VecDeque<u64>,
    pauses: Vec<u64>,
}

/// The state of one run.
struct Run<'a> {
    requests: &'a [Request],
    fault: &'a str,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    gates: Vec<Gate>,
    choosers: Vec<Chooser>,
    budgets: Vec<RetryBudget>,
    states: Vec<(u32, Vec<ServerKey>)>,
    tries: Vec<Try>,
    latency: Vec<u64>,
    rng: StdRng,
}

fn candidates(fresh: bool) -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        server: ServerKey(i as u32),
        name: i as u64 + 100,
        zone: ZoneKey((i % ZONES) as u32),
        leaving: false,
        fresh: fresh && i == 0,
    };
    (0..SERVERS).map(candidate).collect()
}

fn chooser(policy: Policy, fault: &str, ingress: usize) -> Chooser {
    let mut chooser = Chooser::new(ChoiceSettings {
        policy,
        subset: if fault.contains("subset") { 3 } else { 0 },
        ramp: 2000,
        zone: ZoneKey((ingress % ZONES) as u32),
        node: ingress as u64,
    });
    chooser.update(Millis(0), &candidates(false));
    chooser
}

impl<'a> Run<'a> {
    fn new(requests: &'a [Request], fault: &'a str, policy: Policy, ingresses: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(7);
        let end = requests.last().map_or(0, |r| r.at);
        let gate = |_| Gate {
            running: 0,
            queue: VecDeque::new(),
            recent: VecDeque::new(),
            pauses: draw_pauses(&mut rng, fault, end),
        };
        let gates = (0..SERVERS).map(gate).collect();
        Self {
            requests,
            fault,
            events: BinaryHeap::new(),
            order: 0,
            gates,
            choosers: (0..ingresses).map(|i| chooser(policy, fault, i)).collect(),
            budgets: vec![RetryBudget::new(10, Millis(0)); ingresses],
            states: vec![(0, Vec::new()); requests.len()],
            tries: Vec::new(),
            latency: vec![DEADLINE_US; requests.len()],
            rng,
        }
    }

    fn run(mut self) -> (Vec<u64>, f64) {
        for i in 0..self.requests.len() {
            self.push(self.requests[i].at, Event::Arrive(i));
        }
        if self.fault.contains("cold") {
            self.push(FAULT_US, Event::Restart);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(i) => {
                    self.budgets[self.requests[i].ingress].deposit(Millis(now / 1000));
                    self.send(now, i);
                }
                Event::Reach(t) => self.reach(now, t),
                Event::Done(t) => self.done(now, t),
                Event::Answer(t) => self.answer(now, t),
                Event::Restart => {
                    for chooser in &mut self.choosers {
                        chooser.update(Millis(now / 1000), &candidates(true));
                    }
                }
            }
        }
        let is_local = |t: &&Try| t.server % ZONES == self.requests[t.request].ingress % ZONES;
        let local = self.tries.iter().filter(is_local).count();
        let local = 100.0 * local as f64 / self.tries.len() as f64;
        (self.latency, local)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn send(&mut self, now: u64, request: usize) {
        let ingress = self.requests[request].ingress;
        let exclude = &self.states[request].1;
        let ms = Millis(now / 1000);
        let Some(server) = self.choosers[ingress].pick(ms, &mut self.rng, exclude) else {
            return;
        };
        self.states[request].0 += 1;
        self.states[request].1.push(server);
        let server = server.0 as usize;
        self.tries.push(Try {
            request,
            server,
            sent: now,
            end: Attempt::Refused,
            hint: LoadHint::default(),
        });
        let way = if server % ZONES == ingress % ZONES {
            100
        } else {
            1000
        };
        self.push(now + way, Event::Reach(self.tries.len() - 1));
    }

    fn reach(&mut self, now: u64, t: usize) {
        let server = self.tries[t].server;
        let gate = &mut self.gates[server];
        if gate.running < SLOTS {
            self.start(now, t);
        } else if gate.queue.len() < QUEUE {
            gate.queue.push_back(t);
        } else {
            self.reply(now, t, Attempt::Refused);
        }
    }

    fn start(&mut self, now: u64, t: usize) {
        let server = self.tries[t].server;
        let service = self.requests[self.tries[t].request].service;
        let faulty = server == 0 && now >= FAULT_US;
        let service = match faulty {
            true if self.fault.contains("fail-fast") => 500,
            true if self.fault.contains("straggler") => service * 10,
            true if self.fault.contains("cold") => {
                let left = 2_000_000u64.saturating_sub(now - FAULT_US);
                service + service * 3 * left / 2_000_000
            }
            true | false => service,
        };
        let gate = &mut self.gates[server];
        gate.running += 1;
        let end = end_of(now, service, &gate.pauses);
        gate.recent.push_back(end - now);
        if gate.recent.len() > 17 {
            gate.recent.pop_front();
        }
        self.push(end, Event::Done(t));
    }

    fn done(&mut self, now: u64, t: usize) {
        let Try {
            request,
            server,
            sent,
            ..
        } = self.tries[t];
        let latency_us = now - sent;
        self.gates[server].running -= 1;
        let failed = server == 0 && now >= FAULT_US && self.fault.contains("fail-fast");
        let end = if failed {
            Attempt::Failed { latency_us }
        } else {
            let latency = now - self.requests[request].at;
            self.latency[request] = latency.min(DEADLINE_US);
            Attempt::Served { latency_us }
        };
        if let Some(next) = self.gates[server].queue.pop_front() {
            self.start(now, next);
        }
        self.reply(now, t, end);
    }

    /// Sends the end of an attempt with the gate's report back to the ingress.
    fn reply(&mut self, now: u64, t: usize, end: Attempt) {
        let server = self.tries[t].server;
        let gate = &self.gates[server];
        let lying = server == 0 && now >= FAULT_US && self.fault.contains("frozen");
        let mut recent: Vec<u64> = gate.recent.iter().copied().collect();
        recent.sort_unstable();
        let hint = LoadHint {
            running: if lying { 2 } else { gate.running as u32 },
            queued: if lying { 0 } else { gate.queue.len() as u32 },
            limit: SLOTS as u32,
            latency_us: match recent.get(recent.len() / 2) {
                Some(&median) if !lying => median as u32,
                Some(_) | None => 7000,
            },
            leaving: false,
        };
        self.tries[t].end = end;
        self.tries[t].hint = hint;
        let way = self.rng.random_range(1000..3000);
        self.push(now + way, Event::Answer(t));
    }

    fn answer(&mut self, now: u64, t: usize) {
        let Try {
            request,
            server,
            end,
            hint,
            ..
        } = self.tries[t];
        let Request {
            at,
            ingress,
            idempotent,
            ..
        } = self.requests[request];
        let key = ServerKey(server as u32);
        let ms = Millis(now / 1000);
        self.choosers[ingress].hint(ms, key, hint);
        self.choosers[ingress].finish(ms, key, end);
        let failure = match end {
            Attempt::Served { .. } | Attempt::Silent | Attempt::Cancelled => return,
            Attempt::Failed { .. } => Failure::MayHaveRun,
            Attempt::Refused => Failure::Refused(Refusal {
                cause: Cause::Full,
                retry_after: 0,
            }),
        };
        let state = AttemptState {
            idempotent,
            uncertain: failure == Failure::MayHaveRun,
            attempts: self.states[request].0,
            limit: 3,
            crashes: 0,
            left_ms: DEADLINE_US.saturating_sub(now - at) / 1000,
        };
        match next_step(failure, &state, &mut self.budgets[ingress], ms) {
            Step::Elsewhere => self.send(now, request),
            Step::Answer(_, _) => {}
        }
    }
}

/// Returns when work of `service` that starts at `now` ends, standing still during pauses.
fn end_of(now: u64, service: u64, pauses: &[u64]) -> u64 {
    let mut end = now + service;
    let first = pauses.partition_point(|&p| p + PAUSE_US <= now);
    for &pause in &pauses[first..] {
        if pause >= end {
            break;
        }
        end += pause + PAUSE_US - pause.max(now);
    }
    end
}

fn draw_pauses(rng: &mut StdRng, fault: &str, end: u64) -> Vec<u64> {
    let mut pauses = Vec::new();
    let mut at = 0;
    while fault.contains("noisy") && at < end {
        at += PAUSE_US + rng.random_range(500_000..3_500_000);
        pauses.push(at);
    }
    pauses
}

/// Draws a service time with a mean of [`SERVICE_US`]: half to one and a half times the mean
/// for `even`, exponential for any other shape.
fn draw_service(rng: &mut StdRng, shape: &str) -> u64 {
    let factor = match shape {
        "even" => rng.random_range(0.5..1.5),
        _ => -(1.0 - rng.random::<f64>()).ln(),
    };
    (SERVICE_US * factor) as u64 + 1
}

fn draw_requests(
    shape: &str,
    seed: u64,
    load: f64,
    burst: bool,
    ingresses: usize,
    seconds: u64,
) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let gap = SERVICE_US / ((SERVERS * SLOTS) as f64 * load);
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < (seconds * 1_000_000) as f64 {
        let double = burst && at % 1_000_000.0 < 40_000.0;
        let factor = if double { 0.5 } else { 1.0 };
        at -= gap * factor * (1.0 - rng.random::<f64>()).ln();
        requests.push(Request {
            at: at as u64,
            service: draw_service(&mut rng, shape),
            ingress: rng.random_range(0..ingresses),
            idempotent: rng.random_bool(0.7),
        });
    }
    requests
}

/// Returns the latencies with one queue over all slots.
fn bound(requests: &[Request], slots: usize) -> Vec<u64> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let serve = |r: &Request| {
        while waiting.front().is_some_and(|&start| start <= r.at) {
            waiting.pop_front();
        }
        let Some(Reverse(slot)) = free.peek().copied() else {
            return DEADLINE_US;
        };
        if waiting.len() >= slots / SLOTS * QUEUE {
            return DEADLINE_US;
        }
        free.pop();
        let start = slot.max(r.at);
        waiting.push_back(start);
        free.push(Reverse(start + r.service));
        (start + r.service - r.at).min(DEADLINE_US)
    };
    requests.iter().map(serve).collect()
}

/// The figures of one run: p50, p99 and p99.9 in milliseconds, and the share of goodput.
fn figures(requests: &[Request], latency: &[u64]) -> [f64; 4] {
    let measured = requests
        .iter()
        .zip(latency)
        .filter(|(r, _)| r.at >= MEASURE_US);
    let mut sorted: Vec<u64> = measured.map(|(_, &us)| us).collect();
    sorted.sort_unstable();
    let quantile = |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize] as f64 / 1000.0;
    let good = sorted.iter().filter(|&&us| us < DEADLINE_US).count() as f64;
    let good = 100.0 * good / sorted.len() as f64;
    [quantile(0.5), quantile(0.99), quantile(0.999), good]
}

fn option(name: &str, default: &str) -> String {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1).unwrap_or_else(|| default.to_owned())
}

fn main() {
    let number = |name, default| {
        option(name, default)
            .parse::<u64>()
            .expect("a whole number")
    };
    let ingresses = number("--ingresses", "5") as usize;
    let (seconds, seed) = (number("--seconds", "20"), number("--seed", "1"));
    let every =
        "none,burst,subset,straggler,fail-fast,frozen,noisy,cold,straggler+frozen,straggler+noisy";
    let faults = option("--faults", every);
    let shape = option("--shape", "even");
    let only = option("--policies", "");
    println!(
        "load fault             policy           p50    p99   p99.9  bound99 ratio bound999 ratio   good%"
    );
    for load in option("--loads", "50,70,85,95,120").split(',') {
        let share = load.parse::<f64>().expect("a load in percent") / 100.0;
        for fault in faults.split(',') {
            let requests = draw_requests(
                &shape,
                seed,
                share,
                fault.contains("burst"),
                ingresses,
                seconds,
            );
            let is_lost = fault.contains("straggler") || fault.contains("fail-fast");
            let slots = SLOTS * if is_lost { SERVERS - 1 } else { SERVERS };
            let [_, b99, b999, bgood] = figures(&requests, &bound(&requests, slots));
            for policy in POLICIES {
                let name = format!("{policy:?}");
                if !only.is_empty() && !only.contains(&name.to_lowercase()) {
                    continue;
                }
                let run = Run::new(&requests, fault, policy, ingresses);
                let (latency, local) = run.run();
                let [p50, p99, p999, good] = figures(&requests, &latency);
                println!(
                    "{load:>4} {fault:<17} {name:<14} {p50:>6.1} {p99:>6.1} {p999:>7.1} {b99:>8.1} \
                     {:>5.2} {b999:>8.1} {:>5.2}  {good:>6.2}/{bgood:.2} {local:>5.1}",
                    p99 / b99,
                    p999 / b999,
                );
            }
        }
    }
}
