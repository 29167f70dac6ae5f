//! Who reads the platform's service, how often, and what the budget sheds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oriolering::{ControlBudget, ControlWork, Member, Millis, ReadLimiter, TokenBucket, is_reader};
use rand::SeedableRng;
use rand::rngs::StdRng;

const READERS: usize = 3;

fn members(count: usize, zones: usize) -> Vec<Member> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let member = |ix: usize| Member {
        id: format!("node-{ix}").into(),
        service: "rack".into(),
        zone: format!("zone-{}", ix % zones).into(),
        region: "ancash".into(),
        ingress: address,
        gate: address,
        control: address,
        leaving: false,
        incarnation: None,
    };
    (0..count).map(member).collect()
}

fn readers(members: &[Member], salt: u64) -> Vec<&Member> {
    let reads = |member: &&Member| is_reader(members, &member.id, salt, READERS);
    members.iter().filter(reads).collect()
}

#[test]
fn each_zone_has_its_readers_at_the_target_size() {
    let members = members(2_700, 15);
    let readers = readers(&members, 7);
    assert_eq!(readers.len(), 15 * READERS);
    let zones: BTreeSet<_> = readers.iter().map(|member| &member.zone).collect();
    assert_eq!(zones.len(), 15);
}

#[test]
fn the_readers_change_with_the_revision() {
    let members = members(400, 4);
    let ids = |salt| -> BTreeSet<String> {
        let readers = readers(&members, salt);
        readers.iter().map(|member| member.id.to_string()).collect()
    };
    let all: BTreeSet<_> = (0..50).flat_map(ids).collect();
    assert!(all.len() > 200, "{} nodes took a turn", all.len());
}

#[test]
fn a_member_more_or_less_changes_few_readers() {
    let all = members(400, 4);
    let fewer = &all[1..];
    let before: BTreeSet<_> = readers(&all, 1)
        .iter()
        .map(|member| member.id.clone())
        .collect();
    let after: BTreeSet<_> = readers(fewer, 1)
        .iter()
        .map(|member| member.id.clone())
        .collect();
    assert!(before.difference(&after).count() <= 1);
}

#[test]
fn a_leaving_member_is_no_reader() {
    let mut members = members(40, 4);
    let id = readers(&members, 1)[0].id.clone();
    let member = members.iter_mut().find(|member| member.id == id).unwrap();
    member.leaving = true;
    assert!(!is_reader(&members, &id, 1, READERS));
    assert_eq!(readers(&members, 1).len(), 4 * READERS);
    assert!(!is_reader(&members, "stranger", 1, READERS));
}

#[test]
fn reads_are_limited_over_any_time() {
    let mut limit = ReadLimiter::new(Millis(0));
    let reads = (0..60_000).filter(|ms| limit.take(Millis(*ms))).count();
    assert!((60..=64).contains(&reads), "{reads}");
}

#[test]
fn failures_are_spaced_out_with_jitter() {
    let mut limit = ReadLimiter::new(Millis(0));
    let mut rng = StdRng::seed_from_u64(1);
    let waits: Vec<_> = (0..20).map(|_| limit.record_failure(&mut rng)).collect();
    assert!((250..=500).contains(&waits[0]));
    assert!(waits[10..].iter().all(|ms| (15_000..=30_000).contains(ms)));
    limit.record_success();
    assert!(limit.record_failure(&mut rng) <= 500);
}

#[test]
fn a_bucket_gains_no_more_than_its_rate_in_small_steps() {
    let mut bucket = TokenBucket::new(3, 3, Millis(0));
    let taken = (0..10_000)
        .filter(|ms| bucket.try_take(Millis(*ms), 1))
        .count();
    assert!((30..=33).contains(&taken), "{taken}");
}

#[test]
fn the_least_useful_work_is_shed_first() {
    let mut budget = ControlBudget::new(1_000, 1_000, Millis(0));
    let mut allowed = |spend| {
        budget.spend(Millis(0), spend, 0);
        [ControlWork::Update, ControlWork::Sync, ControlWork::Gossip]
            .map(|work| budget.allows(Millis(0), work))
    };
    assert_eq!(allowed(0), [true, true, true]);
    assert_eq!(allowed(31_000), [true, true, false]);
    assert_eq!(allowed(15_000), [true, false, false]);
    assert_eq!(allowed(1_000_000), [true, false, false]);
    assert!(budget.allows(Millis(120_000), ControlWork::Gossip));
}
