//! A gate with one session, and the steps that the tests share.

use oriolering::{
    CallId, Cause, Clock, Decision, Finish, Gate, GateEvent, GateSettings, Grant, Incarnation,
    LoadHint, Millis, Offer, Ticket,
};

pub(crate) const SETTINGS: GateSettings = GateSettings {
    initial: 2,
    min: 1,
    max: 4,
    queue_length: 3,
    queue_wait_ms: 100,
    ramp_ms: 0,
    sessions: 4,
    max_state_runs: 64,
};

/// A gate with one session whose sequence numbers count up.
pub(crate) struct Fixture {
    pub(crate) gate: Gate,
    pub(crate) clock: Clock,
    pub(crate) grant: Grant,
    pub(crate) seq: u64,
}

impl Fixture {
    pub(crate) fn new(settings: GateSettings) -> Self {
        let clock = Clock::manual(Millis(1_000));
        let mut gate = Gate::new(settings, Incarnation(5), clock.now());
        let grant = gate.open_session(clock.now());
        Self {
            gate,
            clock,
            grant,
            seq: 0,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn id(&self, seq: u64) -> CallId {
        CallId {
            grant: self.grant,
            seq,
        }
    }

    pub(crate) fn offer_with(&mut self, customer: u64, time_left: u64) -> Decision {
        self.seq += 1;
        let offer = Offer {
            id: self.id(self.seq),
            ack: 0,
            customer,
            deadline: self.now() + time_left,
            fingerprint: self.seq,
        };
        self.gate.offer(self.now(), offer)
    }

    pub(crate) fn offer(&mut self, customer: u64) -> Decision {
        self.offer_with(customer, 10_000)
    }

    pub(crate) fn start(&mut self) -> Ticket {
        let decision = self.offer(0);
        let Decision::Start(ticket) = decision else {
            panic!("expected a slot, got {decision:?}");
        };
        ticket
    }

    pub(crate) fn run(&mut self) -> Ticket {
        let ticket = self.start();
        assert_eq!(self.gate.dispatch(self.now(), ticket), Ok(()));
        ticket
    }

    pub(crate) fn wait(&mut self, customer: u64) -> Ticket {
        let decision = self.offer(customer);
        let Decision::Wait(ticket) = decision else {
            panic!("expected a place in the queue, got {decision:?}");
        };
        ticket
    }

    pub(crate) fn refused(&mut self, customer: u64) -> Cause {
        let decision = self.offer(customer);
        let Decision::Refuse(refusal) = decision else {
            panic!("expected a refusal, got {decision:?}");
        };
        refusal.cause
    }

    pub(crate) fn done(&mut self, ticket: Ticket, latency_us: u32) {
        let finish = Finish::Done { latency_us };
        self.gate.finish(self.now(), ticket, finish);
    }

    pub(crate) fn dispatch(&mut self, ticket: Ticket) -> Result<(), Cause> {
        let now = self.now();
        self.gate.dispatch(now, ticket).map_err(|r| r.cause)
    }

    pub(crate) fn event(&mut self) -> Option<GateEvent> {
        self.gate.next_event(self.now())
    }

    pub(crate) fn load(&self) -> LoadHint {
        self.gate.load(self.now())
    }

    /// Runs calls one by one until the gate knows the service time.
    pub(crate) fn learn(&mut self, latency_us: u32) {
        for _ in 0..8 {
            let ticket = self.run();
            self.done(ticket, latency_us);
        }
    }
}

pub(crate) fn refusal_of(event: Option<GateEvent>) -> Option<(Ticket, Cause)> {
    match event {
        Some(GateEvent::Refuse(ticket, refusal)) => Some((ticket, refusal.cause)),
        Some(GateEvent::Start(_)) | None => None,
    }
}
