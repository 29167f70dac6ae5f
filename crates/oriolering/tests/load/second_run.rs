//! Second runs of requests that take long where they are.

use oriolering::{Millis, Placement, RunEstimate, choose_server, should_start_second_run};

use crate::events::Event;
use crate::fleet::Fleet;

impl Fleet {
    /// Looks whether a request is worth a second run, as an ingress does each moment.
    pub(crate) fn look(&mut self, call: usize, gate: usize) {
        let state = &mut self.calls[call];
        if state.over || state.doubled || state.attempt(gate).is_none() {
            return;
        }
        let Some(place) = self.second_place(call, gate) else {
            return self.look_again(call, gate);
        };
        let run = self.run_at(call, gate, place.expected_ms);
        let now = Millis(self.now);
        let budget = &mut self.ingresses[self.calls[call].ingress].budget;
        if !should_start_second_run(run) || !budget.reserve(now) {
            return self.look_again(call, gate);
        }
        budget.record_arrival(now);
        self.calls[call].doubled = true;
        self.figures.second_runs += 1;
        self.send(call, place.index, run.work_ms, place.next_best_ms);
    }

    fn look_again(&mut self, call: usize, gate: usize) {
        let at = self.now + self.load.look_ms;
        self.events.add(at, Event::Look { call, gate });
    }

    /// Returns where a second run would go.
    fn second_place(&mut self, call: usize, gate: usize) -> Option<Placement> {
        let ingress = &self.ingresses[self.calls[call].ingress];
        let tried = &self.calls[call].tried;
        let sites = ingress.sites.iter().enumerate();
        let open = sites.filter(|(i, _)| *i != gate && !tried.contains(i));
        let demand = ingress.demand(&self.load, self.calls[call].arrived, self.now);
        let crossing = self.load.crossing;
        choose_server(Millis(self.now), demand, crossing, open, &mut self.choices)
    }

    /// Returns what the ingress knows of the run at a gate.
    fn run_at(&mut self, call: usize, gate: usize, elsewhere_ms: u64) -> RunEstimate {
        let ingress = &self.ingresses[self.calls[call].ingress];
        let pace = ingress.sites[gate].work_percent(Millis(self.now));
        let left_ms = self.deadline(call) - self.now;
        let aim = self.calls[call].arrived + self.load.aim_ms;
        let attempt = self.calls[call].attempt(gate).expect("it is under way");
        RunEstimate {
            elapsed_ms: self.now - attempt.sent,
            done_ms: attempt.look(self.now, pace),
            work_ms: attempt.work_ms,
            slowdown_percent: pace,
            elsewhere_ms,
            aim_ms: aim.saturating_sub(self.now),
            remaining_ms: left_ms,
        }
    }

    /// Tells the other gates that a request has its answer.
    pub(crate) fn cancel_others(&mut self, call: usize, gate: usize) {
        let others = self.calls[call].attempts.iter().map(|a| a.gate);
        let others: Vec<usize> = others.filter(|g| *g != gate).collect();
        for gate in others {
            let at = self.now + self.way_ms(call, gate);
            self.events.add(at, Event::Cancel { call, gate });
        }
    }
}
