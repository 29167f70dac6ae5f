//! The queue of the gate: order, deadlines and fairness among customers.

use oriolering::{Cause, Decision, GateEvent, GateSettings, Refusal};
use rstest::rstest;

use crate::fixture::{Fixture, SETTINGS, refusal_of};

#[test]
fn starts_up_to_the_limit_then_waits_then_refuses() {
    let mut fixture = Fixture::new(SETTINGS);
    let first = fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    fixture.wait(0);
    fixture.wait(0);
    assert_eq!(fixture.refuse(0), Cause::Full);
    assert_eq!(fixture.next_event(), None);
    assert_eq!(fixture.load().running, 2);
    assert_eq!(fixture.load().queued, 3);
    fixture.complete(first, 5_000);
    assert_eq!(fixture.next_event(), Some(GateEvent::Start(waiting)));
    assert_eq!(fixture.next_event(), None);
    assert_eq!(fixture.dispatch(waiting), Ok(()));
}

#[test]
fn expires_a_call_that_waits_too_long() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.run();
    fixture.run();
    let waiting = fixture.wait(0);
    let wake = fixture.gate.next_wake();
    assert_eq!(wake, Some(fixture.now() + SETTINGS.queue_wait_ms));
    fixture.clock.advance(SETTINGS.queue_wait_ms - 1);
    assert_eq!(fixture.next_event(), None);
    fixture.clock.advance(1);
    let refused = refusal_of(fixture.next_event());
    assert_eq!(refused, Some((waiting, Cause::Full)));
    assert_eq!(fixture.next_event(), None);
    assert_eq!(fixture.gate.next_wake(), None);
}

#[test]
fn drops_a_waiting_call_that_cannot_finish_before_its_deadline() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn_service_time(20_000);
    fixture.run();
    fixture.run();
    let Decision::Wait(waiting) = fixture.offer_with(0, 50) else {
        panic!("the call has enough time to be queued");
    };
    fixture.clock.advance(30);
    let refused = refusal_of(fixture.next_event());
    assert_eq!(refused, Some((waiting, Cause::Deadline)));
}

#[rstest]
#[case::time_for_a_run(31, None)]
#[case::too_late(20, Some(Cause::Deadline))]
fn refuses_at_once_a_call_that_would_miss_its_deadline(
    #[case] time_left: u64,
    #[case] cause: Option<Cause>,
) {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn_service_time(20_000);
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
fn refuses_at_once_a_call_that_would_wait_too_long() {
    let settings = GateSettings {
        queue_length: 100,
        ..SETTINGS
    };
    let mut fixture = Fixture::new(settings);
    fixture.learn_service_time(20_000);
    fixture.run();
    fixture.run();
    for _ in 0..11 {
        fixture.wait(1);
    }
    assert_eq!(fixture.refuse(1), Cause::Full);
    fixture.wait(2);
}

#[test]
fn a_refusal_names_the_time_until_the_queue_drains() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn_service_time(20_000);
    fixture.run();
    fixture.run();
    for _ in 0..3 {
        fixture.wait(1);
    }
    let decision = fixture.offer(1);
    let refusal = Refusal {
        cause: Cause::Full,
        retry_after: 40,
    };
    assert_eq!(decision, Decision::Refuse(refusal));
}

#[test]
fn starts_any_call_on_an_idle_server_despite_its_estimate() {
    let mut fixture = Fixture::new(SETTINGS);
    fixture.learn_service_time(5_000_000);
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
    let refused = refusal_of(fixture.next_event());
    assert_eq!(refused, Some((newest, Cause::Share)));
    fixture.complete(running, 1_000);
    assert!(matches!(fixture.next_event(), Some(GateEvent::Start(_))));
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
    fixture.complete(running.remove(0), 1_000);
    fixture.next_event();
    fixture.complete(running.remove(0), 1_000);
    assert_eq!(fixture.next_event(), Some(GateEvent::Start(quiet)));
}
