//! Finality of refusals and bounds of the session table.

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
    let mut table = SessionTable::new(GATE, 4, 16);
    let call = id(table.open(), 1);
    assert_eq!(table.dispatch(call), Err(Cause::Fenced));
    assert_eq!(table.admit(call, 0), Ok(()));
    assert_eq!(table.admit(call, 0), Err(Cause::Fenced));
    assert_eq!(table.inquire(call, false), AttemptStatus::Queued);
    assert_eq!(table.dispatch(call), Ok(()));
    assert_eq!(table.dispatch(call), Err(Cause::Fenced));
    assert_eq!(table.inquire(call, true), AttemptStatus::Running);
    table.finish(call);
    assert_eq!(table.inquire(call, true), AttemptStatus::Done);
    assert_eq!(table.admit(call, 0), Err(Cause::Fenced));
}

#[test]
fn fences_a_call_that_was_never_seen() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let call = id(table.open(), 3);
    assert_eq!(table.inquire(call, false), AttemptStatus::Forgotten);
    assert_eq!(table.inquire(call, true), AttemptStatus::Fenced);
    assert_eq!(table.admit(call, 0), Err(Cause::Fenced));
    assert_eq!(table.admit(id(call.grant, 2), 0), Ok(()));
}

#[test]
fn fences_a_queued_call() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let call = id(table.open(), 1);
    assert_eq!(table.admit(call, 0), Ok(()));
    assert_eq!(table.inquire(call, true), AttemptStatus::Fenced);
    assert_eq!(table.dispatch(call), Err(Cause::Fenced));
}

#[test]
fn fences_a_dispatched_call_that_was_not_sent() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let call = id(table.open(), 1);
    assert_eq!(table.admit(call, 0), Ok(()));
    assert_eq!(table.dispatch(call), Ok(()));
    table.undo_dispatch(call);
    assert_eq!(table.inquire(call, false), AttemptStatus::Fenced);
    assert_eq!(table.dispatch(call), Err(Cause::Fenced));
}

#[test]
fn refuses_acknowledged_numbers_for_good() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let grant = table.open();
    assert_eq!(table.admit(id(grant, 4), 0), Ok(()));
    assert_eq!(table.admit(id(grant, 6), 5), Ok(()));
    assert_eq!(table.dispatch(id(grant, 4)), Err(Cause::Fenced));
    assert_eq!(table.admit(id(grant, 3), 0), Err(Cause::Fenced));
    assert_eq!(table.inquire(id(grant, 4), true), AttemptStatus::Forgotten);
}

#[test]
fn refuses_numbers_dropped_from_the_window_for_good() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let grant = table.open();
    for seq in (1..1_000).step_by(2) {
        assert_eq!(table.admit(id(grant, seq), 0), Ok(()));
        assert!(table.runs() <= 16);
    }
    assert_eq!(table.dispatch(id(grant, 1)), Err(Cause::Fenced));
    assert_eq!(table.admit(id(grant, 2), 0), Err(Cause::Fenced));
    assert_eq!(table.inquire(id(grant, 1), true), AttemptStatus::Forgotten);
    assert_eq!(table.dispatch(id(grant, 999)), Ok(()));
}

#[test]
fn keeps_the_state_of_a_long_call() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let grant = table.open();
    let long = id(grant, 1);
    assert_eq!(table.admit(long, 0), Ok(()));
    assert_eq!(table.dispatch(long), Ok(()));
    for seq in 2..100_000 {
        let call = id(grant, seq);
        assert_eq!(table.admit(call, 0), Ok(()));
        assert_eq!(table.dispatch(call), Ok(()));
        table.finish(call);
    }
    assert_eq!(table.runs(), 2);
    assert_eq!(table.inquire(long, true), AttemptStatus::Running);
    assert_eq!(
        table.inquire(id(grant, 100_000), true),
        AttemptStatus::Fenced
    );
}

#[test]
fn accepts_any_sequence_number_in_bounded_memory() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let grant = table.open();
    for seq in [4, u64::MAX, u64::MAX - 1, 1] {
        assert_eq!(table.admit(id(grant, seq), 0), Ok(()));
        assert_eq!(table.dispatch(id(grant, seq)), Ok(()));
    }
    assert!(table.runs() <= 5);
    assert_eq!(table.admit(id(grant, 0), 0), Err(Cause::Fenced));
}

