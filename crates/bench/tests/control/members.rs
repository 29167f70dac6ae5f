//! Members that leave, are cut off or are no members.

use std::time::Duration;

use oriolering::{AttemptStatus, CallId, Grant, Incarnation, Member};
use oriolering_bench::control_fleet::{Fleet, Node, Shape, bundle, list};
use rstest::rstest;

use crate::fixture::{LIMIT, WATCH_MS, fleet, quarantine, tune};

#[tokio::test]
async fn a_leaving_node_is_known_at_once_while_the_list_lags() {
    let mut fleet = fleet(24);
    assert!(
        fleet
            .until(LIMIT, |node| node.record.members.lock().len() == 24)
            .await
    );
    fleet.nodes[3].handle.leave();
    let known = |node: &Node| node.view("node-3").is_some_and(|member| member.leaving);
    assert!(fleet.until(Duration::from_secs(3), known).await);
    fleet.replace(3).await.unwrap();
    let back = |node: &Node| node.view("node-3").is_some_and(|member| !member.leaving);
    assert!(fleet.until(LIMIT, back).await);
    fleet.stop().await;
}

#[tokio::test]
async fn most_of_a_fleet_leaves_at_once() {
    const NODES: usize = 80;
    let fleet = fleet(NODES);
    assert!(
        fleet
            .until(LIMIT, |node| node.record.members.lock().len() == NODES)
            .await
    );
    for node in &fleet.nodes[10..] {
        node.handle.leave();
    }
    let known = |node: &Node| {
        let members = node.record.members.lock();
        members.iter().filter(|member| member.leaving).count() == NODES - 10
    };
    assert!(fleet.until(Duration::from_secs(3), known).await);
    fleet.stop().await;
}

#[rstest]
#[case::zone(&["zone-1"])]
#[case::region(&["zone-0", "zone-1"])]
#[tokio::test]
async fn a_cut_part_catches_up_and_causes_no_storm_of_reads(#[case] zones: &[&str]) {
    let fleet = fleet(24);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    zones.iter().for_each(|zone| fleet.cut(zone, true));
    tokio::time::sleep(Duration::from_millis(WATCH_MS + 100)).await;
    let reads = fleet.platform.reads();
    let cut = fleet
        .publish(bundle(3, 20_000, 2), Duration::from_secs(2))
        .await;
    assert_eq!(cut.iter().flatten().count(), 24 - 6 * zones.len());
    zones.iter().for_each(|zone| fleet.cut(zone, false));
    assert!(fleet.until(LIMIT, |node| node.in_force(2).is_some()).await);
    let after = fleet.platform.reads();
    assert!(after.config - reads.config < 60, "{reads:?} {after:?}");
    for node in &fleet.nodes {
        let members = node.record.members.lock();
        assert!(members.len() == 24 && members.iter().all(|member| !member.leaving));
    }
    fleet.stop().await;
}

/// A watch that was answered after the cut brought the value to a cut zone, which spread it.
#[tokio::test]
async fn a_watch_that_is_open_at_a_cut_brings_nothing() {
    let shape = Shape {
        nodes: 8,
        zones: 4,
        services: 3,
        tune: |settings| {
            tune(settings);
            settings.watch_ms = 5_000;
        },
    };
    let fleet = Fleet::start(shape).unwrap();
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    // Time for a watch of the next revision; the check holds without one as well.
    tokio::time::sleep(Duration::from_millis(WATCH_MS)).await;
    fleet.cut("zone-1", true);
    let times = fleet
        .publish(bundle(3, 20_000, 2), Duration::from_secs(2))
        .await;
    assert_eq!(times.iter().flatten().count(), 6);
    fleet.cut("zone-1", false);
    assert!(fleet.until(LIMIT, |node| node.in_force(2).is_some()).await);
    fleet.stop().await;
}

#[tokio::test]
async fn a_member_that_the_list_places_elsewhere_is_a_stranger() {
    let mut fleet = fleet(13);
    assert!(
        fleet
            .until(LIMIT, |node| node.record.members.lock().len() == 13)
            .await
    );
    let mut elsewhere: Vec<_> = fleet.nodes.iter().map(|node| node.member.clone()).collect();
    elsewhere[0].control.set_ip([127, 0, 0, 99].into());
    fleet.platform.list(list(&elsewhere));
    let moved = |node: &Node| {
        let view = node.view("node-0");
        view.is_some_and(|member| member.control == elsewhere[0].control)
    };
    assert!(fleet.until(LIMIT, moved).await);
    let entry = quarantine();
    let liar = fleet.nodes.remove(0);
    let gate = fleet.nodes[0].member.control;
    let id = CallId {
        grant: Grant {
            gate: Incarnation(1),
            number: 1,
        },
        seq: 1,
    };
    liar.handle.spread(entry);
    liar.handle.leave();
    assert!(liar.handle.inquire(gate, id, true, 1_000).await.is_err());
    tokio::time::sleep(Duration::from_millis(600)).await;
    for node in &fleet.nodes {
        assert!(node.record.quarantined.lock().is_empty());
        assert!(node.record.fenced.lock().is_empty());
    }
    liar.handle.stop().await;
    fleet.stop().await;
}

#[tokio::test]
async fn a_listed_peer_may_inquire() {
    let fleet = fleet(8);
    assert!(
        fleet
            .until(LIMIT, |node| node.record.members.lock().len() == 8)
            .await
    );
    let gate = &fleet.nodes[1];
    let grant = fleet.nodes[0]
        .handle
        .open(gate.member.control, 1_000)
        .await
        .unwrap();
    let id = CallId { grant, seq: 9 };
    let fate = fleet.nodes[0]
        .handle
        .inquire(gate.member.control, id, true, 1_000)
        .await;
    assert_eq!(fate.unwrap(), AttemptStatus::Fenced);
    assert_eq!(*gate.record.fenced.lock(), [9]);
    fleet.stop().await;
}

/// Returns a list of instances with one more entry, whose zone is this JSON.
fn list_with_odd_entry(members: &[Member], zone: &str) -> String {
    let mut odd = members[0].clone();
    odd.id = "odd".into();
    odd.zone = "ODD".into();
    let members: Vec<Member> = [&[odd], members].concat();
    list(&members).replace("\"ODD\"", zone)
}

// Guards against an odd entry of another writer that makes the nodes stop following the list.
#[rstest]
#[case::nested("[".repeat(10_000) + &"]".repeat(10_000))]
#[case::too_large_a_number("1e400".to_owned())]
#[case::unpaired_surrogate("\"\\ud800\"".to_owned())]
#[case::another_type("70000".to_owned())]
#[tokio::test]
async fn an_odd_entry_of_the_list_hides_no_other(#[case] zone: String) {
    const NODES: usize = 8;
    let fleet = fleet(NODES);
    let complete = |node: &Node| node.record.members.lock().len() == NODES;
    assert!(fleet.until(LIMIT, complete).await);
    let mut members: Vec<Member> = fleet.nodes.iter().map(|node| node.member.clone()).collect();
    members[3].control.set_ip([127, 0, 0, 99].into());
    fleet.platform.list(list_with_odd_entry(&members, &zone));
    let followed = |node: &Node| {
        let view = node.view("node-3");
        view.is_some_and(|member| member.control == members[3].control)
    };
    assert!(fleet.until(LIMIT, followed).await);
    for node in &fleet.nodes {
        assert!(node.view("odd").is_none());
        assert_eq!(node.record.members.lock().len(), NODES);
    }
    fleet.stop().await;
}
