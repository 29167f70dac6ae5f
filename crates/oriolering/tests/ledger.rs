//! Finality of refusals and bounds of the ledger.

use oriolering::{CallId, Cause, Fate, Grant, Incarnation, Ledger};
use rstest::rstest;

const GATE: Incarnation = Incarnation(7);

fn id(grant: Grant, seq: u64) -> CallId {
    CallId { grant, seq }
}

#[test]
fn dispatches_an_admitted_call_once() {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let call = id(ledger.open(), 1);
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
    assert_eq!(ledger.admit(call, 0), Ok(()));
    assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(call, false), Fate::Queued);
    assert_eq!(ledger.dispatch(call), Ok(()));
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(call, true), Fate::Running);
    ledger.finish(call);
    assert_eq!(ledger.inquire(call, true), Fate::Done);
    assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
}

#[test]
fn fences_a_call_that_was_never_seen() {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let call = id(ledger.open(), 3);
    assert_eq!(ledger.inquire(call, false), Fate::Forgotten);
    assert_eq!(ledger.inquire(call, true), Fate::Fenced);
    assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(call.grant, 2), 0), Ok(()));
}

#[test]
fn fences_a_queued_call() {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let call = id(ledger.open(), 1);
    assert_eq!(ledger.admit(call, 0), Ok(()));
    assert_eq!(ledger.inquire(call, true), Fate::Fenced);
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
}

#[test]
fn keeps_a_call_of_which_nothing_was_sent_from_running() {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let call = id(ledger.open(), 1);
    assert_eq!(ledger.admit(call, 0), Ok(()));
    assert_eq!(ledger.dispatch(call), Ok(()));
    ledger.take_back(call);
    assert_eq!(ledger.inquire(call, false), Fate::Fenced);
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
}

#[rstest]
#[case::acknowledged(5, 5)]
#[case::out_of_window(21, 0)]
#[case::far_out_of_window(u64::MAX, 0)]
fn refuses_below_the_floor_for_good(#[case] seq: u64, #[case] ack: u64) {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let grant = ledger.open();
    assert_eq!(ledger.admit(id(grant, 4), 0), Ok(()));
    let _ = ledger.admit(id(grant, seq), ack);
    assert_eq!(ledger.dispatch(id(grant, 4)), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(grant, 3), 0), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(id(grant, 4), true), Fate::Forgotten);
    assert!(ledger.states() <= 16);
}

#[test]
fn takes_any_acknowledgement_without_growing() {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let grant = ledger.open();
    assert_eq!(ledger.admit(id(grant, 1), u64::MAX), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(grant, u64::MAX), 0), Err(Cause::Fenced));
    assert_eq!(ledger.states(), 0);
}

#[test]
fn refuses_a_foreign_and_an_unknown_session() {
    let mut ledger = Ledger::new(GATE, 4, 16);
    let grant = ledger.open();
    let foreign = Grant {
        gate: Incarnation(8),
        ..grant
    };
    let unknown = Grant {
        number: 99,
        ..grant
    };
    for grant in [foreign, unknown] {
        assert_eq!(ledger.admit(id(grant, 1), 0), Err(Cause::Session));
        assert_eq!(ledger.inquire(id(grant, 1), true), Fate::Forgotten);
    }
}

#[test]
fn evicts_the_session_used_least_recently_for_good() {
    let mut ledger = Ledger::new(GATE, 2, 16);
    let first = ledger.open();
    let second = ledger.open();
    assert_eq!(ledger.admit(id(second, 1), 0), Ok(()));
    assert_eq!(ledger.admit(id(first, 1), 0), Ok(()));
    let third = ledger.open();
    assert_eq!(ledger.sessions(), 2);
    assert_eq!(ledger.dispatch(id(second, 1)), Err(Cause::Session));
    assert_eq!(ledger.admit(id(second, 2), 0), Err(Cause::Session));
    assert_eq!(ledger.dispatch(id(first, 1)), Ok(()));
    assert!(third.number > second.number);
}

#[test]
fn never_gives_a_grant_twice() {
    let mut ledger = Ledger::new(GATE, 1, 16);
    let grants: Vec<Grant> = (0..100).map(|_| ledger.open()).collect();
    assert!(
        grants
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
    assert_eq!(ledger.sessions(), 1);
}
