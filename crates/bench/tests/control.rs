//! The control parts of a small fleet over real connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use oriolering::{CallId, Crash, Fate, Grant, Incarnation, QuarantineEntry, Verdict};
use oriolering_bench::control_fleet::{self as fleet, Fleet, INVALID, Node, Shape, bundle, list};
use oriolering_bench::platform::{Mode, Platform, Scope, Switch};
use oriolering_node::control::ControlSettings;
use rstest::rstest;

const WATCH_MS: u64 = 300;
const LIMIT: Duration = Duration::from_secs(9);

fn tune(settings: &mut ControlSettings) {
    settings.start_ms = 50;
    settings.empty_ms = 200;
    settings.sync_ms = 200;
    settings.watch_ms = WATCH_MS;
}

fn fleet(nodes: usize) -> Fleet {
    let shape = Shape {
        nodes,
        zones: 4,
        services: 3,
        tune,
    };
    Fleet::start(shape).unwrap()
}

fn quarantine() -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: 42,
        crash: Crash {
            gate: Incarnation(1),
            number: 1,
        },
        verdict: Verdict::Quarantined,
        remaining: 60_000,
    }
}

fn switch(mode: Mode) -> Switch {
    Switch {
        mode,
        delay_ms: 0,
        scope: Scope::All,
        behind: 0,
    }
}

#[rstest]
#[case::alone(1)]
#[case::pair(2)]
#[case::today(13)]
#[tokio::test]
async fn every_node_takes_a_change(#[case] nodes: usize) {
    let fleet = fleet(nodes);
    for edit in 0..3 {
        let times = fleet.publish(bundle(3, 20_000, edit), LIMIT).await;
        assert!(times.iter().all(Option::is_some), "{times:?}");
    }
    fleet.stop().await;
}

#[tokio::test]
async fn a_value_of_one_megabyte_moves_few_bytes() {
    let fleet = fleet(24);
    let first = fleet.publish(bundle(120, 1_000_000, 1), LIMIT).await;
    assert!(first.iter().all(Option::is_some), "{first:?}");
    tokio::time::sleep(Duration::from_millis(2 * WATCH_MS)).await;
    let before: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| node.handle.status())
        .collect();
    let second = fleet.publish(bundle(120, 1_000_000, 2), LIMIT).await;
    assert!(second.iter().all(Option::is_some), "{second:?}");
    let relayed: Vec<_> = fleet
        .nodes
        .iter()
        .zip(&before)
        .filter(|(_, before)| !before.reader)
        .map(|(node, before)| node.handle.status().received_bytes - before.received_bytes)
        .collect();
    assert_eq!(relayed.len(), 12);
    assert!(relayed.iter().all(|bytes| *bytes < 100_000), "{relayed:?}");
    fleet.stop().await;
}

#[tokio::test]
async fn an_invalid_value_is_kept_out() {
    let fleet = fleet(13);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    let bad = fleet
        .publish(INVALID.to_owned(), Duration::from_secs(1))
        .await;
    assert!(bad.iter().all(Option::is_none), "{bad:?}");
    let rejected = fleet
        .nodes
        .iter()
        .filter(|node| !node.handle.status().rejected.is_empty());
    assert!(rejected.count() > 0);
    let good = fleet.publish(bundle(3, 20_000, 3), LIMIT).await;
    assert!(good.iter().all(Option::is_some), "{good:?}");
    fleet.stop().await;
}

#[tokio::test]
async fn a_new_node_learns_while_the_service_is_down() {
    let mut fleet = fleet(13);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    fleet.platform.switch(Switch {
        scope: Scope::Config,
        ..switch(Mode::Down)
    });
    fleet.replace(5).await.unwrap();
    assert!(fleet.until(LIMIT, |node| node.in_force(1).is_some()).await);
    fleet.stop().await;
}

#[tokio::test]
async fn a_flapping_service_reverts_nothing() {
    let fleet = fleet(13);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    fleet.publish(bundle(3, 20_000, 2), LIMIT).await;
    fleet.platform.switch(switch(Mode::Flap));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for node in &fleet.nodes {
        let revisions = node.record.configured.lock().clone();
        assert!(revisions.is_sorted_by(|a, b| a.0 < b.0), "{revisions:?}");
        assert_eq!(node.handle.status().revision, 2);
    }
    fleet.stop().await;
}

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

#[tokio::test]
async fn a_quarantine_reaches_every_node_once() {
    let fleet = fleet(24);
    assert!(
        fleet
            .until(LIMIT, |node| node.record.members.lock().len() == 24)
            .await
    );
    let entry = quarantine();
    fleet.nodes[0].handle.spread(entry);
    let heard =
        |node: &Node| node.member.id == "node-0" || !node.record.quarantined.lock().is_empty();
    assert!(fleet.until(LIMIT, heard).await);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for node in &fleet.nodes[1..] {
        let heard = node.record.quarantined.lock().clone();
        assert_eq!(heard.len(), 1, "{heard:?}");
        assert!(heard[0].remaining <= entry.remaining);
    }
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
    assert_eq!(fate.unwrap(), Fate::Fenced);
    assert_eq!(*gate.record.fenced.lock(), [9]);
    fleet.stop().await;
}

