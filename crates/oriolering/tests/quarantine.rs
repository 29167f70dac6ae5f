//! Tests of suspect and quarantined requests, and of the exchange of entries between nodes.

mod runner;

use oriolering::{Incarnation, Millis, Quarantine, QuarantineSettings, Verdict};
use proptest::prelude::*;

const SETTINGS: QuarantineSettings = QuarantineSettings {
    capacity: 8,
    quarantine_ms: 60_000,
    suspect_ms: 30_000,
};
const START: Millis = Millis(100_000);

fn node(number: u64) -> Quarantine {
    Quarantine::new(SETTINGS, Incarnation(number))
}

/// Sends the entries of `from` to `to`.
fn send_entries(now: Millis, from: &Quarantine, to: &mut Quarantine) {
    to.import(now, &from.export(now));
}

#[test]
fn quarantines_at_the_second_crash() {
    let mut table = node(1);
    assert_eq!(table.record_crash(START, &[7, 8]), 0);
    assert!(table.is_suspect(START, 7));
    assert_eq!(table.remaining_ms(START, 7), None);
    assert_eq!(table.record_crash(START + 10, &[7, 9]), 1);
    assert_eq!(table.remaining_ms(START + 10, 7), Some(60_000));
    assert_eq!(table.remaining_ms(START + 10, 8), None);
    assert_eq!(table.remaining_ms(START + 10 + 60_000, 7), None);
}

#[test]
fn counts_one_crash_once() {
    let mut table = node(1);
    assert_eq!(table.record_crash(START, &[7, 7]), 0);
    assert_eq!(table.remaining_ms(START, 7), None);
}

#[test]
fn suspect_expires() {
    let mut table = node(1);
    table.record_crash(START, &[7]);
    assert_eq!(table.record_crash(START + 30_000, &[7]), 0);
}

#[test]
fn clears_a_suspect_that_finishes_a_run() {
    let mut table = node(1);
    table.record_crash(START, &[7]);
    table.record_finish(START + 1, 7);
    assert!(!table.is_suspect(START + 1, 7));
    assert_eq!(table.record_crash(START + 2, &[7]), 0);
    assert!(!table.is_suspect(START + 2, 7));
}

#[test]
fn a_finished_run_ends_a_quarantine() {
    let mut table = node(1);
    table.record_crash(START, &[7]);
    table.record_crash(START + 1, &[7]);
    assert!(table.remaining_ms(START + 2, 7).is_some());
    assert!(table.record_finish(START + 2, 7));
    assert_eq!(table.remaining_ms(START + 2, 7), None);
    assert!(!table.record_finish(START + 3, 7));
}

#[test]
fn import_returns_requests_that_finished_here() {
    let (mut first, mut second) = (node(1), node(2));
    second.record_finish(START, 7);
    first.record_crash(START, &[7, 8]);
    let entries = first.export(START);
    assert_eq!(second.import(START + 1, &entries), [7]);
    assert!(second.is_suspect(START + 1, 8));
    assert_eq!(second.import(START + 20_000, &entries), [0_u64; 0]);
}

#[test]
fn ignores_requests_without_a_fingerprint() {
    let mut table = node(1);
    table.record_crash(START, &[0]);
    table.record_crash(START, &[0]);
    table.record_finish(START, 0);
    assert!(table.is_empty());
}

#[test]
fn quarantines_across_nodes() {
    let (mut first, mut second, mut third) = (node(1), node(2), node(3));
    first.record_crash(START, &[7]);
    send_entries(START, &first, &mut second);
    send_entries(START, &first, &mut second);
    assert_eq!(second.remaining_ms(START, 7), None);
    assert_eq!(second.record_crash(START + 5, &[7]), 1);
    send_entries(START + 6, &second, &mut third);
    send_entries(START + 6, &second, &mut first);
    assert_eq!(third.remaining_ms(START + 6, 7), Some(59_999));
    assert_eq!(first.remaining_ms(START + 6, 7), Some(59_999));
}

#[test]
fn merges_suspects_that_were_exchanged_concurrently() {
    let (mut first, mut second, mut third) = (node(1), node(2), node(3));
    first.record_crash(START, &[7]);
    second.record_crash(START, &[7]);
    let entries = (first.export(START), second.export(START));
    first.import(START + 1, &entries.1);
    second.import(START + 1, &entries.0);
    assert!(first.remaining_ms(START + 1, 7).is_some());
    assert!(second.remaining_ms(START + 1, 7).is_some());
    send_entries(START + 2, &first, &mut third);
    assert!(third.remaining_ms(START + 2, 7).is_some());
}

#[test]
fn does_not_quarantine_a_request_that_finished_here() {
    let (mut first, mut second) = (node(1), node(2));
    second.record_finish(START, 7);
    first.record_crash(START, &[7]);
    first.record_crash(START + 1, &[7]);
    send_entries(START + 2, &first, &mut second);
    assert_eq!(second.remaining_ms(START + 2, 7), None);
}

#[test]
fn evicts_suspects_before_quarantined_requests() {
    let mut table = node(1);
    table.record_crash(START, &[1]);
    table.record_crash(START, &[1]);
    for fingerprint in 2..100 {
        table.record_crash(START, &[fingerprint]);
    }
    assert_eq!(table.len(), 8);
    assert!(table.remaining_ms(START, 1).is_some());
    assert_eq!(table.export(START)[0].verdict, Verdict::Quarantined);
}

#[test]
fn limits_the_duration_that_a_peer_claims() {
    let mut first = node(1);
    first.record_crash(START, &[7]);
    first.record_crash(START, &[7]);
    let mut entries = first.export(START);
    entries[0].remaining = u32::MAX;
    let mut second = node(2);
    second.import(START, &entries);
    assert_eq!(second.remaining_ms(START, 7), Some(60_000));
    assert!(second.export(START).is_empty());
}

/// Without new crashes every entry expires in time, however often nodes exchange entries.
#[test]
fn entries_expire_although_nodes_exchange_them() {
    let hops = prop::collection::vec((0..4usize, 0..4usize, 0..3_000u64), 1..200);
    let crashes = prop::collection::vec(0..4usize, 1..5);
    let result = runner::runner(64).run(&(crashes, hops), |(crashes, hops)| {
        let mut nodes: Vec<Quarantine> = (0..4).map(node).collect();
        for index in crashes {
            nodes[index].record_crash(START, &[7]);
        }
        let mut now = START;
        for (from, to, delay) in hops {
            let entries = nodes[from].export(now);
            now = now + delay;
            nodes[to].import(now, &entries);
        }
        let end = now.max(START + SETTINGS.quarantine_ms + SETTINGS.suspect_ms + 10_000);
        for node in &nodes {
            prop_assert!(node.export(end).is_empty());
            prop_assert!(!node.is_suspect(end, 7));
        }
        Ok(())
    });
    result.expect("an entry outlived its duration");
}
