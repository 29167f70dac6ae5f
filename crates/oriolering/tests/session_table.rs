//! Finality of refusals and bounds of the ledger.

mod runner;

use std::collections::HashMap;

use oriolering::{AttemptStatus, CallId, Cause, Grant, Incarnation, SessionTable};
use proptest::prelude::*;

const GATE: Incarnation = Incarnation(7);

fn id(grant: Grant, seq: u64) -> CallId {
    CallId { grant, seq }
}

#[test]
fn dispatches_an_admitted_call_once() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let call = id(ledger.open(), 1);
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
    assert_eq!(ledger.admit(call, 0), Ok(()));
    assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(call, false), AttemptStatus::Queued);
    assert_eq!(ledger.dispatch(call), Ok(()));
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(call, true), AttemptStatus::Running);
    ledger.finish(call);
    assert_eq!(ledger.inquire(call, true), AttemptStatus::Done);
    assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
}

#[test]
fn fences_a_call_that_was_never_seen() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let call = id(ledger.open(), 3);
    assert_eq!(ledger.inquire(call, false), AttemptStatus::Forgotten);
    assert_eq!(ledger.inquire(call, true), AttemptStatus::Fenced);
    assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(call.grant, 2), 0), Ok(()));
}

#[test]
fn fences_a_queued_call() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let call = id(ledger.open(), 1);
    assert_eq!(ledger.admit(call, 0), Ok(()));
    assert_eq!(ledger.inquire(call, true), AttemptStatus::Fenced);
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
}

#[test]
fn keeps_a_call_of_which_nothing_was_sent_from_running() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let call = id(ledger.open(), 1);
    assert_eq!(ledger.admit(call, 0), Ok(()));
    assert_eq!(ledger.dispatch(call), Ok(()));
    ledger.undo_dispatch(call);
    assert_eq!(ledger.inquire(call, false), AttemptStatus::Fenced);
    assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
}

#[test]
fn refuses_what_is_acknowledged_for_good() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let grant = ledger.open();
    assert_eq!(ledger.admit(id(grant, 4), 0), Ok(()));
    assert_eq!(ledger.admit(id(grant, 6), 5), Ok(()));
    assert_eq!(ledger.dispatch(id(grant, 4)), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(grant, 3), 0), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(id(grant, 4), true), AttemptStatus::Forgotten);
}

#[test]
fn refuses_what_runs_out_of_the_window_for_good() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let grant = ledger.open();
    for seq in (1..1_000).step_by(2) {
        assert_eq!(ledger.admit(id(grant, seq), 0), Ok(()));
        assert!(ledger.runs() <= 16);
    }
    assert_eq!(ledger.dispatch(id(grant, 1)), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(grant, 2), 0), Err(Cause::Fenced));
    assert_eq!(ledger.inquire(id(grant, 1), true), AttemptStatus::Forgotten);
    assert_eq!(ledger.dispatch(id(grant, 999)), Ok(()));
}

#[test]
fn keeps_the_record_of_a_long_call() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let grant = ledger.open();
    let long = id(grant, 1);
    assert_eq!(ledger.admit(long, 0), Ok(()));
    assert_eq!(ledger.dispatch(long), Ok(()));
    for seq in 2..100_000 {
        let call = id(grant, seq);
        assert_eq!(ledger.admit(call, 0), Ok(()));
        assert_eq!(ledger.dispatch(call), Ok(()));
        ledger.finish(call);
    }
    assert_eq!(ledger.runs(), 2);
    assert_eq!(ledger.inquire(long, true), AttemptStatus::Running);
    assert_eq!(
        ledger.inquire(id(grant, 100_000), true),
        AttemptStatus::Fenced
    );
}

#[test]
fn takes_any_sequence_number_without_growing() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let grant = ledger.open();
    for seq in [4, u64::MAX, u64::MAX - 1, 1] {
        assert_eq!(ledger.admit(id(grant, seq), 0), Ok(()));
        assert_eq!(ledger.dispatch(id(grant, seq)), Ok(()));
    }
    assert!(ledger.runs() <= 5);
    assert_eq!(ledger.admit(id(grant, 0), 0), Err(Cause::Fenced));
}

#[test]
fn takes_any_acknowledgement_without_growing() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
    let grant = ledger.open();
    assert_eq!(ledger.admit(id(grant, 1), u64::MAX), Err(Cause::Fenced));
    assert_eq!(ledger.admit(id(grant, u64::MAX), 0), Err(Cause::Fenced));
    assert_eq!(ledger.runs(), 0);
}

#[test]
fn refuses_a_foreign_and_an_unknown_session() {
    let mut ledger = SessionTable::new(GATE, 4, 16);
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
        assert_eq!(ledger.inquire(id(grant, 1), true), AttemptStatus::Forgotten);
    }
}

#[test]
fn evicts_the_session_used_least_recently_for_good() {
    let mut ledger = SessionTable::new(GATE, 2, 16);
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
    let mut ledger = SessionTable::new(GATE, 1, 16);
    let grants: Vec<Grant> = (0..100).map(|_| ledger.open()).collect();
    assert!(
        grants
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
    assert_eq!(ledger.sessions(), 1);
}

/// Applies an operation to the ledger and to a map of fates, and compares the answers.
fn step(ledger: &mut SessionTable, map: &mut HashMap<u64, AttemptStatus>, call: CallId, op: u8) {
    let known = map.get(&call.seq).copied();
    let next = match (op, known) {
        (0, None) => {
            assert_eq!(ledger.admit(call, 0), Ok(()));
            Some(AttemptStatus::Queued)
        }
        (0, Some(_)) => {
            assert_eq!(ledger.admit(call, 0), Err(Cause::Fenced));
            known
        }
        (1, Some(AttemptStatus::Queued)) => {
            assert_eq!(ledger.dispatch(call), Ok(()));
            Some(AttemptStatus::Running)
        }
        (1, _) => {
            assert_eq!(ledger.dispatch(call), Err(Cause::Fenced));
            known
        }
        (2, Some(AttemptStatus::Running)) => {
            ledger.finish(call);
            Some(AttemptStatus::Done)
        }
        (2, _) => {
            ledger.finish(call);
            known
        }
        (_, None | Some(AttemptStatus::Queued)) => {
            assert_eq!(ledger.inquire(call, true), AttemptStatus::Fenced);
            Some(AttemptStatus::Fenced)
        }
        (_, Some(_)) => known,
    };
    if let Some(fate) = next {
        map.insert(call.seq, fate);
    }
}

#[test]
fn equals_a_map_while_the_window_suffices() {
    let ops = prop::collection::vec((0..4u8, 1..20u64), 1..200);
    let result = runner::runner(256).run(&ops, |ops| {
        let mut ledger = SessionTable::new(GATE, 1, 20);
        let grant = ledger.open();
        let mut map = HashMap::new();
        for (op, seq) in ops {
            step(&mut ledger, &mut map, id(grant, seq), op);
            for seq in 1..20 {
                let fate = map.get(&seq).copied().unwrap_or(AttemptStatus::Forgotten);
                prop_assert_eq!(ledger.inquire(id(grant, seq), false), fate);
            }
        }
        Ok(())
    });
    result.expect("the ledger differs from the map");
}
