//! Calls are dispatched at most once, and refusals are final.

use oriolering::{AttemptStatus, Cause, Decision, Finish, Grant, Incarnation};
use rstest::rstest;

use crate::fixture::{Fixture, SETTINGS, refusal_of};

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
    assert_eq!(fixture.gate.inquire(now, id, false), AttemptStatus::Queued);
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
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
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
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
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Running);
    fixture.gate.cancel(now, ticket);
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Done);
}

#[rstest]
#[case::not_sent(Finish::NotSent, AttemptStatus::Fenced)]
#[case::shed(Finish::Shed, AttemptStatus::Done)]
#[case::lost(Finish::Lost, AttemptStatus::Done)]
#[case::failed(Finish::Failed { latency_us: 10 }, AttemptStatus::Done)]
fn records_how_a_run_ended(#[case] finish: Finish, #[case] fate: AttemptStatus) {
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
        fixture.gate.open_session(fixture.now());
    }
    assert_eq!(fixture.dispatch(ticket), Err(Cause::Session));
    assert_eq!(fixture.refused(0), Cause::Session);
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
    assert_eq!(fixture.gate.inquire(now, id, true), AttemptStatus::Fenced);
    for ticket in [reserved, running, waiting, fenced, reserved, running] {
        fixture.gate.cancel(now, ticket);
    }
    assert!(fixture.gate.is_idle());
    assert_eq!(fixture.event(), None);
    assert_eq!(fixture.load().running, 0);
    let fates = [
        AttemptStatus::Fenced,
        AttemptStatus::Done,
        AttemptStatus::Fenced,
        AttemptStatus::Fenced,
    ];
    for (seq, fate) in (1..).zip(fates) {
        let id = fixture.id(seq);
        assert_eq!(fixture.gate.inquire(now, id, true), fate);
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
fn names_the_requests_that_run() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.start();
    let running = fixture.run();
    fixture.wait(0);
    assert_eq!(fixture.gate.running_fingerprints(), [2]);
    fixture.done(running, 1_000);
    assert!(fixture.gate.running_fingerprints().is_empty());
}
