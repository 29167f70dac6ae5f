//! The gate against a simple model under random sequences of operations.

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
        time_left: u64,
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
        30 => offer.prop_map(|(session, seq, ack, customer, time_left)| Op::Offer {
            session,
            seq,
            ack,
            customer,
            time_left,
        }),
        20 => (0..24usize).prop_map(Op::Dispatch),
        12 => (0..24usize, 0..5usize).prop_map(|(index, how)| Op::Finish(index, how)),
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

/// Where the model believes a ticket to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Waiting,
    Reserved,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    ticket: Ticket,
    id: CallId,
    deadline: Millis,
    place: Place,
}

/// The gate, and what it has said so far.
struct Model {
    gate: Gate,
    now: Millis,
    grants: Vec<Grant>,
    known: Vec<Known>,
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
            known: Vec::new(),
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
            Op::Finish(index, how) => self.finish(*index, *how),
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
            time_left,
        } = op
        else {
            return Ok(());
        };
        let id = self.id(session, seq);
        let deadline = self.now + time_left;
        let offer = Offer {
            id,
            ack,
            customer,
            deadline,
            fingerprint: seq,
        };
        let (ticket, place) = match self.gate.offer(self.now, offer) {
            Decision::Start(ticket) => (ticket, Place::Reserved),
            Decision::Wait(ticket) => (ticket, Place::Waiting),
            Decision::Refuse(_) => {
                if !self.admitted.contains(&id) {
                    self.settled.insert(id);
                }
                return Ok(());
            }
        };
        prop_assert!(self.admitted.insert(id), "{id:?} was admitted twice");
        prop_assert!(!self.settled.contains(&id), "{id:?} was refused before");
        self.by_ticket.insert(ticket, self.known.len());
        self.known.push(Known {
            ticket,
            id,
            deadline,
            place,
        });
        match place {
            Place::Reserved => self.check_limit(),
            Place::Waiting | Place::Running | Place::Ended => Ok(()),
        }
    }

    /// Picks one of the last tickets, ended ones included.
    fn pick(&self, index: usize) -> Option<usize> {
        let recent = self.known.len().min(24);
        (index < recent).then(|| self.known.len() - 1 - index)
    }

    fn dispatch(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some(index) = self.pick(index) else {
            return Ok(());
        };
        let known = self.known[index];
        if self.gate.dispatch(self.now, known.ticket).is_ok() {
            prop_assert_eq!(known.place, Place::Reserved);
            prop_assert!(known.deadline > self.now, "{known:?} is too late");
            prop_assert!(!self.settled.contains(&known.id), "{known:?} was settled");
            prop_assert!(self.dispatched.insert(known.id), "{known:?} ran twice");
            self.known[index].place = Place::Running;
        } else if known.place == Place::Reserved {
            self.settled.insert(known.id);
            self.known[index].place = Place::Ended;
        }
        Ok(())
    }

    fn finish(&mut self, index: usize, how: usize) {
        let Some(index) = self.pick(index) else {
            return;
        };
        let finish = [
            Finish::Done { latency_us: 9_000 },
            Finish::Failed { latency_us: 50 },
            Finish::NotSent,
            Finish::Shed,
            Finish::Lost,
        ][how];
        self.gate.finish(self.now, self.known[index].ticket, finish);
        self.end(index);
    }

    fn cancel(&mut self, index: usize) {
        if let Some(index) = self.pick(index) {
            self.gate.cancel(self.now, self.known[index].ticket);
            self.end(index);
        }
    }

    fn end(&mut self, index: usize) {
        let known = &mut self.known[index];
        known.place = Place::Ended;
        self.settled.insert(known.id);
    }

    fn inquire(&mut self, id: CallId, fence: bool) -> Result<(), TestCaseError> {
        let fate = self.gate.inquire(self.now, id, fence);
        match fate {
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
        let mut known = self.known.iter();
        known.any(|known| known.id == id && known.place == Place::Running)
    }

    /// Takes one event and returns whether there was one.
    fn event(&mut self) -> Result<bool, TestCaseError> {
        let Some(event) = self.gate.next_event(self.now) else {
            return Ok(false);
        };
        let (ticket, place) = match event {
            GateEvent::Start(ticket) => (ticket, Place::Reserved),
            GateEvent::Refuse(ticket, _) => (ticket, Place::Ended),
        };
        let index = self.by_ticket[&ticket];
        prop_assert_eq!(self.known[index].place, Place::Waiting);
        match place {
            Place::Reserved => {
                self.known[index].place = Place::Reserved;
                self.check_limit()?;
            }
            Place::Ended | Place::Waiting | Place::Running => self.end(index),
        }
        Ok(true)
    }

    fn count(&self, place: Place) -> usize {
        let known = self.known.iter();
        known.filter(|known| known.place == place).count()
    }

    fn slots(&self) -> usize {
        self.count(Place::Reserved) + self.count(Place::Running)
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
        prop_assert!(load.queued as usize <= self.count(Place::Waiting));
        prop_assert!(self.count(Place::Waiting) <= 3 * 6);
        let live = self.slots() + self.count(Place::Waiting);
        prop_assert_eq!(self.gate.is_idle(), live == 0);
        Ok(())
    }

    /// Follows only the wake times of the gate until no call waits.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..1_000 {
            while self.event()? {}
            if self.count(Place::Waiting) == 0 {
                return Ok(());
            }
            let wake = self.gate.next_wake();
            let wake = wake.ok_or_else(|| TestCaseError::fail("a waiting call is lost"))?;
            self.now = wake.max(self.now + 1);
        }
        Err(TestCaseError::fail("a waiting call got no event"))
    }
}

#[test]
fn keeps_the_promises_of_the_model() {
    let ops = prop::collection::vec(op(), 1..150);
    let result = runner::runner(512).run(&ops, |ops| {
        let mut model = Model::new();
        for op in &ops {
            model.apply(op)?;
        }
        model.settle()?;
        model.check()
    });
    result.expect("the gate broke a promise");
}
