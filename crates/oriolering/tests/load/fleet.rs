//! A fleet of ingresses and gates that plays a load in its own time.

use oriolering::{Admission, GateLoad, Job, Millis, RefusalReason, SchedulerEvent, choose_server};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::call::{Attempt, Call};
use crate::events::{Event, Events};
use crate::figures::Figures;
use crate::gate::Gate;
use crate::ingress::{Ingress, ROUTE};
use crate::settings::{Load, Strategy};

// What keeps the sources of randomness of one seed apart.
const NOISE: u64 = 1 << 32;
const CHOICES: u64 = 1 << 33;

/// What the fleet is at a moment.
pub(crate) struct Fleet {
    pub(crate) load: Load,
    pub(crate) strategy: Strategy,
    /// What callers do; the same for each strategy.
    callers: SmallRng,
    /// Which backend servers are slow; the same for each strategy.
    noise: SmallRng,
    pub(crate) choices: SmallRng,
    pub(crate) now: u64,
    /// The next arrival, with its part of a millisecond.
    arrival: f64,
    pub(crate) events: Events,
    pub(crate) ingresses: Vec<Ingress>,
    pub(crate) gates: Vec<Gate>,
    pub(crate) calls: Vec<Call>,
    /// The calls in the single queue.
    pub(crate) queue: Vec<usize>,
    pub(crate) figures: Figures,
    /// How long each answer took.
    took: Vec<u64>,
}

/// Plays a load, and returns what callers got.
pub(crate) fn play(load: Load, strategy: Strategy) -> Figures {
    let mut fleet = Fleet::new(load, strategy);
    fleet.events.add(0, Event::Redraw);
    fleet.events.add(0, Event::Probe);
    fleet.events.add(0, Event::Call);
    while let Some((now, event)) = fleet.events.next() {
        fleet.now = now;
        fleet.apply(event);
    }
    fleet.figures.rank(&mut fleet.took);
    let limited = fleet.gates.iter().take(load.limited);
    fleet.figures.limited_most = limited.map(Gate::most_in_span).max().unwrap_or(0);
    fleet.figures
}

impl Fleet {
    fn new(load: Load, strategy: Strategy) -> Self {
        Self {
            load,
            strategy,
            callers: SmallRng::seed_from_u64(load.seed),
            noise: SmallRng::seed_from_u64(load.seed + NOISE),
            choices: SmallRng::seed_from_u64(load.seed + CHOICES),
            now: 0,
            arrival: 0.0,
            events: Events::default(),
            ingresses: (0..load.ingresses)
                .map(|number| Ingress::new(&load, number))
                .collect(),
            gates: (0..load.servers)
                .map(|server| Gate::new(load.slots, load.is_gone(server), load.limit_of(server)))
                .collect(),
            calls: Vec::new(),
            queue: Vec::new(),
            figures: Figures::default(),
            took: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
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
            Event::Look { call, gate } => self.look(call, gate),
            Event::Cancel { call, gate } => self.cancel(call, gate),
            Event::Expire { call } => self.expire(call),
            Event::Wake { gate } => self.pump(gate),
            Event::Probe => self.probe(),
            Event::Redraw => self.redraw(),
            Event::Hint { gate, load } => self.hint(gate, load),
        }
    }

    fn goes_on(&self) -> bool {
        self.now < self.load.duration_ms
    }

    fn call(&mut self) {
        let call = self.calls.len();
        let ingress = self.draw_ingress();
        self.calls.push(Call::new(ingress, self.now));
        let budget = &mut self.ingresses[ingress].budget;
        budget.deposit(Millis(self.now));
        self.figures.requests += 1;
        let deadline = self.now + self.load.deadline_ms;
        self.events.add(deadline, Event::Expire { call });
        match self.strategy {
            Strategy::Adaptive | Strategy::Random => self.dispatch(call),
            Strategy::OneQueue => {
                self.queue.push(call);
                self.drain();
            }
        }
        let gap = -self.load.gap_ms() * (1.0 - self.callers.random::<f64>()).ln();
        self.arrival += gap;
        let next = self.arrival as u64;
        if next < self.load.duration_ms {
            self.events.add(next, Event::Call);
        }
    }

    /// Returns where a caller sends its request.
    fn draw_ingress(&mut self) -> usize {
        let home = self.callers.random_range(0..self.load.ingresses);
        if self.load.shifted_percent == 0 {
            return home;
        }
        let moves = self.callers.random_range(0..100) < self.load.shifted_percent;
        if moves {
            home - self.load.zone_of(home)
        } else {
            home
        }
    }

