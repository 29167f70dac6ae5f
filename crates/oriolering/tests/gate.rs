//! Decisions of the gate: slots, queue, fences, pauses and shutdown.

use oriolering::{
    CallId, Cause, Clock, Decision, Fate, Finish, Gate, GateEvent, GateSettings, Grant,
    Incarnation, LoadHint, Millis, Offer, Refusal, SETTLE_MS, TICK_MAX_MS, Ticket,
};
use rstest::rstest;

const SETTINGS: GateSettings = GateSettings {
    initial: 2,
    min: 1,
    max: 4,
    queue_length: 3,
    queue_wait: 100,
    ramp: 0,
    sessions: 4,
    window: 64,
};

/// A gate with one session whose sequence numbers count up.
struct Fixture {
    gate: Gate,
    clock: Clock,
    grant: Grant,
    seq: u64,
}

impl Fixture {
    fn new(settings: GateSettings) -> Self {
        let clock = Clock::manual(Millis(1_000));
        let mut gate = Gate::new(settings, Incarnation(5), clock.now());
        let grant = gate.open(clock.now());
        Self {
            gate,
            clock,
            grant,
            seq: 0,
        }
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn id(&self, seq: u64) -> CallId {
        CallId {
            grant: self.grant,
            seq,
        }
    }

    fn offer_with(&mut self, customer: u64, time_left: u64) -> Decision {
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

    fn offer(&mut self, customer: u64) -> Decision {
        self.offer_with(customer, 10_000)
    }

    fn start(&mut self) -> Ticket {
        let decision = self.offer(0);
        let Decision::Start(ticket) = decision else {
            panic!("expected a slot, got {decision:?}");
        };
        ticket
    }

    fn run(&mut self) -> Ticket {
        let ticket = self.start();
        assert_eq!(self.gate.dispatch(self.now(), ticket), Ok(()));
        ticket
    }

    fn wait(&mut self, customer: u64) -> Ticket {
        let decision = self.offer(customer);
        let Decision::Wait(ticket) = decision else {
            panic!("expected a place in the queue, got {decision:?}");
        };
        ticket
    }

    fn refused(&mut self, customer: u64) -> Cause {
        let decision = self.offer(customer);
        let Decision::Refuse(refusal) = decision else {
            panic!("expected a refusal, got {decision:?}");
        };
        refusal.cause
    }

    fn done(&mut self, ticket: Ticket, latency_us: u32) {
        let finish = Finish::Done { latency_us };
        self.gate.finish(self.now(), ticket, finish);
    }

    fn dispatch(&mut self, ticket: Ticket) -> Result<(), Cause> {
        let now = self.now();
        self.gate.dispatch(now, ticket).map_err(|r| r.cause)
    }

    fn event(&mut self) -> Option<GateEvent> {
        self.gate.next_event(self.now())
    }

    fn load(&self) -> LoadHint {
        self.gate.load(self.now())
    }

    /// Runs calls one by one until the gate knows the service time.
    fn learn(&mut self, latency_us: u32) {
        for _ in 0..8 {
            let ticket = self.run();
            self.done(ticket, latency_us);
        }
    }
}

fn refusal_of(event: Option<GateEvent>) -> Option<(Ticket, Cause)> {
    match event {
        Some(GateEvent::Refuse(ticket, refusal)) => Some((ticket, refusal.cause)),
        Some(GateEvent::Start(_)) | None => None,
    }
}

#[test]
fn starts_up_to_the_limit_then_waits_then_refuses() {
    let mut fixture = Fixture::new(SETTINGS);
    let first = fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    fixture.wait(0);
    fixture.wait(0);
    assert_eq!(fixture.refused(0), Cause::Share);
    assert_eq!(fixture.event(), None);
    assert_eq!(fixture.load().running, 2);
    assert_eq!(fixture.load().queued, 3);
    fixture.done(first, 5_000);
    assert_eq!(fixture.event(), Some(GateEvent::Start(waiting)));
    assert_eq!(fixture.event(), None);
    assert_eq!(fixture.dispatch(waiting), Ok(()));
}

#[test]
fn refuses_a_duplicate_identity() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    fixture.seq = 0;
    assert_eq!(fixture.refused(0), Cause::Fenced);
    fixture.done(ticket, 1_000);
    fixture.seq = 0;
    assert_eq!(fixture.refused(0), Cause::Fenced);
}

#[test]
fn dispatches_a_ticket_once() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Fenced));
    assert_eq!(fixture.load().running, 1);
    fixture.done(ticket, 1_000);
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Fenced));
    assert!(fixture.gate.is_idle());
}

