//! The list of backend servers does not depend on the order in which updates arrive.

use std::collections::BTreeMap;

use oriolering::{Millis, ServerList, ServerRecord, ServerState, ServerUpdate, StorePosition};
use proptest::prelude::*;
use rstest::rstest;

/// How long an entry that was removed around an outage is kept, in milliseconds.
const LAPSE_MS: u64 = 2_000;
/// How long a tombstone is kept, in milliseconds.
const TOMBSTONE_MS: u64 = 60_000;
const NOW: Millis = Millis(1_000);

/// The era of all updates here; crates/oriolering/tests/store_return.rs has those of several.
const ERA: u64 = 3;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(ERA, revision)
}

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
        position: at(revision),
        record: Some(record(id, revision)),
        lapsed: false,
        kept: None,
    }
}

fn removal(id: &str, revision: u64, lapsed: bool) -> ServerUpdate {
    ServerUpdate {
        id: id.into(),
        position: at(revision),
        record: None,
        lapsed,
        kept: None,
    }
}

/// Returns the id and the report's sequence number of each listed backend server.
fn listed(list: &ServerList) -> BTreeMap<String, u64> {
    let servers = list.servers();
    servers.map(|r| (r.id.to_string(), r.sequence)).collect()
}

fn list_of(updates: &[ServerUpdate]) -> ServerList {
    let mut list = ServerList::default();
    for update in updates {
        list.apply(NOW, update.clone());
    }
    list
}

#[test]
fn an_update_only_replaces_an_older_one() {
    let mut list = list_of(&[put("a", 5)]);
    assert!(!list.apply(NOW, put("a", 4)));
    assert!(!list.apply(NOW, put("a", 5)));
    assert!(!list.apply(NOW, removal("a", 3, false)));
    assert_eq!(listed(&list)["a"], 5);
    assert!(list.apply(NOW, put("a", 6)));
    assert_eq!(listed(&list)["a"], 6);
    assert_eq!(list.changes(), 2);
}

