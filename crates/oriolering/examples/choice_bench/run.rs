//! The simulation of one policy over the arrivals.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oriolering::{
    AttemptResult, Candidate, Cause, ChoiceSettings, Chooser, Failure, LoadHint, Millis, Policy,
    Refusal, RetryBudget, RetryDecision, RetryState, ServerKey, ZoneKey, decide_retry,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::arrivals::Request;
use crate::{DEADLINE_US, FAULT_START_US, PAUSE_US, QUEUE, SERVERS, SLOTS, ZONES};

/// One attempt of a request and its result.
struct Attempt {
    request: usize,
    server: usize,
    sent: u64,
    result: AttemptResult,
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

/// A gate and its backend server.
struct Gate {
    running: usize,
    queue: VecDeque<usize>,
    recent: VecDeque<u64>,
    pauses: Vec<u64>,
}

/// The state of one run.
pub(crate) struct Run<'a> {
    requests: &'a [Request],
    fault: &'a str,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    gates: Vec<Gate>,
    choosers: Vec<Chooser>,
    budgets: Vec<RetryBudget>,
    states: Vec<(u32, Vec<ServerKey>)>,
    attempts: Vec<Attempt>,
    latency: Vec<u64>,
    rng: StdRng,
}

fn candidates(restarted: bool) -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        server: ServerKey(i as u32),
        id_hash: i as u64 + 100,
        zone: ZoneKey((i % ZONES) as u32),
        leaving: false,
        new_incarnation: restarted && i == 0,
    };
    (0..SERVERS).map(candidate).collect()
}

fn chooser(policy: Policy, fault: &str, ingress: usize) -> Chooser {
    let mut chooser = Chooser::new(ChoiceSettings {
        policy,
        subset_size: if fault.contains("subset") { 3 } else { 0 },
        ramp_ms: 2000,
        zone: ZoneKey((ingress % ZONES) as u32),
        node_hash: ingress as u64,
    });
    chooser.update(Millis(0), &candidates(false));
    chooser
}