#[test]
fn refuses_to_dispatch_a_call_that_waits() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    assert_eq!(fixture.dispatch(waiting), Err(Cause::Fenced));
}

#[test]
fn fences_a_call_that_holds_a_slot() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.start();
    let id = fixture.id(1);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, false), Fate::Queued);
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Fenced);
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Fenced));
    assert!(fixture.gate.is_idle());
    assert_eq!(fixture.load().running, 0);
}

#[test]
fn fences_a_call_that_waits() {
    let mut fixture = Fixture::new(SETTINGS);
    let first = fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    let id = fixture.id(3);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Fenced);
    let refused = refusal_of(fixture.event());
    assert_eq!(refused, Some((waiting, Cause::Fenced)));
    fixture.done(first, 1_000);
    assert_eq!(fixture.event(), None);
}

#[test]
fn reports_a_running_and_an_ended_call() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    let id = fixture.id(1);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Running);
    fixture.gate.cancel(now, ticket);
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Done);
}

#[rstest]
#[case::not_sent(Finish::NotSent, Fate::Fenced)]
#[case::shed(Finish::Shed, Fate::Done)]
#[case::lost(Finish::Lost, Fate::Done)]
#[case::failed(Finish::Failed { latency_us: 10 }, Fate::Done)]
fn records_how_a_run_ended(#[case] finish: Finish, #[case] fate: Fate) {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    let now = fixture.now();
    fixture.gate.finish(now, ticket, finish);
    let id = fixture.id(1);
    assert_eq!(fixture.gate.inquire(now, id, true), fate);
    assert!(fixture.gate.is_idle());
    fixture.seq = 0;
    assert_eq!(fixture.refused(0), Cause::Fenced);
}

#[test]
fn refuses_a_foreign_and_an_evicted_session() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.start();
    let grant = fixture.grant;
    for _ in 0..SETTINGS.sessions {
        fixture.gate.open(fixture.now());
    }
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Session));
    assert_eq!(fixture.refused(0), Cause::Session);
    let id = fixture.id(1);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Forgotten);
    fixture.grant = Grant {
        gate: Incarnation(6),
        ..grant
    };
    assert_eq!(fixture.refused(0), Cause::Session);
}

#[test]
fn cancels_at_every_point() {
    let mut fixture = Fixture::new(SETTINGS);
    let reserved = fixture.start();
    let running = fixture.run();
    let waiting = fixture.wait(0);
    let fenced = fixture.wait(0);
    let now = fixture.now();
    let id = fixture.id(4);
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Fenced);
    for ticket in [reserved, running, waiting, fenced, reserved, running] {
        fixture.gate.cancel(now, ticket);
    }
    assert!(fixture.gate.is_idle());
    assert_eq!(fixture.event(), None);
    assert_eq!(fixture.load().running, 0);
    let fates = [Fate::Fenced, Fate::Done, Fate::Fenced, Fate::Fenced];
    for (seq, fate) in (1..).zip(fates) {
        let id = fixture.id(seq);
        assert_eq!(fixture.gate.inquire(now, id, true), fate);
    }
}

#[test]
fn expires_a_call_that_waits_too_long() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    let wake = fixture.gate.next_wake();
    assert_eq!(wake, Some(fixture.now() + SETTINGS.queue_wait));
    fixture.clock.advance(SETTINGS.queue_wait - 1);
    assert_eq!(fixture.event(), None);
    fixture.clock.advance(1);
    let refused = refusal_of(fixture.event());
    assert_eq!(refused, Some((waiting, Cause::Full)));
    assert_eq!(fixture.event(), None);
    assert_eq!(fixture.gate.next_wake(), None);
}