#[test]
fn a_removed_entry_disappears_at_once() {
    let list = list_of(&[put("a", 1), put("b", 2), removal("a", 3, false)]);
    assert_eq!(listed(&list).into_keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn an_old_update_does_not_restore_a_removed_entry() {
    let mut list = list_of(&[put("a", 1), removal("a", 3, false)]);
    assert!(!list.apply(NOW, put("a", 2)));
    assert!(listed(&list).is_empty());
}

#[test]
fn an_entry_that_may_have_lapsed_is_kept_for_a_while() {
    let mut list = list_of(&[put("a", 1), removal("a", 2, true)]);
    assert!(!list.expire(NOW + (LAPSE_MS - 1)));
    assert_eq!(listed(&list)["a"], 1);
    assert!(list.expire(NOW + LAPSE_MS));
    assert!(listed(&list).is_empty());
    assert!(!list.expire(NOW + LAPSE_MS));
}

#[test]
fn an_entry_that_is_listed_again_after_a_lapse_stays() {
    let mut list = list_of(&[put("a", 1), removal("a", 2, true)]);
    list.apply(NOW + 1_000, put("a", 3));
    list.expire(NOW + 10 * LAPSE_MS);
    assert_eq!(listed(&list)["a"], 3);
}

#[test]
fn a_confirmed_removal_ends_a_lapse_at_once() {
    let mut list = list_of(&[put("a", 1), removal("a", 2, true)]);
    assert!(list.apply(NOW, removal("a", 2, false)));
    assert!(listed(&list).is_empty());
    assert!(!list.apply(NOW, removal("a", 2, true)));
    assert!(listed(&list).is_empty());
}

#[test]
fn the_lapse_of_an_unknown_entry_lists_nothing() {
    assert!(listed(&list_of(&[removal("a", 2, true)])).is_empty());
}

#[test]
fn a_complete_read_removes_missing_entries() {
    let mut list = list_of(&[put("a", 1), put("b", 2), put("late", 9)]);
    list.replace(NOW, vec![put("b", 2), put("c", 3)], at(5), false);
    // Entries that changed after the read are kept.
    assert_eq!(
        listed(&list).into_keys().collect::<Vec<_>>(),
        ["b", "c", "late"]
    );
    assert_eq!(list.position(), at(5));
}

#[test]
fn a_complete_read_after_an_outage_keeps_missing_entries_for_a_while() {
    let mut list = list_of(&[put("a", 1), put("b", 2)]);
    list.replace(NOW, vec![put("b", 2)], at(5), true);
    assert_eq!(listed(&list).into_keys().collect::<Vec<_>>(), ["a", "b"]);
    list.expire(NOW + LAPSE_MS);
    assert_eq!(listed(&list).into_keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn a_second_read_does_not_extend_a_lapse() {
    let mut list = list_of(&[put("a", 1)]);
    list.replace(NOW, Vec::new(), at(5), true);
    list.replace(NOW + 2_000, Vec::new(), at(6), true);
    list.expire(NOW + LAPSE_MS);
    assert!(listed(&list).is_empty());
}

#[test]
fn an_entry_without_a_record_replaces_the_earlier_one() {
    let list = list_of(&[put("a", 1), removal("a", 2, false)]);
    assert!(listed(&list).is_empty());
    let update = &list.updates_since(NOW, at(1)).updates[0];
    assert_eq!((update.position, update.record.is_none()), (at(2), true));
}

#[rstest]
#[case::nothing_known(0, &["a", "b", "c"])]
#[case::some_known(2, &["b", "c"])]
#[case::all_known(4, &[])]
fn the_updates_since_a_revision_are_returned(#[case] revision: u64, #[case] expected: &[&str]) {
    let list = list_of(&[put("a", 1), put("b", 3), removal("c", 4, false)]);
    let mut ids: Vec<_> = list
        .updates_since(NOW, at(revision))
        .updates
        .into_iter()
        .map(|u| u.id)
        .collect();
    ids.sort();
    assert_eq!(ids, expected);
}

#[test]
fn a_tombstone_is_returned_until_it_is_discarded() {
    let mut list = list_of(&[put("a", 1), removal("a", 2, false)]);
    list.expire(NOW + (TOMBSTONE_MS - 1));
    assert_eq!(list.updates_since(NOW, at(0)).updates.len(), 1);
    list.expire(NOW + TOMBSTONE_MS);
    assert!(list.updates_since(NOW, at(0)).updates.is_empty());
}

#[test]
fn the_revision_never_decreases() {
    let mut list = ServerList::default();
    list.advance(at(7));
    list.advance(at(3));
    assert_eq!(list.position(), at(7));
}

/// Returns a strategy for the history of a store, one revision per change, with removals that
/// readers may report as lapses.
fn history() -> impl Strategy<Value = Vec<ServerUpdate>> {
    let change = (0..3_u8, 0..4_u8);
    prop::collection::vec(change, 1..20).prop_map(|changes| {
        let update = |(i, (id, kind)): (usize, (u8, u8))| {
            let (id, revision) = (format!("s{id}"), i as u64 + 1);
            match kind {
                0 => removal(&id, revision, false),
                1 => removal(&id, revision, true),
                _ => put(&id, revision),
            }
        };
        changes.into_iter().enumerate().map(update).collect()
    })
}

proptest! {
    #[test]
    fn any_order_of_updates_gives_the_same_list(
        (updates, shuffled) in history().prop_flat_map(|u| (Just(u.clone()), Just(u).prop_shuffle())),
    ) {
        let (mut one, mut other) = (list_of(&updates), list_of(&shuffled));
        // A lapsed entry is only kept by a list that contained it before.
        one.expire(NOW + LAPSE_MS);
        other.expire(NOW + LAPSE_MS);
        prop_assert_eq!(listed(&one), listed(&other));
    }

    #[test]
    fn until_lapses_end_only_lapsed_entries_differ(
        (updates, shuffled) in history().prop_flat_map(|u| (Just(u.clone()), Just(u).prop_shuffle())),
    ) {
        let (one, other) = (listed(&list_of(&updates)), listed(&list_of(&shuffled)));
        let mut last = BTreeMap::new();
        for update in &updates {
            last.insert(update.id.to_string(), update.record.is_some() || !update.lapsed);
        }
        for (id, settled) in last {
            if settled {
                prop_assert_eq!(one.get(&id), other.get(&id));
            }
        }
    }

    #[test]
    fn all_updates_of_a_list_reproduce_it(
        updates in history(),
        known in 0..20_usize,
    ) {
        let mut one = list_of(&updates);
        let mut other = list_of(&updates[..known.min(updates.len())]);
        other.merge(NOW, one.updates_since(NOW, at(0)));
        one.expire(NOW + LAPSE_MS);
        other.expire(NOW + LAPSE_MS);
        prop_assert_eq!(listed(&one), listed(&other));
    }

    #[test]
    fn a_complete_read_gives_the_same_list_as_the_history(updates in history(), read in 0..20_usize) {
        let read = read.min(updates.len());
        let mut present = BTreeMap::new();
        for update in &updates {
            match update.record {
                Some(_) => present.insert(update.id.clone(), update.clone()),
                None => present.remove(&update.id),
            };
        }
        let mut list = list_of(&updates[..read]);
        let revision = updates.len() as u64;
        list.replace(NOW, present.into_values().collect(), at(revision), false);
        // Late updates from before the read change nothing.
        for update in &updates {
            list.apply(NOW, update.clone());
        }
        let mut whole = list_of(&updates);
        whole.expire(NOW + LAPSE_MS);
        list.expire(NOW + LAPSE_MS);
        prop_assert_eq!(listed(&list), listed(&whole));
    }
}

fn start(id: &str, revision: u64, address: &str, born: Option<u64>) -> ServerUpdate {
    let mut update = put(id, revision);
    if let Some(record) = &mut update.record {
        record.address = address.parse().expect("an address");
        record.born = born;
    }
    update
}

#[rstest]
#[case::by_start(Some(500), Some(900), 8, 7)]
#[case::by_revision_where_none_is_published(None, None, 7, 8)]
#[case::by_revision_where_starts_are_equal(Some(500), Some(500), 7, 8)]
fn of_two_at_the_same_address_the_last_started_is_current(
    #[case] before: Option<u64>,
    #[case] after: Option<u64>,
    #[case] first: u64,
    #[case] second: u64,
    #[values(false, true)] reversed: bool,
) {
    let mut updates = [
        start("old", first, "10.0.0.1:80", before),
        start("new", second, "10.0.0.1:80", after),
        start("other", 5, "10.0.0.2:80", Some(1)),
    ];
    if reversed {
        updates.reverse();
    }
    let list = list_of(&updates);
    let mut current: Vec<&str> = list.current().map(|r| r.id.as_str()).collect();
    current.sort_unstable();
    assert_eq!(current, ["new", "other"]);
    assert_eq!(list.servers().count(), 3);
}

#[test]
fn the_earlier_one_at_an_address_is_current_again_after_the_later_is_removed() {
    let mut list = list_of(&[
        start("old", 3, "10.0.0.1:80", Some(1)),
        start("new", 4, "10.0.0.1:80", Some(2)),
    ]);
    list.apply(NOW, removal("new", 5, false));
    let current: Vec<&str> = list.current().map(|r| r.id.as_str()).collect();
    assert_eq!(current, ["old"]);
}

/// A list that was read as a whole does not know what was removed before, so it sends all entries
/// to a list that may still have it.
#[rstest]
#[case::from_before_the_read(4, true, &["b"])]
#[case::from_after_the_read(5, false, &["b"])]
fn a_removal_that_a_list_does_not_know_reaches_an_older_list(
    #[case] known: u64,
    #[case] whole: bool,
    #[case] expected: &[&str],
) {
    let mut read = ServerList::default();
    read.replace(NOW, vec![put("b", 2)], at(5), false);
    read.advance(at(6));
    let mut older = list_of(&[put("a", 1), put("b", 2)]);
    older.advance(at(known));
    if !whole {
        older.apply(NOW, removal("a", 5, false));
    }
    let update = read.updates_since(NOW, older.position());
    assert_eq!(update.whole, whole);
    older.merge(NOW, update);
    assert_eq!(listed(&older).into_keys().collect::<Vec<_>>(), expected);
    assert_eq!(older.position(), at(6));
}
