//! Quarantines that spread from peer to peer.

use oriolering::{
    Crash, Incarnation, Millis, QUARANTINE_MAX_MS, QUARANTINES_MAX, QuarantineEntry,
    QuarantineTable, Verdict,
};
use rstest::rstest;

fn entry(fingerprint: u64, left_ms: u32) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint,
        crash: Crash {
            gate: Incarnation(1),
            number: 1,
        },
        verdict: Verdict::Quarantined,
        remaining: left_ms,
    }
}

#[test]
fn passing_an_entry_round_does_not_extend_it() {
    let mut spread = QuarantineTable::default();
    assert!(spread.insert(Millis(0), entry(1, 1_000)));
    assert!(!spread.insert(Millis(500), entry(1, 1_000)));
    assert_eq!(spread.entries(Millis(900), 10), [entry(1, 100)]);
    assert!(spread.entries(Millis(1_000), 10).is_empty());
}

#[rstest]
#[case::ended(0)]
#[case::too_long(QUARANTINE_MAX_MS + 1)]
fn a_time_out_of_bounds_is_refused(#[case] left_ms: u32) {
    assert!(!QuarantineTable::default().insert(Millis(0), entry(1, left_ms)));
}

#[test]
fn the_table_is_bounded() {
    let mut spread = QuarantineTable::default();
    let taken = (0..10_000).filter(|ix| spread.insert(Millis(0), entry(*ix, 1_000)));
    assert_eq!(taken.count(), QUARANTINES_MAX);
    assert_eq!(spread.entries(Millis(0), 32).len(), 32);
}