#[test]
fn drops_a_waiting_call_that_cannot_finish_before_its_deadline() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn(20_000);
    fixture.run();
    fixture.run();
    let Decision::Wait(waiting) = fixture.offer_with(0, 50) else {
        panic!("the call has time to wait");
    };
    fixture.clock.advance(30);
    let refused = refusal_of(fixture.event());
    assert_eq!(refused, Some((waiting, Cause::Deadline)));
}

#[rstest]
#[case::time_for_a_run(31, None)]
#[case::too_late(20, Some(Cause::Deadline))]
fn refuses_at_once_what_would_be_late(#[case] time_left: u64, #[case] cause: Option<Cause>) {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn(20_000);
    fixture.run();
    fixture.run();
    let refused = match fixture.offer_with(0, time_left) {
        Decision::Refuse(refusal) => Some(refusal.cause),
        Decision::Wait(_) => None,
        Decision::Start(_) => panic!("no slot is free"),
    };
    assert_eq!(refused, cause);
}

#[test]
fn refuses_at_once_what_would_wait_too_long() {
    let settings = GateSettings {
        queue_length: 100,
        ..SETTINGS
    };
    let mut fixture = Fixture::new(settings);
    fixture.learn(20_000);
    fixture.run();
    fixture.run();
    for _ in 0..11 {
        fixture.wait(1);
    }
    assert_eq!(fixture.refused(1), Cause::Full);
    fixture.wait(2);
}

#[test]
fn names_the_time_in_which_the_queue_drains() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn(20_000);
    fixture.run();
    fixture.run();
    for _ in 0..3 {
        fixture.wait(1);
    }
    let decision = fixture.offer(1);
    let refusal = Refusal {
        cause: Cause::Share,
        retry_after: 40,
    };
    assert_eq!(decision, Decision::Refuse(refusal));
}

#[test]
fn starts_a_late_call_on_an_idle_server_whatever_the_estimate() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn(5_000_000);
    assert!(matches!(fixture.offer_with(0, 10), Decision::Start(_)));
}

#[test]
fn evicts_from_the_customer_with_the_burst() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.run();
    let running = fixture.run();
    fixture.wait(1);
    fixture.wait(1);
    let newest = fixture.wait(1);
    let quiet = fixture.wait(2);
    let refused = refusal_of(fixture.event());
    assert_eq!(refused, Some((newest, Cause::Share)));
    fixture.done(running, 1_000);
    assert!(matches!(fixture.event(), Some(GateEvent::Start(_))));
    assert_eq!(fixture.dispatch(newest), Err(Cause::Fenced));
    let now = fixture.now();
    fixture.gate.cancel(now, quiet);
}

#[test]
fn gives_each_customer_its_share_of_the_slots() {
    let settings = GateSettings {
        queue_length: 100,
        ..SETTINGS
    };
    let mut fixture = Fixture::new(settings);
    let mut running = vec![fixture.run(), fixture.run()];
    for _ in 0..20 {
        fixture.wait(1);
    }
    let quiet = fixture.wait(2);
    fixture.done(running.remove(0), 1_000);
    fixture.event();
    fixture.done(running.remove(0), 1_000);
    assert_eq!(fixture.event(), Some(GateEvent::Start(quiet)));
}

#[test]
fn dispatches_nothing_after_the_deadline() {
    let mut fixture = Fixture::new(SETTINGS);
    let Decision::Start(ticket) = fixture.offer_with(0, 5) else {
        panic!("a slot is free");
    };
    fixture.clock.advance(5);
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Deadline));
    let id = fixture.id(1);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, true), Fate::Fenced);
}

