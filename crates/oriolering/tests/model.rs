//! Compares the gate with a simple model over random sequences of operations.

mod runner;

use std::collections::{HashMap, HashSet};

use oriolering::{
    AttemptStatus, CallId, Decision, Finish, Gate, GateEvent, GateSettings, Grant, Incarnation,
    Millis, Offer, Ticket,
};
use proptest::prelude::*;

const SETTINGS: GateSettings = GateSettings {
    initial: 3,
    min: 1,
    max: 6,
    queue_length: 4,
    queue_wait_ms: 50,
    ramp_ms: 40,
    sessions: 2,
    max_state_runs: 8,
};

#[derive(Clone, Debug)]
enum Op {
    Open,
    Offer {
        session: usize,
        seq: u64,
        ack: u64,
        customer: u64,
        remaining_ms: u64,
    },
    Dispatch(usize),
    Finish(usize, usize),
    Cancel(usize),
    Inquire {
        session: usize,
        seq: u64,
        fence: bool,
    },
    Events(usize),
    Advance(u64),
    Tick,
    Restart,
    Drain,
    Update {
        length: u32,
        max: u32,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let seq = prop_oneof![8 => 1..24u64, 1 => Just(u64::MAX)];
    let offer = (0..4usize, seq.clone(), 0..6u64, 0..3u64, 1..300u64);
    prop_oneof![
        2 => Just(Op::Open),
        30 => offer.prop_map(|(session, seq, ack, customer, remaining_ms)| Op::Offer {
            session,
            seq,
            ack,
            customer,
            remaining_ms,
        }),
        20 => (0..24usize).prop_map(Op::Dispatch),
        12 => (0..24usize, 0..5usize).prop_map(|(index, result)| Op::Finish(index, result)),
        5 => (0..24usize).prop_map(Op::Cancel),
        8 => (0..4usize, seq, any::<bool>()).prop_map(|(session, seq, fence)| Op::Inquire {
            session,
            seq,
            fence,
        }),
        12 => (1..6usize).prop_map(Op::Events),
        8 => prop_oneof![9 => 0..20u64, 1 => 0..500u64].prop_map(Op::Advance),
        4 => Just(Op::Tick),
        1 => Just(Op::Restart),
        1 => (0..30u32).prop_map(|n| if n == 0 { Op::Drain } else { Op::Tick }),
        1 => (0..6u32, 1..8u32).prop_map(|(length, max)| Op::Update { length, max }),
    ]
}

/// The state of a ticket in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketState {
    Waiting,
    Reserved,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCall {
    ticket: Ticket,
    id: CallId,
    deadline: Millis,
    state: TicketState,
}

/// The gate, and the model's record of its decisions so far.
struct Model {
    gate: Gate,
    now: Millis,
    grants: Vec<Grant>,
    calls: Vec<TrackedCall>,
    by_ticket: HashMap<Ticket, usize>,
    admitted: HashSet<CallId>,
    dispatched: HashSet<CallId>,
    settled: HashSet<CallId>,
}

impl Model {
    fn new() -> Self {
        let now = Millis(1_000);
        let mut gate = Gate::new(SETTINGS, Incarnation(3), now);
        let grants = vec![gate.open_session(now)];
        Self {
            gate,
            now,
            grants,
            calls: Vec::new(),
            by_ticket: HashMap::new(),
            admitted: HashSet::new(),
            dispatched: HashSet::new(),
            settled: HashSet::new(),
        }
    }

    fn id(&self, session: usize, seq: u64) -> CallId {
        let grant = self.grants[session % self.grants.len()];
        CallId { grant, seq }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match op {
            Op::Open => self.grants.push(self.gate.open_session(self.now)),
            Op::Offer { .. } => self.offer(op)?,
            Op::Dispatch(index) => self.dispatch(*index)?,
            Op::Finish(index, result) => self.finish(*index, *result),
            Op::Cancel(index) => self.cancel(*index),
            Op::Inquire {
                session,
                seq,
                fence,
            } => self.inquire(self.id(*session, *seq), *fence)?,
            Op::Events(count) => {
                for _ in 0..*count {
                    self.event()?;
                }
            }
            Op::Advance(ms) => self.now = self.now + *ms,
            Op::Tick => self.gate.tick(self.now),
            Op::Restart => self.gate.restart(self.now),
            Op::Drain => self.gate.drain(self.now),
            Op::Update { length, max } => self.gate.update(GateSettings {
                queue_length: *length,
                max: *max,
                ..SETTINGS
            }),
        }
        self.check()
    }

    fn offer(&mut self, op: &Op) -> Result<(), TestCaseError> {
        let &Op::Offer {
            session,
            seq,
            ack,
            customer,
            remaining_ms,
        } = op
        else {
            return Ok(());
        };
        let id = self.id(session, seq);
        let deadline = self.now + remaining_ms;
        let offer = Offer {
            id,
            ack,
            customer,
            deadline,
            fingerprint: seq,
        };
        let (ticket, state) = match self.gate.offer(self.now, offer) {
            Decision::Start(ticket) => (ticket, TicketState::Reserved),
            Decision::Wait(ticket) => (ticket, TicketState::Waiting),
            Decision::Refuse(_) => {
                if !self.admitted.contains(&id) {
                    self.settled.insert(id);
                }
                return Ok(());
            }
        };
        prop_assert!(self.admitted.insert(id), "{id:?} was admitted twice");
        prop_assert!(!self.settled.contains(&id), "{id:?} was refused before");
        self.by_ticket.insert(ticket, self.calls.len());
        self.calls.push(TrackedCall {
            ticket,
            id,
            deadline,
            state,
        });
        match state {
            TicketState::Reserved => self.check_limit(),
            TicketState::Waiting | TicketState::Running | TicketState::Ended => Ok(()),
        }
    }