#[test]
fn accepts_any_acknowledgement_in_bounded_memory() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let grant = table.open();
    assert_eq!(table.admit(id(grant, 1), u64::MAX), Err(Cause::Fenced));
    assert_eq!(table.admit(id(grant, u64::MAX), 0), Err(Cause::Fenced));
    assert_eq!(table.runs(), 0);
}

#[test]
fn refuses_a_foreign_and_an_unknown_session() {
    let mut table = SessionTable::new(GATE, 4, 16);
    let grant = table.open();
    let foreign = Grant {
        gate: Incarnation(8),
        ..grant
    };
    let unknown = Grant {
        number: 99,
        ..grant
    };
    for grant in [foreign, unknown] {
        assert_eq!(table.admit(id(grant, 1), 0), Err(Cause::Session));
        assert_eq!(table.inquire(id(grant, 1), true), AttemptStatus::Forgotten);
    }
}

#[test]
fn evicts_the_least_recently_used_session_for_good() {
    let mut table = SessionTable::new(GATE, 2, 16);
    let first = table.open();
    let second = table.open();
    assert_eq!(table.admit(id(second, 1), 0), Ok(()));
    assert_eq!(table.admit(id(first, 1), 0), Ok(()));
    let third = table.open();
    assert_eq!(table.sessions(), 2);
    assert_eq!(table.dispatch(id(second, 1)), Err(Cause::Session));
    assert_eq!(table.admit(id(second, 2), 0), Err(Cause::Session));
    assert_eq!(table.dispatch(id(first, 1)), Ok(()));
    assert!(third.number > second.number);
}

#[test]
fn never_reuses_a_session_number() {
    let mut table = SessionTable::new(GATE, 1, 16);
    let grants: Vec<Grant> = (0..100).map(|_| table.open()).collect();
    assert!(
        grants
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
    assert_eq!(table.sessions(), 1);
}

/// Applies an operation to the table and to a map of states, and compares the results.
fn step(table: &mut SessionTable, map: &mut HashMap<u64, AttemptStatus>, call: CallId, op: u8) {
    let known = map.get(&call.seq).copied();
    let next = match (op, known) {
        (0, None) => {
            assert_eq!(table.admit(call, 0), Ok(()));
            Some(AttemptStatus::Queued)
        }
        (0, Some(_)) => {
            assert_eq!(table.admit(call, 0), Err(Cause::Fenced));
            known
        }
        (1, Some(AttemptStatus::Queued)) => {
            assert_eq!(table.dispatch(call), Ok(()));
            Some(AttemptStatus::Running)
        }
        (1, _) => {
            assert_eq!(table.dispatch(call), Err(Cause::Fenced));
            known
        }
        (2, Some(AttemptStatus::Running)) => {
            table.finish(call);
            Some(AttemptStatus::Done)
        }
        (2, _) => {
            table.finish(call);
            known
        }
        (_, None | Some(AttemptStatus::Queued)) => {
            assert_eq!(table.inquire(call, true), AttemptStatus::Fenced);
            Some(AttemptStatus::Fenced)
        }
        (_, Some(_)) => known,
    };
    if let Some(status) = next {
        map.insert(call.seq, status);
    }
}

#[test]
fn matches_a_map_while_the_window_suffices() {
    let ops = prop::collection::vec((0..4u8, 1..20u64), 1..200);
    let result = runner::runner(256).run(&ops, |ops| {
        let mut table = SessionTable::new(GATE, 1, 20);
        let grant = table.open();
        let mut map = HashMap::new();
        for (op, seq) in ops {
            step(&mut table, &mut map, id(grant, seq), op);
            for seq in 1..20 {
                let status = map.get(&seq).copied().unwrap_or(AttemptStatus::Forgotten);
                prop_assert_eq!(table.inquire(id(grant, seq), false), status);
            }
        }
        Ok(())
    });
    result.expect("the session table differs from the map");
}
