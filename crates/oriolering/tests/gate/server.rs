//! The state of the backend server and of the process: pauses, starts, shutdown, failures.

use oriolering::{Cause, Finish, GateEvent, GateSettings, SETTLE_MS, TICK_MAX_MS};

use crate::fixture::{Fixture, SETTINGS};

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
        ramp_ms: 300,
        queue_wait_ms: 1_000,
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
    assert_eq!(fixture.refused(0), Cause::Full);
}

#[test]
fn holds_slots_of_a_server_that_never_answered() {
    let mut fixture = Fixture::new(SETTINGS);
    for _ in 0..2 {
        let ticket = fixture.run();
        let now = fixture.now();
        fixture.gate.finish(now, ticket, Finish::NotSent);
    }
    assert_eq!(fixture.load().running, 2);
    fixture.clock.advance(10);
    assert_eq!(fixture.load().running, 0);
}
