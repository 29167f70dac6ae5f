//! The list of backend servers is the same for all, whatever the order of the news.

use std::collections::BTreeMap;

use oriolering::{Millis, ServerList, ServerRecord, ServerState, ServerUpdate};
use proptest::prelude::*;
use rstest::rstest;

/// How long an entry that may only have lapsed is kept, in milliseconds.
const LAPSE_MS: u64 = 2_000;
/// How long a removal is remembered, in milliseconds.
const REMOVAL_MS: u64 = 60_000;
const NOW: Millis = Millis(1_000);

fn record(id: &str, sequence: u64) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        slots: 4,
        state: ServerState::Ready,
        cold_ms: 0,
        sequence,
        born: None,
    }
}

fn put(id: &str, revision: u64) -> ServerUpdate {
    ServerUpdate {
        id: id.into(),
        revision,
        record: Some(record(id, revision)),
        lapsed: false,
    }
}

fn removal(id: &str, revision: u64, lapsed: bool) -> ServerUpdate {
    ServerUpdate {
        id: id.into(),
        revision,
        record: None,
        lapsed,
    }
}

/// Returns each listed backend server with the number of its report.
fn listed(list: &ServerList) -> BTreeMap<String, u64> {
    let servers = list.servers();
    servers.map(|r| (r.id.to_string(), r.sequence)).collect()
}

fn of(notes: &[ServerUpdate]) -> ServerList {
    let mut list = ServerList::default();
    for note in notes {
        list.apply(NOW, note.clone());
    }
    list
}

#[test]
fn a_newer_note_replaces_an_older_one_and_not_the_other_way_round() {
    let mut list = of(&[put("a", 5)]);
    assert!(!list.apply(NOW, put("a", 4)));
    assert!(!list.apply(NOW, put("a", 5)));
    assert!(!list.apply(NOW, removal("a", 3, false)));
    assert_eq!(listed(&list)["a"], 5);
    assert!(list.apply(NOW, put("a", 6)));
    assert_eq!(listed(&list)["a"], 6);
    assert_eq!(list.changes(), 2);
}

