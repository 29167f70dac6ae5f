//! Members: the platform's list against what peers say.

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

fn roster() -> MemberList {
    let mut roster = MemberList::new(&member(0));
    roster.replace(&(0..8).map(member).collect::<Vec<_>>());
    roster
}

fn note(ix: u16, run: u64, leaving: bool, age_ms: u32) -> MemberUpdate {
    MemberUpdate {
        id: format!("node-{ix}").into(),
        incarnation: Incarnation(run),
        leaving,
        age_ms,
    }
}

fn leaving(roster: &MemberList, ix: u16) -> bool {
    roster.get(&format!("node-{ix}")).unwrap().leaving
}

fn listed(ix: u16, leaving: bool) -> Vec<Member> {
    let mut members: Vec<_> = (0..8).map(member).collect();
    members[usize::from(ix)].leaving = leaving;
    members
}

#[test]
fn leaving_sticks_to_the_run() {
    let mut roster = roster();
    roster.apply(Millis(1_000), &note(1, 7, false, 0));
    assert!(roster.apply(Millis(1_100), &note(1, 7, true, 0)));
    assert!(!roster.apply(Millis(1_200), &note(1, 7, false, 0)));
    roster.replace(&listed(1, false));
    assert!(leaving(&roster, 1));
}

#[test]
fn a_new_run_at_the_same_address_is_live() {
    let mut roster = roster();
    roster.apply(Millis(1_000), &note(1, 7, true, 0));
    assert!(roster.apply(Millis(2_000), &note(1, 8, false, 0)));
    assert!(!leaving(&roster, 1));
}

#[test]
fn an_old_note_of_the_departed_run_does_not_bring_it_back() {
    let mut roster = roster();
    roster.apply(Millis(1_000), &note(1, 7, true, 0));
    roster.apply(Millis(2_000), &note(1, 8, false, 0));
    assert!(!roster.apply(Millis(3_000), &note(1, 7, true, 2_500)));
    assert!(!leaving(&roster, 1));
}

#[test]
fn a_list_that_lags_is_not_held_against_the_new_run() {
    let mut roster = roster();
    roster.apply(Millis(1_000), &note(1, 7, true, 0));
    roster.apply(Millis(2_000), &note(1, 8, false, 0));
    roster.replace(&listed(1, true));
    assert!(!leaving(&roster, 1));
    roster.replace(&listed(1, false));
    roster.replace(&listed(1, true));
    assert!(leaving(&roster, 1));
}

#[test]
fn a_list_alone_can_say_leaving() {
    let mut roster = roster();
    roster.replace(&listed(2, true));
    assert!(leaving(&roster, 2));
    roster.replace(&listed(2, false));
    assert!(!leaving(&roster, 2));
}

#[rstest]
#[case::unknown("node-99", 0)]
#[case::too_old("node-1", UPDATE_AGE_MAX_MS + 1)]
fn a_note_out_of_bounds_is_ignored(#[case] id: &str, #[case] age_ms: u32) {
    let mut roster = roster();
    let note = MemberUpdate {
        id: id.into(),
        ..note(1, 7, true, age_ms)
    };
    assert!(!roster.apply(Millis(1_000), &note));
    assert!(!leaving(&roster, 1));
}

#[test]
fn only_the_listed_address_is_admitted() {
    let roster = roster();
    let own = IpAddr::from(Ipv4Addr::new(10, 0, 0, 3));
    let other = IpAddr::from(Ipv4Addr::new(10, 0, 0, 4));
    assert!(roster.verify_peer("node-3", own).is_some());
    assert!(roster.verify_peer("node-3", other).is_none());
    assert!(roster.verify_peer("node-9", own).is_none());
}

#[test]
fn notes_carry_every_departure_first() {
    let mut roster = roster();
    for ix in 0..8 {
        roster.apply(Millis(1_000), &note(ix, 7, ix == 5, 0));
    }
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20 {
        let notes = roster.updates(Millis(1_500), 4, &mut rng);
        assert!(notes.len() <= 4);
        assert_eq!(notes[0], note(5, 7, true, 500));
    }
}

#[test]
fn a_node_is_never_its_own_peer() {
    let roster = roster();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        let peers = roster.random_peers(4, &mut rng);
        assert!(!peers.contains(&member(0).control));
        assert!(!peers.is_empty() && peers.len() <= 4);
    }
}