#[test]
fn holds_dispatch_back_after_a_pause() {
    let mut fixture = Fixture::new(SETTINGS);
    let now = fixture.now();
    fixture.gate.tick(now);
    let ticket = fixture.start();
    fixture.clock.advance(TICK_MAX_MS + 1);
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Unready));
    let waiting = fixture.wait(0);
    assert_eq!(fixture.event(), None);
    let settled = fixture.now() + SETTLE_MS;
    assert_eq!(fixture.gate.next_wake(), Some(settled));
    fixture.clock.advance(SETTLE_MS);
    assert_eq!(fixture.event(), Some(GateEvent::Start(waiting)));
    assert_eq!(fixture.dispatch(waiting), Ok(()));
}

#[test]
fn takes_regular_ticks_for_no_pause() {
    let mut fixture = Fixture::new(SETTINGS);
    for _ in 0..10 {
        let now = fixture.now();
        fixture.gate.tick(now);
        fixture.clock.advance(TICK_MAX_MS);
    }
    let ticket = fixture.run();
    fixture.done(ticket, 1_000);
}

#[test]
fn serves_what_it_has_while_it_drains() {
    let mut fixture = Fixture::new(SETTINGS);
    let first = fixture.run();
    let second = fixture.run();
    let waiting = fixture.wait(0);
    let now = fixture.now();
    fixture.gate.drain(now);
    assert_eq!(fixture.refused(0), Cause::Leaving);
    assert!(fixture.load().leaving);
    fixture.done(first, 1_000);
    assert_eq!(fixture.event(), Some(GateEvent::Start(waiting)));
    assert_eq!(fixture.dispatch(waiting), Ok(()));
    fixture.done(waiting, 1_000);
    assert!(!fixture.gate.is_idle());
    fixture.done(second, 1_000);
    assert!(fixture.gate.is_idle());
}

#[test]
fn ramps_after_a_restart_of_the_backend_server() {
    let settings = GateSettings {
        initial: 4,
        ramp: 300,
        queue_wait: 1_000,
        ..SETTINGS
    };
    let mut fixture = Fixture::new(settings);
    assert_eq!(fixture.load().limit, 1);
    fixture.clock.advance(300);
    assert_eq!(fixture.load().limit, 4);
    let now = fixture.now();
    fixture.gate.restart(now);
    fixture.run();
    let waiting = fixture.wait(0);
    assert_eq!(fixture.gate.next_wake(), Some(now + 100));
    fixture.clock.advance(100);
    assert_eq!(fixture.event(), Some(GateEvent::Start(waiting)));
}

#[test]
fn keeps_a_server_that_fails_fast_from_looking_idle() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn(20_000);
    for _ in 0..2 {
        let ticket = fixture.run();
        let now = fixture.now();
        let finish = Finish::Failed { latency_us: 50 };
        fixture.gate.finish(now, ticket, finish);
    }
    assert_eq!(fixture.load().running, 2);
    assert_eq!(fixture.load().latency_us, 20_000);
    let waiting = fixture.wait(0);
    let held = fixture.now() + 20;
    assert_eq!(fixture.gate.next_wake(), Some(held));
    fixture.clock.advance(20);
    assert_eq!(fixture.event(), Some(GateEvent::Start(waiting)));
    assert_eq!(fixture.load().running, 1);
}

#[test]
fn counts_the_time_of_a_call_that_got_no_answer() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    fixture.clock.advance(400);
    let now = fixture.now();
    fixture.gate.finish(now, ticket, Finish::Lost);
    assert_eq!(fixture.load().latency_us, 400_000);
}

#[test]
fn follows_changed_settings() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    fixture.gate.update(GateSettings {
        min: 3,
        queue_length: 1,
        ..SETTINGS
    });
    assert_eq!(fixture.event(), Some(GateEvent::Start(waiting)));
    fixture.wait(0);
    assert_eq!(fixture.refused(0), Cause::Share);
}

#[test]
fn names_the_requests_that_run() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.start();
    let running = fixture.run();
    fixture.wait(0);
    assert_eq!(fixture.gate.suspects(), [2]);
    fixture.done(running, 1_000);
    assert!(fixture.gate.suspects().is_empty());
}