impl<'a> Run<'a> {
    pub(crate) fn new(
        requests: &'a [Request],
        fault: &'a str,
        policy: Policy,
        ingresses: usize,
    ) -> Self {
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
            sequence: 0,
            gates,
            choosers: (0..ingresses).map(|i| chooser(policy, fault, i)).collect(),
            budgets: vec![RetryBudget::new(10, Millis(0)); ingresses],
            states: vec![(0, Vec::new()); requests.len()],
            attempts: Vec::new(),
            latency: vec![DEADLINE_US; requests.len()],
            rng,
        }
    }

    /// Processes all events, and returns the latencies and the percentage of attempts in the own
    /// zone.
    pub(crate) fn run(mut self) -> (Vec<u64>, f64) {
        for i in 0..self.requests.len() {
            self.push(self.requests[i].at, Event::Arrive(i));
        }
        if self.fault.contains("cold") {
            self.push(FAULT_START_US, Event::Restart);
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
        let is_local = |t: &&Attempt| t.server % ZONES == self.requests[t.request].ingress % ZONES;
        let local = self.attempts.iter().filter(is_local).count();
        let local = 100.0 * local as f64 / self.attempts.len() as f64;
        (self.latency, local)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
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
        self.attempts.push(Attempt {
            request,
            server,
            sent: now,
            result: AttemptResult::Refused,
            hint: LoadHint::default(),
        });
        let network_us = if server % ZONES == ingress % ZONES {
            100
        } else {
            1000
        };
        self.push(now + network_us, Event::Reach(self.attempts.len() - 1));
    }

    fn reach(&mut self, now: u64, t: usize) {
        let server = self.attempts[t].server;
        let gate = &mut self.gates[server];
        if server == 0 && now >= FAULT_START_US && self.fault.contains("shed") {
            self.reply(now, t, AttemptResult::Refused);
        } else if gate.running < SLOTS {
            self.start(now, t);
        } else if gate.queue.len() < QUEUE {
            gate.queue.push_back(t);
        } else {
            self.reply(now, t, AttemptResult::Refused);
        }
    }

    fn start(&mut self, now: u64, t: usize) {
        let server = self.attempts[t].server;
        let service = self.requests[self.attempts[t].request].service;
        let faulty = server == 0 && now >= FAULT_START_US;
        let service = match faulty {
            true if self.fault.contains("fail-fast") => 500,
            true if self.fault.contains("straggler") => service * 10,
            true if self.fault.contains("cold") => {
                let left = 2_000_000u64.saturating_sub(now - FAULT_START_US);
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
        let Attempt {
            request,
            server,
            sent,
            ..
        } = self.attempts[t];
        let latency_us = now - sent;
        self.gates[server].running -= 1;
        let failed = server == 0 && now >= FAULT_START_US && self.fault.contains("fail-fast");
        let result = if failed {
            AttemptResult::Failed { latency_us }
        } else {
            let latency = now - self.requests[request].at;
            self.latency[request] = latency.min(DEADLINE_US);
            AttemptResult::Served { latency_us }
        };
        if let Some(next) = self.gates[server].queue.pop_front() {
            self.start(now, next);
        }
        self.reply(now, t, result);
    }

    /// Sends the result of an attempt back to the ingress with the gate's load report.
    fn reply(&mut self, now: u64, t: usize, result: AttemptResult) {
        let server = self.attempts[t].server;
        let gate = &self.gates[server];
        let frozen = server == 0 && now >= FAULT_START_US && self.fault.contains("frozen");
        let mut recent: Vec<u64> = gate.recent.iter().copied().collect();
        recent.sort_unstable();
        let hint = LoadHint {
            running: if frozen { 2 } else { gate.running as u32 },
            queued: if frozen { 0 } else { gate.queue.len() as u32 },
            limit: SLOTS as u32,
            latency_us: match recent.get(recent.len() / 2) {
                Some(&median) if !frozen => median as u32,
                Some(_) | None => 7000,
            },
            leaving: false,
        };
        self.attempts[t].result = result;
        self.attempts[t].hint = hint;
        let network_us = self.rng.random_range(1000..3000);
        self.push(now + network_us, Event::Answer(t));
    }

    fn answer(&mut self, now: u64, t: usize) {
        let Attempt {
            request,
            server,
            result,
            hint,
            ..
        } = self.attempts[t];
        let Request {
            at,
            ingress,
            idempotent,
            ..
        } = self.requests[request];
        let latency_us = now - self.attempts[t].sent;
        let result = match result {
            AttemptResult::Served { .. } => AttemptResult::Served { latency_us },
            AttemptResult::Failed { .. } => AttemptResult::Failed { latency_us },
            AttemptResult::Refused | AttemptResult::NoResponse | AttemptResult::Cancelled => result,
        };
        let key = ServerKey(server as u32);
        let ms = Millis(now / 1000);
        self.choosers[ingress].hint(ms, key, hint);
        self.choosers[ingress].finish(ms, key, result);
        let failure = match result {
            AttemptResult::Served { .. } | AttemptResult::NoResponse | AttemptResult::Cancelled => {
                return;
            }
            AttemptResult::Failed { .. } => Failure::MayHaveRun,
            AttemptResult::Refused => Failure::Refused(Refusal {
                cause: Cause::Full,
                retry_after: 0,
            }),
        };
        let state = RetryState {
            idempotent,
            uncertain: failure == Failure::MayHaveRun,
            attempts: self.states[request].0,
            max_attempts: 3,
            crashes: 0,
            remaining_ms: DEADLINE_US.saturating_sub(now - at) / 1000,
        };
        match decide_retry(failure, &state, &mut self.budgets[ingress], ms) {
            RetryDecision::Retry => self.send(now, request),
            RetryDecision::Answer(_, _) => {}
        }
    }
}

/// Returns when work of `service` that starts at `now` completes, with no progress in pauses.
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
