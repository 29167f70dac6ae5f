//! Second runs of requests whose first run takes long.

use oriolering::{Millis, Placement, RunEstimate, choose_server, should_start_second_run};

use crate::events::Event;
use crate::fleet::Fleet;

impl Fleet {
    /// Checks whether a request is worth a second run, and starts it if so.
    pub(crate) fn check_run(&mut self, call: usize, gate: usize) {
        let state = &mut self.calls[call];
        if state.ended || state.has_second_run || state.attempt(gate).is_none() {
            return;
        }
        let Some(place) = self.choose_second_server(call, gate) else {
            return self.check_run_later(call, gate);
        };
        let run = self.run_at(call, gate, place.expected_ms);
        let now = Millis(self.now);
        let budget = &mut self.ingresses[self.calls[call].ingress].budget;
        if !should_start_second_run(run) || !budget.reserve(now) {
            return self.check_run_later(call, gate);
        }
        budget.record_arrival(now);
        self.calls[call].has_second_run = true;
        self.results.second_runs += 1;
        self.send(call, place.index, run.work_ms, place.next_best_ms);
    }

    fn check_run_later(&mut self, call: usize, gate: usize) {
        let at = self.now + self.load.check_ms;
        self.events.add(at, Event::CheckRun { call, gate });
    }

    /// Chooses the backend server for a second run.
    fn choose_second_server(&mut self, call: usize, gate: usize) -> Option<Placement> {
        let ingress = &self.ingresses[self.calls[call].ingress];
        let tried = &self.calls[call].tried;
        let estimates = ingress.estimates.iter().enumerate();
        let candidates = estimates.filter(|(i, _)| *i != gate && !tried.contains(i));
        let request_cost = ingress.request_cost(&self.load, self.calls[call].arrived, self.now);
        let cross_zone_cost = self.load.cross_zone_cost;
        choose_server(
            Millis(self.now),
            request_cost,
            cross_zone_cost,
            candidates,
            &mut self.choice_rng,
        )
    }

    /// Returns what the ingress knows about the run at a gate.
    fn run_at(&mut self, call: usize, gate: usize, elsewhere_ms: u64) -> RunEstimate {
        let ingress = &self.ingresses[self.calls[call].ingress];
        let work_percent = ingress.estimates[gate].work_percent(Millis(self.now));
        let left_ms = self.deadline(call) - self.now;
        let aim = self.calls[call].arrived + self.load.aim_ms;
        let attempt = self.calls[call]
            .attempt(gate)
            .expect("the attempt is in progress");
        RunEstimate {
            elapsed_ms: self.now - attempt.sent,
            done_ms: attempt.update_progress(self.now, work_percent),
            work_ms: attempt.work_ms,
            slowdown_percent: work_percent,
            elsewhere_ms,
            aim_ms: aim.saturating_sub(self.now),
            remaining_ms: left_ms,
        }
    }

    /// Cancels the other attempts of a request that has its response.
    pub(crate) fn cancel_others(&mut self, call: usize, gate: usize) {
        let others = self.calls[call].attempts.iter().map(|a| a.gate);
        let others: Vec<usize> = others.filter(|g| *g != gate).collect();
        for gate in others {
            let at = self.now + self.latency_ms(call, gate);
            self.events.add(at, Event::Cancel { call, gate });
        }
    }
}
