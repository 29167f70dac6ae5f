//! One run of a policy over the arrivals.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oriolering::{
    AttemptResult, Candidate, Cause, ChoiceSettings, Chooser, Failure, LoadHint, Millis, Policy,
    Refusal, RetryBudget, RetryDecision, RetryState, ServerKey, ZoneKey, decide_retry,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::arrivals::Request;
use crate::{DEADLINE_US, FAULT_US, PAUSE_US, QUEUE, SERVERS, SLOTS, ZONES};

/// One attempt of a request and how it ended.
struct Try {
    request: usize,
    server: usize,
    sent: u64,
    end: AttemptResult,
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
pub(crate) struct Run<'a> {
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
        id_hash: i as u64 + 100,
        zone: ZoneKey((i % ZONES) as u32),
        leaving: false,
        new_incarnation: fresh && i == 0,
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

    /// Runs all events, and returns the latencies and the percentage of attempts in the own zone.
    pub(crate) fn run(mut self) -> (Vec<u64>, f64) {
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
            end: AttemptResult::Refused,
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
        if server == 0 && now >= FAULT_US && self.fault.contains("shed") {
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
            AttemptResult::Failed { latency_us }
        } else {
            let latency = now - self.requests[request].at;
            self.latency[request] = latency.min(DEADLINE_US);
            AttemptResult::Served { latency_us }
        };
        if let Some(next) = self.gates[server].queue.pop_front() {
            self.start(now, next);
        }
        self.reply(now, t, end);
    }

    /// Sends the end of an attempt with the gate's report back to the ingress.
    fn reply(&mut self, now: u64, t: usize, end: AttemptResult) {
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
        let latency_us = now - self.tries[t].sent;
        let end = match end {
            AttemptResult::Served { .. } => AttemptResult::Served { latency_us },
            AttemptResult::Failed { .. } => AttemptResult::Failed { latency_us },
            AttemptResult::Refused | AttemptResult::NoResponse | AttemptResult::Cancelled => end,
        };
        let key = ServerKey(server as u32);
        let ms = Millis(now / 1000);
        self.choosers[ingress].hint(ms, key, hint);
        self.choosers[ingress].finish(ms, key, end);
        let failure = match end {
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
