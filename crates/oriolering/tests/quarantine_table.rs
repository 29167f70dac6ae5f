//! Tests of the table of quarantines that nodes pass on to each other.

use oriolering::{
    Crash, Incarnation, Millis, QUARANTINE_MAX_MS, QUARANTINES_MAX, QuarantineEntry,
    QuarantineTable, Verdict,
};
use rstest::rstest;

fn entry(fingerprint: u64, remaining_ms: u32) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint,
        crash: Crash {
            gate: Incarnation(1),
            number: 1,
        },
        verdict: Verdict::Quarantined,
        remaining: remaining_ms,
    }
}

#[test]
fn repeated_entry_keeps_its_expiry() {
    let mut table = QuarantineTable::default();
    assert!(table.insert(Millis(0), entry(1, 1_000)));
    assert!(!table.insert(Millis(500), entry(1, 1_000)));
    assert_eq!(table.entries(Millis(900), 10), [entry(1, 100)]);
    assert!(table.entries(Millis(1_000), 10).is_empty());
}

#[rstest]
#[case::ended(0)]
#[case::too_long(QUARANTINE_MAX_MS + 1)]
fn remaining_time_out_of_range_is_rejected(#[case] remaining_ms: u32) {
    assert!(!QuarantineTable::default().insert(Millis(0), entry(1, remaining_ms)));
}

#[test]
fn table_size_is_bounded() {
    let mut table = QuarantineTable::default();
    let inserted = (0..10_000).filter(|ix| table.insert(Millis(0), entry(*ix, 1_000)));
    assert_eq!(inserted.count(), QUARANTINES_MAX);
    assert_eq!(table.entries(Millis(0), 32).len(), 32);
}
