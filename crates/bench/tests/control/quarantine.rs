//! Quarantines and the budget of the control part.

use std::time::Duration;

use oriolering_bench::control_fleet::{Fleet, Node, Shape, bundle};

use crate::fixture::{LIMIT, fleet, quarantine, tune};

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
