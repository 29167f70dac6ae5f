//! The backend servers that one ingress uses.

use oriolering::{Candidate, ChoiceSettings, Chooser, Millis, Policy, ServerKey, ZoneKey};
use rstest::rstest;

fn candidates(count: u32) -> Vec<Candidate> {
    let candidate = |i| Candidate {
        server: ServerKey(i),
        id_hash: u64::from(i) * 7919 + 13,
        zone: ZoneKey(i % 4),
        leaving: false,
        new_incarnation: false,
    };
    (0..count).map(candidate).collect()
}

fn subset(node: u64, size: u32, candidates: &[Candidate]) -> Vec<ServerKey> {
    let mut chooser = Chooser::new(ChoiceSettings {
        policy: Policy::Adaptive,
        subset_size: size,
        ramp_ms: 0,
        zone: ZoneKey((node % 4) as u32),
        node_hash: node,
    });
    chooser.update(Millis(0), candidates);
    let explained = chooser.explain(Millis(0)).into_iter();
    let mut used: Vec<ServerKey> = explained.filter(|e| e.subset).map(|e| e.server).collect();
    used.sort_unstable();
    used
}

#[rstest]
#[case::all(0, 20, 20)]
#[case::fewer_than_size(30, 20, 20)]
#[case::some(8, 20, 8)]
#[case::one(1, 20, 1)]
fn has_its_size(#[case] size: u32, #[case] count: u32, #[case] expected: usize) {
    assert_eq!(subset(3, size, &candidates(count)).len(), expected);
}

#[test]
fn does_not_depend_on_the_order_of_the_list() {
    let mut list = candidates(22);
    let before = subset(5, 6, &list);
    list.reverse();
    assert_eq!(subset(5, 6, &list), before);
}

#[test]
fn takes_half_from_the_own_zone() {
    let list = candidates(40);
    let own = subset(2, 8, &list).iter().filter(|s| s.0 % 4 == 2).count();
    assert_eq!(own, 4);
}

#[test]
fn fills_up_from_other_zones() {
    let mut list = candidates(40);
    list.retain(|c| c.zone != ZoneKey(2) || c.server.0 == 2);
    assert_eq!(subset(2, 8, &list).len(), 8);
}

#[test]
fn leaving_server_is_replaced_by_one_other() {
    let mut list = candidates(40);
    for node in 0..100 {
        let before = subset(node, 8, &list);
        let gone = before[0];
        list[gone.0 as usize].leaving = true;
        let after = subset(node, 8, &list);
        let kept = before.iter().filter(|s| after.contains(s)).count();
        assert_eq!((kept, after.len()), (7, 8));
        list[gone.0 as usize].leaving = false;
    }
}

#[test]
fn spreads_connections_over_the_servers() {
    let list = candidates(22);
    let mut users = [0_u32; 22];
    for node in 0..300_u64 {
        for server in subset(node.wrapping_mul(0x9e37_79b9_7f4a_7c15), 12, &list) {
            users[server.0 as usize] += 1;
        }
    }
    let most = users.iter().max();
    let least = users.iter().min();
    println!("300 ingresses, 12 of 22 each: {least:?} to {most:?} connections for each");
    assert!(most.is_some_and(|&n| n <= 240));
}