    /// Returns how long the way between a request's ingress and a gate takes.
    pub(crate) fn way_ms(&self, call: usize, gate: usize) -> u64 {
        let far = self.load.is_far(self.calls[call].ingress, gate);
        self.load.hop_ms + if far { self.load.far_ms } else { 0 }
    }

    /// Sends a request to a gate, or refuses it.
    fn dispatch(&mut self, call: usize) {
        let now = Millis(self.now);
        let ingress = &self.ingresses[self.calls[call].ingress];
        let demand = ingress.demand(&self.load, self.calls[call].arrived, self.now);
        let crossing = self.load.crossing;
        let tried = &self.calls[call].tried;
        let away = self.calls[call].refusals as u32;
        let open = ingress.sites.iter().enumerate();
        let mut open = open.filter(|(i, _)| !tried.contains(i));
        let (gate, expected_ms, elsewhere_ms) = match self.strategy {
            Strategy::Adaptive => {
                match choose_server(now, demand, crossing, open, &mut self.choices) {
                    Some(place) => (place.index, place.expected_ms, place.alternative_ms(away)),
                    None => return self.refuse(call),
                }
            }
            Strategy::Random | Strategy::OneQueue => {
                let count = self.load.servers - tried.len();
                let index = self.choices.random_range(0..count);
                match open.nth(index) {
                    Some((gate, _)) => (gate, 0, None),
                    None => return self.refuse(call),
                }
            }
        };
        if self.now + expected_ms > self.deadline(call) {
            return self.refuse(call);
        }
        self.send(call, gate, demand.work_ms, elsewhere_ms);
        if self.load.second_runs && self.strategy != Strategy::OneQueue {
            let at = self.now + self.load.look_ms;
            self.events.add(at, Event::Look { call, gate });
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
        self.figures.crossed += u64::from(self.load.is_far(from, gate));
        self.ingresses[from].sites[gate].sent += 1;
        let attempt = Attempt::new(gate, self.now, work_ms);
        self.calls[call].attempts.push(attempt);
        let event = Event::Offer {
            call,
            gate,
            work_ms,
            elsewhere_ms,
        };
        let at = self.now + self.way_ms(call, gate);
        self.events.add(at, event);
    }

    fn offer(&mut self, call: usize, gate: usize, work_ms: u64, elsewhere_ms: Option<u64>) {
        if self.calls[call].over {
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
        match self.gates[gate].room.offer(Millis(self.now), job) {
            Admission::Start => self.start(call, gate),
            Admission::Wait(key) => {
                let key = match self.load.sends_back {
                    true => key,
                    false => self.gates[gate].keep_here(key, Millis(self.now), job),
                };
                self.gates[gate].waiting.insert(key, call);
            }
            Admission::Refuse(_) => self.send_refusal(call, gate),
        }
        self.pump(gate);
    }

    fn send_refusal(&mut self, call: usize, gate: usize) {
        let load = self.gates[gate].room.load(Millis(self.now));
        let far = self.load.is_far(self.calls[call].ingress, gate);
        self.figures.refused_near += u64::from(!far);
        let back = self.now + self.way_ms(call, gate);
        self.events.add(back, Event::Refused { call, gate, load });
    }

    fn refused(&mut self, call: usize, gate: usize, load: GateLoad) {
        self.hear(call, gate, load);
        let ingress = self.calls[call].ingress;
        self.ingresses[ingress].sites[gate].record_rate_limited(Millis(self.now));
        if self.calls[call].over {
            return;
        }
        let ended = self.calls[call].refused_by(gate);
        match self.calls[call].refusals >= self.load.refusals_max {
            true => self.refuse(call),
            false if ended => self.dispatch(call),
            // The other attempt is still under way.
            false => {}
        }
    }

    /// Begins a run for which the gate has made room.
    pub(crate) fn start(&mut self, call: usize, gate: usize) {
        self.figures.runs += 1;
        self.gates[gate].starts.push(self.now);
        let server = &mut self.gates[gate].server;
        self.calls[call].start(gate, self.now, server.percent());
        let end = server.start(self.now, call, self.load.work_ms);
        self.events.add(end, Event::End { call, gate });
    }

    fn end(&mut self, call: usize, gate: usize) {
        // The pace may have changed since this end was foreseen.
        if self.gates[gate].server.end(call) != Some(self.now) {
            return;
        }
        self.gates[gate].server.stop(call);
        let percent = self.gates[gate].server.percent();
        let (started, before) = self.calls[call].started(gate);
        let ran_ms = self.now - started;
        let percent = before.midpoint(percent);
        self.leave(gate);
        let event = Event::Answer {
            call,
            gate,
            load: self.gates[gate].room.load(Millis(self.now)),
            ran_ms,
            percent,
        };
        let at = self.now + self.way_ms(call, gate);
        self.events.add(at, event);
    }

    /// Frees the place of a run, and learns the pace with its answer.
    fn leave(&mut self, gate: usize) {
        if self.strategy == Strategy::OneQueue {
            return self.drain();
        }
        let percent = self.gates[gate].server.percent();
        self.gates[gate].room.finish();
        self.gates[gate].room.set_work_percent(percent);
        self.pump(gate);
    }

    fn answer(&mut self, call: usize, gate: usize, load: GateLoad, ran_ms: u64, percent: u32) {
        self.hear(call, gate, load);
        let ingress = self.calls[call].ingress;
        self.ingresses[ingress].sites[gate].record_run();
        self.ingresses[ingress]
            .work
            .record_duration(ROUTE, ran_ms, percent);
        if std::mem::replace(&mut self.calls[call].over, true) {
            self.figures.runs_in_vain += 1;
            return;
        }
        let took = self.now - self.calls[call].arrived;
        let (aim, deadline) = (self.load.aim_ms, self.load.deadline_ms);
        self.figures.answer(took, aim, deadline);
        self.took.push(took);
        self.cancel_others(call, gate);
    }

    fn refuse(&mut self, call: usize) {
        self.calls[call].over = true;
        let took = self.now - self.calls[call].arrived;
        self.figures.refuse(took, self.load.aim_ms);
    }

    /// Ends a request whose caller has left.
    fn expire(&mut self, call: usize) {
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        self.figures.expired += 1;
        self.queue.retain(|c| *c != call);
        for gate in 0..self.gates.len() {
            self.cancel(call, gate);
        }
    }

    /// Ends what a gate does for a request.
    pub(crate) fn cancel(&mut self, call: usize, gate: usize) {
        self.gates[gate].leave(call);
        if self.gates[gate].server.stop(call) {
            self.figures.runs_in_vain += 1;
            self.leave(gate);
        }
    }

    /// Takes the turns of a gate.
    fn pump(&mut self, gate: usize) {
        while let Some(turn) = self.gates[gate].room.next_event(Millis(self.now)) {
            let (SchedulerEvent::Start(key) | SchedulerEvent::Refuse(key, _)) = turn;
            let call = self.gates[gate].waiting.remove(&key).expect("it waits");
            match turn {
                SchedulerEvent::Start(_) => self.start(call, gate),
                SchedulerEvent::Refuse(_, why) => {
                    let back = why == RefusalReason::Elsewhere;
                    self.figures.sent_back += u64::from(back);
                    self.send_refusal(call, gate);
                }
            }
        }
        if let Some(at) = self.gates[gate].room.next_wake(Millis(self.now)) {
            self.events.add(at.0, Event::Wake { gate });
        }
        if let Some(load) = self.gates[gate].news(Millis(self.now), self.load.hint_step) {
            let at = self.now + self.load.hint_ms;
            self.events.add(at, Event::Hint { gate, load });
        }
    }

    fn hint(&mut self, gate: usize, load: GateLoad) {
        for ingress in &mut self.ingresses {
            ingress.sites[gate].update_load(Millis(self.now), load);
        }
    }

    /// Takes in the load that comes with an answer or a refusal.
    fn hear(&mut self, call: usize, gate: usize, load: GateLoad) {
        let ingress = self.calls[call].ingress;
        self.ingresses[ingress].sites[gate].update_load(Millis(self.now), load);
    }

    fn probe(&mut self) {
        for gate in 0..self.gates.len() {
            let percent = self.gates[gate].server.percent();
            self.gates[gate].room.set_work_percent(percent);
            self.pump(gate);
        }
        if self.goes_on() {
            let next = self.now + self.load.probe_ms;
            self.events.add(next, Event::Probe);
        }
    }

    fn redraw(&mut self) {
        let count = self.load.servers * self.load.slow_share / 100;
        let mut order: Vec<usize> = (0..self.load.servers).collect();
        order.shuffle(&mut self.noise);
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
            self.drain();
        }
        if self.goes_on() {
            let next = self.now + self.load.redraw_ms;
            self.events.add(next, Event::Redraw);
        }
    }

    pub(crate) fn deadline(&self, call: usize) -> u64 {
        self.calls[call].arrived + self.load.deadline_ms
    }
}
