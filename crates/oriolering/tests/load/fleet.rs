//! Simulates a fleet of ingresses and gates in virtual time.

use oriolering::{
    Admission, GateLoad, Job, Millis, RefusalReason, SchedulerEvent, choose_server, retry_after_ms,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::call::{Attempt, Call};
use crate::callers::Behavior;
use crate::events::{Event, Events};
use crate::gate::Gate;
use crate::ingress::{Ingress, ROUTE};
use crate::results::Results;
use crate::settings::{Load, Strategy};

// Offsets that separate the random number generators of one seed.
const SLOW_SEED: u64 = 1 << 32;
const CHOICE_SEED: u64 = 1 << 33;
const CALLER_SEED: u64 = 1 << 34;
/// The retry time if no gate named one, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// The state of the simulated fleet.
pub(crate) struct Fleet {
    pub(crate) load: Load,
    pub(crate) strategy: Strategy,
    /// Generates the arrivals; the same sequence for each strategy.
    arrival_rng: SmallRng,
    /// Selects the slow backend servers; the same sequence for each strategy.
    slow_rng: SmallRng,
    /// Used by the random decisions of the strategy.
    pub(crate) choice_rng: SmallRng,
    /// Draws the behavior of callers; the same sequence for each strategy.
    caller_rng: SmallRng,
    pub(crate) now: u64,
    /// The time of the next arrival, in fractional milliseconds.
    arrival: f64,
    pub(crate) events: Events,
    pub(crate) ingresses: Vec<Ingress>,
    pub(crate) gates: Vec<Gate>,
    pub(crate) calls: Vec<Call>,
    /// The calls in the single queue.
    pub(crate) queue: Vec<usize>,
    pub(crate) results: Results,
    /// The latency of each response, in milliseconds.
    latencies: Vec<u64>,
}

/// Simulates a load and returns the results.
pub(crate) fn simulate(load: Load, strategy: Strategy) -> Results {
    let mut fleet = Fleet::new(load, strategy);
    fleet.events.add(0, Event::ChangeSlow);
    fleet.events.add(0, Event::Probe);
    fleet.events.add(0, Event::Call);
    while let Some((now, event)) = fleet.events.next() {
        fleet.now = now;
        fleet.apply(event);
    }
    fleet.results.set_percentiles(&mut fleet.latencies);
    let limited = fleet.gates.iter().take(load.limited);
    fleet.results.limited_peak = limited.map(Gate::peak_in_window).max().unwrap_or(0);
    fleet.results
}

impl Fleet {
    fn new(load: Load, strategy: Strategy) -> Self {
        Self {
            load,
            strategy,
            arrival_rng: SmallRng::seed_from_u64(load.seed),
            slow_rng: SmallRng::seed_from_u64(load.seed + SLOW_SEED),
            choice_rng: SmallRng::seed_from_u64(load.seed + CHOICE_SEED),
            caller_rng: SmallRng::seed_from_u64(load.seed + CALLER_SEED),
            now: 0,
            arrival: 0.0,
            events: Events::default(),
            ingresses: (0..load.ingresses)
                .map(|number| Ingress::new(&load, number))
                .collect(),
            gates: (0..load.servers)
                .map(|server| Gate::new(load.slots, load.is_down(server), load.limit_of(server)))
                .collect(),
            calls: Vec::new(),
            queue: Vec::new(),
            results: Results::default(),
            latencies: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
            Event::Return { call } => self.send_again(call),
            Event::Leave { call } => self.leave(call),
            Event::Offer {
                call,
                gate,
                work_ms,
                elsewhere_ms,
            } => self.offer(call, gate, work_ms, elsewhere_ms),
            Event::Refused { call, gate, load } => self.refused(call, gate, load),
            Event::End { call, gate } => self.end(call, gate),
            Event::Answer {
                call,
                gate,
                load,
                ran_ms,
                percent,
            } => self.answer(call, gate, load, ran_ms, percent),
            Event::CheckRun { call, gate } => self.check_run(call, gate),
            Event::Cancel { call, gate } => self.cancel(call, gate),
            Event::Expire { call } => self.expire(call),
            Event::Wake { gate } => self.process_queue(gate),
            Event::Probe => self.probe(),
            Event::ChangeSlow => self.change_slow(),
            Event::Hint { gate, load } => self.hint(gate, load),
        }
    }

    fn has_arrivals(&self) -> bool {
        self.now < self.load.duration_ms
    }

    fn call(&mut self) {
        let ingress = self.choose_ingress();
        let behavior = self.load.callers.choose(&mut self.caller_rng);
        self.accept(Call::new(ingress, self.now, behavior, 1));
        let gap = -self.load.gap_ms() * (1.0 - self.arrival_rng.random::<f64>()).ln();
        self.arrival += gap;
        let next = self.arrival as u64;
        if next < self.load.duration_ms {
            self.events.add(next, Event::Call);
        }
    }

    /// Accepts a request at its ingress.
    fn accept(&mut self, accepted: Call) {
        let call = self.calls.len();
        let ingress = accepted.ingress;
        if accepted.behavior == Behavior::Leaving {
            let at = self.now + self.load.callers.leave_ms;
            self.events.add(at, Event::Leave { call });
        }
        self.calls.push(accepted);
        let budget = &mut self.ingresses[ingress].budget;
        budget.deposit(Millis(self.now));
        self.results.requests += 1;
        let deadline = self.now + self.load.deadline_ms;
        self.events.add(deadline, Event::Expire { call });
        match self.strategy {
            Strategy::Adaptive | Strategy::Random => self.dispatch(call),
            Strategy::OneQueue => {
                self.queue.push(call);
                self.assign_slots();
            }
        }
    }

    /// Sends a refused request again.
    fn send_again(&mut self, call: usize) {
        let Call {
            ingress,
            behavior,
            tries,
            ..
        } = self.calls[call];
        self.results.returned += 1;
        self.accept(Call::new(ingress, self.now, behavior, tries + 1));
    }

    /// Ends a request whose caller has closed its connection.
    fn leave(&mut self, call: usize) {
        if self.end_call(call) {
            self.results.left += 1;
        }
    }

    /// Chooses the ingress to which a caller sends its request.
    fn choose_ingress(&mut self) -> usize {
        let home = self.arrival_rng.random_range(0..self.load.ingresses);
        if self.load.shifted_percent == 0 {
            return home;
        }
        let moves = self.arrival_rng.random_range(0..100) < self.load.shifted_percent;
        if moves {
            home - self.load.zone_of(home)
        } else {
            home
        }
    }

    /// Returns the network latency between a request's ingress and a gate, in milliseconds.
    pub(crate) fn latency_ms(&self, call: usize, gate: usize) -> u64 {
        let far = self.load.is_far(self.calls[call].ingress, gate);
        self.load.hop_ms + if far { self.load.far_ms } else { 0 }
    }

    /// Sends a request to a gate, or refuses it.
    fn dispatch(&mut self, call: usize) {
        let now = Millis(self.now);
        let ingress = &self.ingresses[self.calls[call].ingress];
        let request_cost = ingress.request_cost(&self.load, self.calls[call].arrived, self.now);
        let cross_zone_cost = self.load.cross_zone_cost;
        let tried = &self.calls[call].tried;
        let refusals = self.calls[call].refusals as u32;
        let candidates = ingress.estimates.iter().enumerate();
        let mut candidates = candidates.filter(|(i, _)| !tried.contains(i));
        let (gate, expected_ms, elsewhere_ms) = match self.strategy {
            Strategy::Adaptive => {
                match choose_server(
                    now,
                    request_cost,
                    cross_zone_cost,
                    candidates,
                    &mut self.choice_rng,
                ) {
                    Some(place) => (
                        place.index,
                        place.expected_ms,
                        place.alternative_ms(refusals),
                    ),
                    None => return self.refuse(call),
                }
            }
            Strategy::Random | Strategy::OneQueue => {
                let count = self.load.servers - tried.len();
                let index = self.choice_rng.random_range(0..count);
                match candidates.nth(index) {
                    Some((gate, _)) => (gate, 0, None),
                    None => return self.refuse(call),
                }
            }
        };
        if self.now + expected_ms > self.deadline(call) {
            return self.refuse(call);
        }
        self.send(call, gate, request_cost.work_ms, elsewhere_ms);
        if self.load.second_runs && self.strategy != Strategy::OneQueue {
            let at = self.now + self.load.check_ms;
            self.events.add(at, Event::CheckRun { call, gate });
        }
    }

    /// Sends a request to a gate.
    pub(crate) fn send(
        &mut self,
        call: usize,
        gate: usize,
        work_ms: u64,
        elsewhere_ms: Option<u64>,
    ) {
        let from = self.calls[call].ingress;
        self.results.cross_zone += u64::from(self.load.is_far(from, gate));
        self.ingresses[from].estimates[gate].sent += 1;
        let attempt = Attempt::new(gate, self.now, work_ms);
        self.calls[call].attempts.push(attempt);
        let event = Event::Offer {
            call,
            gate,
            work_ms,
            elsewhere_ms,
        };
        let at = self.now + self.latency_ms(call, gate);
        self.events.add(at, event);
    }

    fn offer(&mut self, call: usize, gate: usize, work_ms: u64, elsewhere_ms: Option<u64>) {
        if self.calls[call].ended {
            return;
        }
        let arrived = self.calls[call].arrived;
        let job = Job {
            priority: 0,
            aim: Millis(arrived + self.load.aim_ms),
            deadline: Millis(arrived + self.load.deadline_ms),
            work_ms,
            elsewhere_ms,
        };
        match self.gates[gate].scheduler.offer(Millis(self.now), job) {
            Admission::Start => self.start(call, gate),
            Admission::Wait(key) => {
                let key = match self.load.sends_back {
                    true => key,
                    false => self.gates[gate].keep_waiting(key, Millis(self.now), job),
                };
                self.gates[gate].waiting.insert(key, call);
            }
            Admission::Refuse(_) => self.send_refusal(call, gate),
        }
        self.process_queue(gate);
    }

    fn send_refusal(&mut self, call: usize, gate: usize) {
        let load = self.gates[gate].scheduler.load(Millis(self.now));
        let far = self.load.is_far(self.calls[call].ingress, gate);
        self.results.refused_locally += u64::from(!far);
        let back = self.now + self.latency_ms(call, gate);
        self.events.add(back, Event::Refused { call, gate, load });
    }

    fn refused(&mut self, call: usize, gate: usize, load: GateLoad) {
        self.record_load(call, gate, load);
        let ingress = self.calls[call].ingress;
        self.ingresses[ingress].estimates[gate].record_rate_limited(Millis(self.now));
        if self.calls[call].ended {
            return;
        }
        let work_ms = self.ingresses[ingress]
            .routes
            .duration_ms(ROUTE, self.load.aim_ms);
        let back_ms = self.gates[gate]
            .scheduler
            .retry_after_ms(Millis(self.now), work_ms);
        self.calls[call].retry_after_ms = Some(back_ms);
        let ended = self.calls[call].refused_by(gate);
        match self.calls[call].refusals >= self.load.refusals_max {
            true => self.refuse(call),
            false if ended => self.dispatch(call),
            // The other attempt is still in progress.
            false => {}
        }
    }

    /// Starts a run for which the gate has reserved a slot.
    pub(crate) fn start(&mut self, call: usize, gate: usize) {
        self.results.runs += 1;
        self.gates[gate].starts.push(self.now);
        let server = &mut self.gates[gate].server;
        self.calls[call].start(gate, self.now, server.percent());
        let end = server.start(self.now, call, self.load.work_ms);
        self.events.add(end, Event::End { call, gate });
    }

    fn end(&mut self, call: usize, gate: usize) {
        // The speed may have changed since this event was scheduled.
        if self.gates[gate].server.end_time(call) != Some(self.now) {
            return;
        }
        self.gates[gate].server.stop(call);
        let percent = self.gates[gate].server.percent();
        let (started, before) = self.calls[call].started(gate);
        let ran_ms = self.now - started;
        let percent = before.midpoint(percent);
        self.finish_run(gate);
        let event = Event::Answer {
            call,
            gate,
            load: self.gates[gate].scheduler.load(Millis(self.now)),
            ran_ms,
            percent,
        };
        let at = self.now + self.latency_ms(call, gate);
        self.events.add(at, event);
    }

    /// Frees the slot of a run and updates the speed that the gate knows.
    fn finish_run(&mut self, gate: usize) {
        if self.strategy == Strategy::OneQueue {
            return self.assign_slots();
        }
        let percent = self.gates[gate].server.percent();
        self.gates[gate].scheduler.finish();
        self.gates[gate].scheduler.set_work_percent(percent);
        self.process_queue(gate);
    }

    fn answer(&mut self, call: usize, gate: usize, load: GateLoad, ran_ms: u64, percent: u32) {
        self.record_load(call, gate, load);
        let ingress = self.calls[call].ingress;
        self.ingresses[ingress].estimates[gate].record_run();
        self.ingresses[ingress]
            .routes
            .record_duration(Millis(self.now), ROUTE, ran_ms, percent);
        if std::mem::replace(&mut self.calls[call].ended, true) {
            self.results.wasted_runs += 1;
            return;
        }
        let took = self.now - self.calls[call].arrived;
        let (aim, deadline) = (self.load.aim_ms, self.load.deadline_ms);
        self.results.answer(took, aim, deadline);
        self.latencies.push(took);
        self.cancel_others(call, gate);
    }

    fn refuse(&mut self, call: usize) {
        self.calls[call].ended = true;
        let took = self.now - self.calls[call].arrived;
        self.results.refuse(took, self.load.aim_ms);
        let left = self.deadline(call).saturating_sub(self.now);
        let refused = &self.calls[call];
        self.results.refused_again += u64::from(refused.tries > 1);
        let back_ms = refused.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
        let back_ms = retry_after_ms(back_ms, left);
        let delay = refused.behavior.retry_delay_ms(refused.tries, back_ms);
        if let Some(delay) = delay.filter(|_| self.has_arrivals()) {
            self.events.add(self.now + delay, Event::Return { call });
        }
    }

    /// Ends a request whose deadline has passed.
    fn expire(&mut self, call: usize) {
        if self.end_call(call) {
            self.results.expired += 1;
        }
    }

    /// Ends a request and cancels its attempts; returns false if it had ended.
    fn end_call(&mut self, call: usize) -> bool {
        if std::mem::replace(&mut self.calls[call].ended, true) {
            return false;
        }
        self.queue.retain(|c| *c != call);
        for gate in 0..self.gates.len() {
            self.cancel(call, gate);
        }
        true
    }

    /// Cancels a request at a gate.
    pub(crate) fn cancel(&mut self, call: usize, gate: usize) {
        self.gates[gate].remove_waiting(call);
        if self.gates[gate].server.stop(call) {
            self.results.wasted_runs += 1;
            self.finish_run(gate);
        }
    }

    /// Processes the queue of a gate, and publishes its load if it has changed enough.
    fn process_queue(&mut self, gate: usize) {
        while let Some(event) = self.gates[gate].scheduler.next_event(Millis(self.now)) {
            let (SchedulerEvent::Start(key) | SchedulerEvent::Refuse(key, _)) = event;
            let call = self.gates[gate]
                .waiting
                .remove(&key)
                .expect("the request is waiting");
            match event {
                SchedulerEvent::Start(_) => self.start(call, gate),
                SchedulerEvent::Refuse(_, reason) => {
                    let sent_back = reason == RefusalReason::Elsewhere;
                    self.results.sent_back += u64::from(sent_back);
                    self.send_refusal(call, gate);
                }
            }
        }
        if let Some(at) = self.gates[gate].scheduler.next_wake(Millis(self.now)) {
            self.events.add(at.0, Event::Wake { gate });
        }
        if let Some(load) = self.gates[gate].load_to_publish(Millis(self.now), self.load.hint_step)
        {
            let at = self.now + self.load.hint_ms;
            self.events.add(at, Event::Hint { gate, load });
        }
    }

    fn hint(&mut self, gate: usize, load: GateLoad) {
        for ingress in &mut self.ingresses {
            ingress.estimates[gate].update_load(Millis(self.now), load);
        }
    }

    /// Records the load that comes with a response or a refusal.
    fn record_load(&mut self, call: usize, gate: usize, load: GateLoad) {
        let ingress = self.calls[call].ingress;
        self.ingresses[ingress].estimates[gate].update_load(Millis(self.now), load);
    }

    fn probe(&mut self) {
        for gate in 0..self.gates.len() {
            let percent = self.gates[gate].server.percent();
            self.gates[gate].scheduler.set_work_percent(percent);
            self.process_queue(gate);
        }
        if self.has_arrivals() {
            let next = self.now + self.load.probe_ms;
            self.events.add(next, Event::Probe);
        }
    }

    fn change_slow(&mut self) {
        let count = self.load.servers * self.load.slow_share / 100;
        let mut order: Vec<usize> = (0..self.load.servers).collect();
        order.shuffle(&mut self.slow_rng);
        for (place, gate) in order.into_iter().enumerate() {
            let slow = place < count;
            let own = match self.load.zone_of_server(gate) {
                0 => self.load.first_zone_percent,
                _ => 100,
            };
            let slowed = if slow { self.load.slow_percent } else { 100 };
            let percent = own * slowed / 100;
            let ends = self.gates[gate].server.set_percent(self.now, percent);
            for (call, end) in ends {
                self.events.add(end, Event::End { call, gate });
            }
        }
        if self.strategy == Strategy::OneQueue {
            self.assign_slots();
        }
        if self.has_arrivals() {
            let next = self.now + self.load.slow_interval_ms;
            self.events.add(next, Event::ChangeSlow);
        }
    }

    pub(crate) fn deadline(&self, call: usize) -> u64 {
        self.calls[call].arrived + self.load.deadline_ms
    }
}
