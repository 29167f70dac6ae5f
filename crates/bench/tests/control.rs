//! The control parts of a small fleet over real connections.

use std::time::Duration;

use oriolering_bench::control_fleet::{Fleet, INVALID, Shape, bundle};
use oriolering_bench::platform::{Mode, Scope, Switch};
use oriolering_node::control::ControlSettings;

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

fn switch(mode: Mode) -> Switch {
    Switch {
        mode,
        delay_ms: 0,
        scope: Scope::All,
    }
}

#[tokio::test]
async fn every_node_takes_a_change() {
    let fleet = fleet(13);
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
    let known = |node: &oriolering_bench::control_fleet::Node| {
        node.view("node-3").is_some_and(|member| member.leaving)
    };
    assert!(fleet.until(Duration::from_secs(3), known).await);
    fleet.replace(3).await.unwrap();
    let back = |node: &oriolering_bench::control_fleet::Node| {
        node.view("node-3").is_some_and(|member| !member.leaving)
    };
    assert!(fleet.until(LIMIT, back).await);
    fleet.stop().await;
}

#[tokio::test]
async fn a_cut_zone_catches_up_and_causes_no_storm_of_reads() {
    let fleet = fleet(24);
    fleet.publish(bundle(3, 20_000, 1), LIMIT).await;
    fleet.cut("zone-1", true);
    tokio::time::sleep(Duration::from_millis(WATCH_MS + 100)).await;
    let reads = fleet.platform.reads();
    let cut = fleet
        .publish(bundle(3, 20_000, 2), Duration::from_secs(2))
        .await;
    assert_eq!(cut.iter().flatten().count(), 18);
    fleet.cut("zone-1", false);
    assert!(fleet.until(LIMIT, |node| node.in_force(2).is_some()).await);
    let after = fleet.platform.reads();
    assert!(after.config - reads.config < 60, "{reads:?} {after:?}");
    fleet.stop().await;
}
