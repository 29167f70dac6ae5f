//! At-most-once dispatch of calls, and finality of refusals.

use oriolering::{AttemptStatus, Cause, Decision, Finish, Grant, Incarnation};
use rstest::rstest;

use crate::fixture::{Fixture, SETTINGS, refusal_of};

#[test]
fn refuses_a_duplicate_identity() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    fixture.seq = 0;
    assert_eq!(fixture.refuse(0), Cause::Fenced);
    fixture.complete(ticket, 1_000);
    fixture.seq = 0;
    assert_eq!(fixture.refuse(0), Cause::Fenced);
}

#[test]
fn dispatches_a_ticket_once() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Fenced));
    assert_eq!(fixture.load().running, 1);
    fixture.complete(ticket, 1_000);
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Fenced));
    assert!(fixture.gate.is_idle());
}

#[test]
fn refuses_to_dispatch_a_waiting_call() {
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
    assert_eq!(fixture.gate.inquire(now, id, false), AttemptStatus::Queued);
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Fenced));
    assert!(fixture.gate.is_idle());
    assert_eq!(fixture.load().running, 0);
}

#[test]
fn fences_a_waiting_call() {
    let mut fixture = Fixture::new(SETTINGS);
    let first = fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    let id = fixture.id(3);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
    let refused = refusal_of(fixture.next_event());
    assert_eq!(refused, Some((waiting, Cause::Fenced)));
    fixture.complete(first, 1_000);
    assert_eq!(fixture.next_event(), None);
}

#[test]
fn reports_the_state_of_running_and_ended_calls() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    let id = fixture.id(1);
    let now = fixture.now();
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Running);
    fixture.gate.cancel(now, ticket);
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Done);
}

#[rstest]
#[case::not_sent(Finish::NotSent, AttemptStatus::Fenced)]
#[case::shed(Finish::Shed, AttemptStatus::Done)]
#[case::lost(Finish::Lost, AttemptStatus::Done)]
#[case::failed(Finish::Failed { latency_us: 10 }, AttemptStatus::Done)]
fn records_how_a_run_ended(#[case] finish: Finish, #[case] status: AttemptStatus) {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.run();
    let now = fixture.now();
    fixture.gate.finish(now, ticket, finish);
    let id = fixture.id(1);
    assert_eq!(fixture.gate.inquire(now, id, true), status);
    assert!(fixture.gate.is_idle());
    fixture.seq = 0;
    assert_eq!(fixture.refuse(0), Cause::Fenced);
}

#[test]
fn refuses_a_foreign_and_an_evicted_session() {
    let mut fixture = Fixture::new(SETTINGS);
    let ticket = fixture.start();
    let grant = fixture.grant;
    for _ in 0..SETTINGS.sessions {
        fixture.gate.open_session(fixture.now());
    }
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Session));
    assert_eq!(fixture.refuse(0), Cause::Session);
    let id = fixture.id(1);
    let now = fixture.now();
    assert_eq!(
        fixture.gate.inquire(now, id, true),
        AttemptStatus::Forgotten
    );
    fixture.grant = Grant {
        gate: Incarnation(6),
        ..grant
    };
    assert_eq!(fixture.refuse(0), Cause::Session);
}

#[test]
fn cancels_a_call_in_every_phase() {
    let mut fixture = Fixture::new(SETTINGS);
    let reserved = fixture.start();
    let running = fixture.run();
    let waiting = fixture.wait(0);
    let fenced = fixture.wait(0);
    let now = fixture.now();
    let id = fixture.id(4);
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
    for ticket in [reserved, running, waiting, fenced, reserved, running] {
        fixture.gate.cancel(now, ticket);
    }
    assert!(fixture.gate.is_idle());
    assert_eq!(fixture.next_event(), None);
    assert_eq!(fixture.load().running, 0);
    let statuses = [
        AttemptStatus::Fenced,
        AttemptStatus::Done,
        AttemptStatus::Fenced,
        AttemptStatus::Fenced,
    ];
    for (seq, status) in (1..).zip(statuses) {
        let id = fixture.id(seq);
        assert_eq!(fixture.gate.inquire(now, id, true), status);
    }
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
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
}

#[test]
fn returns_the_fingerprints_of_running_calls() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.start();
    let running = fixture.run();
    fixture.wait(0);
    assert_eq!(fixture.gate.running_fingerprints(), [2]);
    fixture.complete(running, 1_000);
    assert!(fixture.gate.running_fingerprints().is_empty());
}