#[test]
fn a_removed_entry_is_gone_at_once() {
    let list = of(&[put("a", 1), put("b", 2), removal("a", 3, false)]);
    assert_eq!(listed(&list).into_keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn an_old_note_does_not_bring_a_removed_entry_back() {
    let mut list = of(&[put("a", 1), removal("a", 3, false)]);
    assert!(!list.apply(NOW, put("a", 2)));
    assert!(listed(&list).is_empty());
}

#[test]
fn an_entry_that_may_have_lapsed_is_kept_for_its_time() {
    let mut list = of(&[put("a", 1), removal("a", 2, true)]);
    assert!(!list.expire(NOW + (LAPSE_MS - 1)));
    assert_eq!(listed(&list)["a"], 1);
    assert!(list.expire(NOW + LAPSE_MS));
    assert!(listed(&list).is_empty());
    assert!(!list.expire(NOW + LAPSE_MS));
}

#[test]
fn an_entry_that_is_back_after_a_lapse_stays() {
    let mut list = of(&[put("a", 1), removal("a", 2, true)]);
    list.apply(NOW + 1_000, put("a", 3));
    list.expire(NOW + 10 * LAPSE_MS);
    assert_eq!(listed(&list)["a"], 3);
}

#[test]
fn a_lapse_that_is_confirmed_as_removal_ends_at_once() {
    let mut list = of(&[put("a", 1), removal("a", 2, true)]);
    assert!(list.apply(NOW, removal("a", 2, false)));
    assert!(listed(&list).is_empty());
    assert!(!list.apply(NOW, removal("a", 2, true)));
    assert!(listed(&list).is_empty());
}

#[test]
fn the_lapse_of_an_unknown_entry_lists_nothing() {
    assert!(listed(&of(&[removal("a", 2, true)])).is_empty());
}

#[test]
fn a_complete_reading_removes_what_it_lacks() {
    let mut list = of(&[put("a", 1), put("b", 2), put("late", 9)]);
    list.replace(NOW, vec![put("b", 2), put("c", 3)], 5, false);
    // What changed after the reading is not its business.
    assert_eq!(
        listed(&list).into_keys().collect::<Vec<_>>(),
        ["b", "c", "late"]
    );
    assert_eq!(list.revision(), 5);
}

#[test]
fn a_complete_reading_after_an_outage_keeps_what_it_lacks_for_its_time() {
    let mut list = of(&[put("a", 1), put("b", 2)]);
    list.replace(NOW, vec![put("b", 2)], 5, true);
    assert_eq!(listed(&list).into_keys().collect::<Vec<_>>(), ["a", "b"]);
    list.expire(NOW + LAPSE_MS);
    assert_eq!(listed(&list).into_keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn a_second_reading_does_not_lengthen_a_lapse() {
    let mut list = of(&[put("a", 1)]);
    list.replace(NOW, Vec::new(), 5, true);
    list.replace(NOW + 2_000, Vec::new(), 6, true);
    list.expire(NOW + LAPSE_MS);
    assert!(listed(&list).is_empty());
}

#[test]
fn an_entry_that_names_no_backend_server_replaces_the_one_that_did() {
    let list = of(&[put("a", 1), removal("a", 2, false)]);
    assert!(listed(&list).is_empty());
    let note = &list.updates_since(1)[0];
    assert_eq!((note.revision, note.record.is_none()), (2, true));
}

#[rstest]
#[case::nothing_known(0, &["a", "b", "c"])]
#[case::some_known(2, &["b", "c"])]
#[case::all_known(4, &[])]
fn what_changed_since_a_revision_is_told(#[case] revision: u64, #[case] expected: &[&str]) {
    let list = of(&[put("a", 1), put("b", 3), removal("c", 4, false)]);
    let mut ids: Vec<_> = list
        .updates_since(revision)
        .into_iter()
        .map(|n| n.id)
        .collect();
    ids.sort();
    assert_eq!(ids, expected);
}

#[test]
fn a_removal_is_told_until_it_is_forgotten() {
    let mut list = of(&[put("a", 1), removal("a", 2, false)]);
    list.expire(NOW + (REMOVAL_MS - 1));
    assert_eq!(list.updates_since(0).len(), 1);
    list.expire(NOW + REMOVAL_MS);
    assert!(list.updates_since(0).is_empty());
}

#[test]
fn the_revision_never_goes_back() {
    let mut list = ServerList::default();
    list.advance(7);
    list.advance(3);
    assert_eq!(list.revision(), 7);
}

/// The changes of a store with one revision for each, and what readers may say of them.
fn history() -> impl Strategy<Value = Vec<ServerUpdate>> {
    let change = (0..3_u8, 0..4_u8);
    prop::collection::vec(change, 1..20).prop_map(|changes| {
        let note = |(i, (id, kind)): (usize, (u8, u8))| {
            let (id, revision) = (format!("s{id}"), i as u64 + 1);
            match kind {
                0 => removal(&id, revision, false),
                1 => removal(&id, revision, true),
                _ => put(&id, revision),
            }
        };
        changes.into_iter().enumerate().map(note).collect()
    })
}

proptest! {
    #[test]
    fn any_order_of_notes_gives_the_same_list(
        (notes, shuffled) in history().prop_flat_map(|n| (Just(n.clone()), Just(n).prop_shuffle())),
    ) {
        let (mut one, mut other) = (of(&notes), of(&shuffled));
        // An entry that may have lapsed is only kept by who knew it before.
        one.expire(NOW + LAPSE_MS);
        other.expire(NOW + LAPSE_MS);
        prop_assert_eq!(listed(&one), listed(&other));
    }

    #[test]
    fn before_the_end_of_lapses_only_lapsing_entries_differ(
        (notes, shuffled) in history().prop_flat_map(|n| (Just(n.clone()), Just(n).prop_shuffle())),
    ) {
        let (one, other) = (listed(&of(&notes)), listed(&of(&shuffled)));
        let mut last = BTreeMap::new();
        for note in &notes {
            last.insert(note.id.to_string(), note.record.is_some() || !note.lapsed);
        }
        for (id, settled) in last {
            if settled {
                prop_assert_eq!(one.get(&id), other.get(&id));
            }
        }
    }

    #[test]
    fn a_list_that_is_told_to_another_is_the_same_there(
        notes in history(),
        known in 0..20_usize,
    ) {
        let mut one = of(&notes);
        let mut other = of(&notes[..known.min(notes.len())]);
        for note in one.updates_since(0) {
            other.apply(NOW, note);
        }
        one.expire(NOW + LAPSE_MS);
        other.expire(NOW + LAPSE_MS);
        prop_assert_eq!(listed(&one), listed(&other));
    }

    #[test]
    fn a_reading_of_the_store_gives_what_its_history_gives(notes in history(), read in 0..20_usize) {
        let read = read.min(notes.len());
        let mut present = BTreeMap::new();
        for note in &notes {
            match note.record {
                Some(_) => present.insert(note.id.clone(), note.clone()),
                None => present.remove(&note.id),
            };
        }
        let mut list = of(&notes[..read]);
        let revision = notes.len() as u64;
        list.replace(NOW, present.into_values().collect(), revision, false);
        // Late news of the past change nothing.
        for note in &notes {
            list.apply(NOW, note.clone());
        }
        let mut whole = of(&notes);
        whole.expire(NOW + LAPSE_MS);
        list.expire(NOW + LAPSE_MS);
        prop_assert_eq!(listed(&list), listed(&whole));
    }
}

fn start(id: &str, revision: u64, address: &str, born: Option<u64>) -> ServerUpdate {
    let mut note = put(id, revision);
    if let Some(record) = &mut note.record {
        record.address = address.parse().expect("an address");
        record.born = born;
    }
    note
}

#[rstest]
#[case::by_start(Some(500), Some(900), 8, 7)]
#[case::by_revision_where_none_is_published(None, None, 7, 8)]
#[case::by_revision_where_starts_are_equal(Some(500), Some(500), 7, 8)]
fn of_two_at_an_address_the_one_that_started_last_is_current(
    #[case] before: Option<u64>,
    #[case] after: Option<u64>,
    #[case] first: u64,
    #[case] second: u64,
    #[values(false, true)] turned: bool,
) {
    let mut notes = [
        start("old", first, "10.0.0.1:80", before),
        start("new", second, "10.0.0.1:80", after),
        start("other", 5, "10.0.0.2:80", Some(1)),
    ];
    if turned {
        notes.reverse();
    }
    let list = of(&notes);
    let mut current: Vec<&str> = list.current().map(|r| r.id.as_str()).collect();
    current.sort_unstable();
    assert_eq!(current, ["new", "other"]);
    assert_eq!(list.servers().count(), 3);
}

#[test]
fn a_former_backend_server_at_an_address_is_current_again_once_the_other_is_removed() {
    let mut list = of(&[
        start("old", 3, "10.0.0.1:80", Some(1)),
        start("new", 4, "10.0.0.1:80", Some(2)),
    ]);
    list.apply(NOW, removal("new", 5, false));
    let current: Vec<&str> = list.current().map(|r| r.id.as_str()).collect();
    assert_eq!(current, ["old"]);
}