    /// Returns the index of one of the last calls, including ended ones.
    fn pick(&self, index: usize) -> Option<usize> {
        let recent = self.calls.len().min(24);
        (index < recent).then(|| self.calls.len() - 1 - index)
    }

    fn dispatch(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some(index) = self.pick(index) else {
            return Ok(());
        };
        let call = self.calls[index];
        if self.gate.dispatch(self.now, call.ticket).is_ok() {
            prop_assert_eq!(call.state, TicketState::Reserved);
            prop_assert!(call.deadline > self.now, "{call:?} is past its deadline");
            prop_assert!(
                !self.settled.contains(&call.id),
                "{call:?} had already ended"
            );
            prop_assert!(self.dispatched.insert(call.id), "{call:?} ran twice");
            self.calls[index].state = TicketState::Running;
        } else if call.state == TicketState::Reserved {
            self.settled.insert(call.id);
            self.calls[index].state = TicketState::Ended;
        }
        Ok(())
    }

    fn finish(&mut self, index: usize, result: usize) {
        let Some(index) = self.pick(index) else {
            return;
        };
        let finish = [
            Finish::Done { latency_us: 9_000 },
            Finish::Failed { latency_us: 50 },
            Finish::NotSent,
            Finish::Shed,
            Finish::Lost,
        ][result];
        self.gate.finish(self.now, self.calls[index].ticket, finish);
        self.end(index);
    }

    fn cancel(&mut self, index: usize) {
        if let Some(index) = self.pick(index) {
            self.gate.cancel(self.now, self.calls[index].ticket);
            self.end(index);
        }
    }

    fn end(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.state = TicketState::Ended;
        self.settled.insert(call.id);
    }

    fn inquire(&mut self, id: CallId, fence: bool) -> Result<(), TestCaseError> {
        let status = self.gate.inquire(self.now, id, fence);
        match status {
            AttemptStatus::Fenced => prop_assert!(!self.is_running(id), "{id:?} runs"),
            AttemptStatus::Running => prop_assert!(self.is_running(id), "{id:?} does not run"),
            AttemptStatus::Done => prop_assert!(self.dispatched.contains(&id), "{id:?} never ran"),
            AttemptStatus::Queued => prop_assert!(!fence && !self.settled.contains(&id)),
            AttemptStatus::Forgotten => {}
        }
        if fence {
            self.settled.insert(id);
        }
        Ok(())
    }

    fn is_running(&self, id: CallId) -> bool {
        let mut calls = self.calls.iter();
        calls.any(|call| call.id == id && call.state == TicketState::Running)
    }

    /// Processes one event, and returns whether there was one.
    fn event(&mut self) -> Result<bool, TestCaseError> {
        let Some(event) = self.gate.next_event(self.now) else {
            return Ok(false);
        };
        let (ticket, state) = match event {
            GateEvent::Start(ticket) => (ticket, TicketState::Reserved),
            GateEvent::Refuse(ticket, _) => (ticket, TicketState::Ended),
        };
        let index = self.by_ticket[&ticket];
        prop_assert_eq!(self.calls[index].state, TicketState::Waiting);
        match state {
            TicketState::Reserved => {
                self.calls[index].state = TicketState::Reserved;
                self.check_limit()?;
            }
            TicketState::Ended | TicketState::Waiting | TicketState::Running => self.end(index),
        }
        Ok(true)
    }

    fn count(&self, state: TicketState) -> usize {
        let calls = self.calls.iter();
        calls.filter(|call| call.state == state).count()
    }

    fn slots(&self) -> usize {
        self.count(TicketState::Reserved) + self.count(TicketState::Running)
    }

    fn check_limit(&self) -> Result<(), TestCaseError> {
        let limit = self.gate.load(self.now).limit as usize;
        let slots = self.slots();
        prop_assert!(slots <= limit, "{slots} slots over a limit of {limit}");
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let load = self.gate.load(self.now);
        prop_assert!(load.running as usize >= self.slots());
        prop_assert!(load.running <= 8, "{} slots are used", load.running);
        prop_assert!(load.queued <= 6, "{} calls wait", load.queued);
        prop_assert!(load.queued as usize <= self.count(TicketState::Waiting));
        prop_assert!(self.count(TicketState::Waiting) <= 3 * 6);
        let live = self.slots() + self.count(TicketState::Waiting);
        prop_assert_eq!(self.gate.is_idle(), live == 0);
        Ok(())
    }

    /// Advances the time only to the gate's wake times until no call waits.
    fn finish_waiting_calls(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..1_000 {
            while self.event()? {}
            if self.count(TicketState::Waiting) == 0 {
                return Ok(());
            }
            let wake = self.gate.next_wake();
            let wake = wake
                .ok_or_else(|| TestCaseError::fail("a call waits but the gate has no wake time"))?;
            self.now = wake.max(self.now + 1);
        }
        Err(TestCaseError::fail("a waiting call got no event"))
    }
}

#[test]
fn gate_matches_the_model() {
    let ops = prop::collection::vec(op(), 1..150);
    let result = runner::runner(512).run(&ops, |ops| {
        let mut model = Model::new();
        for op in &ops {
            model.apply(op)?;
        }
        model.finish_waiting_calls()?;
        model.check()
    });
    result.expect("the gate differs from the model");
}