#[tokio::test]
async fn a_fleet_that_starts_at_once_reads_each_value_a_few_times() {
    let shape = Shape {
        nodes: 24,
        zones: 4,
        services: 3,
        tune: |settings| settings.start_ms = 50,
    };
    let fleet = Fleet::start(shape).unwrap();
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let reads = fleet.platform.reads();
    assert!(reads.instances <= 24 + 12, "{reads:?}");
    assert!(reads.config <= 24 + 12, "{reads:?}");
    fleet.stop().await;
}

#[tokio::test]
async fn two_contents_of_one_revision_are_counted_and_kept() {
    static OTHER: OnceLock<SocketAddr> = OnceLock::new();
    static JOINED: AtomicBool = AtomicBool::new(false);
    let other = Platform::new(0);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    OTHER.set(listener.local_addr().unwrap()).unwrap();
    fleet::serve(other.clone(), listener).unwrap();
    let shape = Shape {
        nodes: 2,
        zones: 2,
        services: 1,
        tune: |settings| {
            tune(settings);
            if settings.me.id == "node-1" {
                settings.platform = OTHER.get().copied().unwrap();
            }
            let platform = settings.platform;
            settings.reach = Some(Arc::new(move |to| {
                to == platform || JOINED.load(Ordering::Relaxed)
            }));
        },
    };
    let fleet = Fleet::start(shape).unwrap();
    let members: Vec<_> = fleet.nodes.iter().map(|node| node.member.clone()).collect();
    other.list(list(&members));
    fleet.platform.publish(bundle(1, 20_000, 1));
    other.publish(bundle(1, 20_000, 2));
    assert!(fleet.until(LIMIT, |node| node.in_force(1).is_some()).await);
    JOINED.store(true, Ordering::Relaxed);
    let counted = |node: &Node| node.handle.status().ignored.conflicts > 0;
    assert!(fleet.until(LIMIT, counted).await);
    for node in &fleet.nodes {
        assert_eq!(node.record.configured.lock().len(), 1);
    }
    fleet.stop().await;
}

#[tokio::test]
async fn a_new_node_puts_nothing_older_in_force_than_its_peers_hold() {
    let mut fleet = fleet(13);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    fleet.publish(bundle(3, 20_000, 2), LIMIT).await;
    fleet.platform.switch(Switch {
        scope: Scope::Config,
        behind: 1,
        ..switch(Mode::Stale)
    });
    for ix in 0..13 {
        fleet.replace(ix).await.unwrap();
        assert!(fleet.until(LIMIT, |node| node.in_force(2).is_some()).await);
        let revisions = fleet.nodes[ix].record.configured.lock().clone();
        assert_eq!(revisions[0].0, 2, "{revisions:?}");
    }
    fleet.stop().await;
}

#[tokio::test]
async fn nodes_find_a_service_that_comes_up_after_them() {
    let mut fleet = fleet(4);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    fleet.platform.switch(switch(Mode::Down));
    for ix in 0..4 {
        fleet.nodes[ix].handle.clone().stop().await;
    }
    for ix in 0..4 {
        fleet.nodes[ix] = fleet.node(fleet.nodes[ix].member.clone()).unwrap();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fleet.nodes.iter().all(|node| node.in_force(1).is_none()));
    fleet.platform.switch(switch(Mode::Up));
    assert!(fleet.until(LIMIT, |node| node.in_force(1).is_some()).await);
    fleet.stop().await;
}

#[tokio::test]
async fn a_budget_that_is_used_up_sheds_all_but_news() {
    let shape = Shape {
        nodes: 24,
        zones: 4,
        services: 3,
        tune: |settings| {
            tune(settings);
            settings.bytes_rate = 10;
        },
    };
    let fleet = Fleet::start(shape).unwrap();
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    let spent = |node: &Node| node.handle.status().budget_percent == 0;
    assert!(fleet.until(LIMIT, spent).await);
    fleet.nodes[0].handle.spread(quarantine());
    let held_back =
        |node: &Node| node.member.id != "node-0" || node.handle.status().counts.shed_gossip > 0;
    assert!(fleet.until(LIMIT, held_back).await);
    fleet.nodes[1].handle.leave();
    let known = |node: &Node| node.view("node-1").is_some_and(|member| member.leaving);
    assert!(fleet.until(Duration::from_secs(3), known).await);
    let times = fleet.publish(bundle(3, 20_000, 2), LIMIT).await;
    assert!(times.iter().all(Option::is_some), "{times:?}");
    let quarantined = |node: &&Node| !node.record.quarantined.lock().is_empty();
    assert_eq!(fleet.nodes.iter().filter(quarantined).count(), 0);
    let shed = |node: &Node| node.handle.status().counts.shed_sync > 0;
    assert!(fleet.until(LIMIT, shed).await);
    fleet.stop().await;
}
