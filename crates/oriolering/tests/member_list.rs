//! Member list: merging the platform's list with updates from peers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use oriolering::{Incarnation, Member, MemberList, MemberUpdate, Millis, UPDATE_AGE_MAX_MS};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

fn member(ix: u16) -> Member {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, ix as u8), 7000));
    Member {
        id: format!("node-{ix}").into(),
        service: "caja".into(),
        zone: format!("zone-{}", ix % 4).into(),
        region: "ancash".into(),
        ingress: address,
        gate: address,
        control: address,
        leaving: false,
        incarnation: None,
    }
}

fn member_list() -> MemberList {
    let mut list = MemberList::new(&member(0));
    list.replace(&(0..8).map(member).collect::<Vec<_>>());
    list
}

fn update(ix: u16, incarnation: u64, leaving: bool, age_ms: u32) -> MemberUpdate {
    MemberUpdate {
        id: format!("node-{ix}").into(),
        incarnation: Incarnation(incarnation),
        leaving,
        age_ms,
    }
}

fn is_leaving(list: &MemberList, ix: u16) -> bool {
    list.get(&format!("node-{ix}")).unwrap().leaving
}

fn listed_members(ix: u16, leaving: bool) -> Vec<Member> {
    let mut members: Vec<_> = (0..8).map(member).collect();
    members[usize::from(ix)].leaving = leaving;
    members
}

#[test]
fn a_departed_incarnation_stays_departed() {
    let mut list = member_list();
    list.apply(Millis(1_000), &update(1, 7, false, 0));
    assert!(list.apply(Millis(1_100), &update(1, 7, true, 0)));
    assert!(!list.apply(Millis(1_200), &update(1, 7, false, 0)));
    list.replace(&listed_members(1, false));
    assert!(is_leaving(&list, 1));
}

#[test]
fn a_new_incarnation_at_the_same_address_is_not_leaving() {
    let mut list = member_list();
    list.apply(Millis(1_000), &update(1, 7, true, 0));
    assert!(list.apply(Millis(2_000), &update(1, 8, false, 0)));
    assert!(!is_leaving(&list, 1));
}

#[test]
fn an_old_update_does_not_restore_the_departed_incarnation() {
    let mut list = member_list();
    list.apply(Millis(1_000), &update(1, 7, true, 0));
    list.apply(Millis(2_000), &update(1, 8, false, 0));
    assert!(!list.apply(Millis(3_000), &update(1, 7, true, 2_500)));
    assert!(!is_leaving(&list, 1));
}

#[test]
fn a_stale_listing_does_not_make_the_new_incarnation_leaving() {
    let mut list = member_list();
    list.apply(Millis(1_000), &update(1, 7, true, 0));
    list.apply(Millis(2_000), &update(1, 8, false, 0));
    list.replace(&listed_members(1, true));
    assert!(!is_leaving(&list, 1));
    list.replace(&listed_members(1, false));
    list.replace(&listed_members(1, true));
    assert!(is_leaving(&list, 1));
}

#[test]
fn the_platform_list_alone_can_mark_a_member_as_leaving() {
    let mut list = member_list();
    list.replace(&listed_members(2, true));
    assert!(is_leaving(&list, 2));
    list.replace(&listed_members(2, false));
    assert!(!is_leaving(&list, 2));
}

#[rstest]
#[case::unknown("node-99", 0)]
#[case::too_old("node-1", UPDATE_AGE_MAX_MS + 1)]
fn an_update_out_of_bounds_is_ignored(#[case] id: &str, #[case] age_ms: u32) {
    let mut list = member_list();
    let update = MemberUpdate {
        id: id.into(),
        ..update(1, 7, true, age_ms)
    };
    assert!(!list.apply(Millis(1_000), &update));
    assert!(!is_leaving(&list, 1));
}

#[test]
fn a_peer_is_verified_only_at_its_listed_address() {
    let list = member_list();
    let own = IpAddr::from(Ipv4Addr::new(10, 0, 0, 3));
    let other = IpAddr::from(Ipv4Addr::new(10, 0, 0, 4));
    assert!(list.verify_peer("node-3", own).is_some());
    assert!(list.verify_peer("node-3", other).is_none());
    assert!(list.verify_peer("node-9", own).is_none());
}

#[test]
fn updates_list_departures_first() {
    let mut list = member_list();
    for ix in 0..8 {
        list.apply(Millis(1_000), &update(ix, 7, ix == 5, 0));
    }
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20 {
        let updates = list.updates(Millis(1_500), 4, &mut rng);
        assert!(updates.len() <= 4);
        assert_eq!(updates[0], update(5, 7, true, 500));
    }
}

#[test]
fn a_node_is_never_its_own_peer() {
    let list = member_list();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        let peers = list.random_peers(4, &mut rng);
        assert!(!peers.contains(&member(0).control));
        assert!(!peers.is_empty() && peers.len() <= 4);
    }
}
