//! The evacuations of availability zones in the server list, merged from several nodes.

use oriolering::{Millis, ServerList, StorePosition, ZoneUpdate};

const NOW: Millis = Millis(0);

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

fn update(zone: &str, position: StorePosition, evacuated: bool) -> ZoneUpdate {
    ZoneUpdate {
        zone: zone.into(),
        position,
        evacuated,
    }
}

/// Guards against a late update that starts an ended evacuation again.
#[test]
fn the_later_update_wins_in_any_order() {
    let mut list = ServerList::default();
    assert!(list.apply_zone(update("a", at(1, 9), false)) || !list.is_evacuated("a"));
    assert!(!list.apply_zone(update("a", at(1, 5), true)));
    assert!(!list.is_evacuated("a"));
    assert!(list.apply_zone(update("a", at(1, 12), true)));
    assert!(list.is_evacuated("a"));
    assert!(!list.is_evacuated("b"));
}

/// Guards against an evacuation whose end was missed: a complete read no longer lists it.
#[test]
fn a_complete_read_ends_what_it_does_not_list_unless_that_is_newer() {
    let mut list = ServerList::default();
    list.apply_zone(update("old", at(1, 3), true));
    list.apply_zone(update("new", at(1, 20), true));
    list.replace_zones(&[update("listed", at(1, 4), true)], at(1, 10));
    assert!(!list.is_evacuated("old"));
    assert!(list.is_evacuated("new"));
    assert!(list.is_evacuated("listed"));
}

/// Guards against a node whose peers tell it of changes of the list, but not of evacuations.
#[test]
fn a_peer_gets_the_evacuations_that_it_lacks() {
    let mut known = ServerList::default();
    known.apply_zone(update("a", at(1, 3), true));
    known.apply_zone(update("b", at(1, 6), true));
    known.apply_zone(update("b", at(1, 7), false));
    known.advance(at(1, 8));
    let mut peer = ServerList::default();
    peer.apply_zone(update("b", at(1, 6), true));
    peer.advance(at(1, 6));
    let changes = peer.changes();
    peer.merge(NOW, known.updates_since(NOW, peer.position()));
    assert!(!peer.is_evacuated("b"));
    assert!(peer.changes() > changes);
    let mut new = ServerList::default();
    new.merge(NOW, known.updates_since(NOW, new.position()));
    assert!(new.is_evacuated("a"));
    assert!(!new.is_evacuated("b"));
}

/// Guards against an evacuation that outlives the copy from which the store came back, and against a
/// node that still has the history before.
#[test]
fn after_a_return_from_a_copy_what_the_store_holds_counts() {
    let mut list = ServerList::default();
    list.apply_zone(update("lost", at(1, 30), true));
    list.advance(at(1, 31));
    let kept = update("kept", at(2, 4), true);
    list.replace(NOW, Vec::new(), at(2, 10), false);
    list.replace_zones(std::slice::from_ref(&kept), at(2, 10));
    assert!(!list.is_evacuated("lost"));
    assert!(list.is_evacuated("kept"));
    list.apply_zone(update("lost", at(1, 35), true));
    assert!(!list.is_evacuated("lost"));
}
