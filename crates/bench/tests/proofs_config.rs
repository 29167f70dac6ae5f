//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::{Duration, Instant};

use oriolering_bench::{Fleet, FleetPlan, Signal, http_get, http_post};
use serde_json::{Value, json};

const IN_FORCE: Duration = Duration::from_secs(9);
const POLL: Duration = Duration::from_millis(50);
const VALUE_BYTES: usize = 1_000_000;

fn plan() -> FleetPlan {
    let mut plan = FleetPlan::new("caja", 4);
    plan.zones = ["huaraz", "carhuaz", "yungay", "caraz"]
        .map(Into::into)
        .into();
    plan
}

/// The revision in force at each node, which may only rise.
struct Watcher {
    seen: Vec<u64>,
}

impl Watcher {
    fn new(fleet: &Fleet) -> Self {
        let seen = vec![0; fleet.members.len()];
        Self { seen }
    }

    /// Looks at all nodes once; a node that is stopped is skipped.
    async fn look(&mut self, fleet: &Fleet, skipped: Option<usize>) {
        for (index, member) in fleet.members.iter().enumerate() {
            if Some(index) == skipped {
                continue;
            }
            let Some((200, body)) = http_get(member.admin, "/status").await else {
                continue;
            };
            let status: Value = serde_json::from_slice(&body).unwrap();
            let revision = status["revision"].as_u64().unwrap_or(0);
            let before = std::mem::replace(&mut self.seen[index], revision);
            assert!(
                revision >= before,
                "{} reverted from {before} to {revision}",
                member.id
            );
        }
    }

    async fn look_for(&mut self, fleet: &Fleet, time: Duration, skipped: Option<usize>) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.look(fleet, skipped).await;
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until `revision` is in force at every node, and returns how long that took.
    async fn wait(&mut self, fleet: &Fleet, revision: u64) -> Duration {
        let start = Instant::now();
        while self.seen.iter().any(|seen| *seen < revision) {
            assert!(
                start.elapsed() < IN_FORCE,
                "{revision} not in force: {:?}",
                self.seen
            );
            self.look(fleet, None).await;
            tokio::time::sleep(POLL).await;
        }
        start.elapsed()
    }
}

/// Publishes a set in which the deadline tells the edits apart.
async fn publish(fleet: &Fleet, deadline_ms: u64) {
    let bundle = plan()
        .settings(json!({ "deadline_ms": deadline_ms }))
        .bundle();
    assert_eq!(
        http_post(fleet.address, "/_publish", &bundle).await,
        Some(200)
    );
}

async fn set_mode(fleet: &Fleet, mode: &str) {
    let switch = json!({ "mode": mode, "scope": "config" });
    assert_eq!(http_post(fleet.address, "/_mode", &switch).await, Some(200));
}

#[ntex::main]
#[test]
async fn no_node_reverts_while_the_service_is_stale_flaps_or_is_down() {
    let mut fleet = Fleet::start(&plan()).await.unwrap();
    let mut watcher = Watcher::new(&fleet);
    publish(&fleet, 1_001).await;
    println!(
        "in force everywhere after {:?}",
        watcher.wait(&fleet, 2).await
    );
    for mode in ["flap", "stale", "down"] {
        set_mode(&fleet, mode).await;
        watcher
            .look_for(&fleet, Duration::from_millis(1_500), None)
            .await;
    }
    // A node that is replaced while the service is down learns the revision from its peers.
    fleet.members[0].restart_node().unwrap();
    watcher.seen[0] = 0;
    println!("replaced node after {:?}", watcher.wait(&fleet, 2).await);
    assert!(fleet.members[1].node.signal(Signal::Stop));
    set_mode(&fleet, "up").await;
    publish(&fleet, 1_002).await;
    watcher
        .look_for(&fleet, Duration::from_secs(2), Some(1))
        .await;
    assert!(fleet.members[1].node.signal(Signal::Continue));
    println!("after the pause {:?}", watcher.wait(&fleet, 3).await);
}

#[ntex::main]
#[test]
async fn racing_edits_a_wrong_overlay_and_a_full_value_end_alike_everywhere() {
    let fleet = Fleet::start(&plan()).await.unwrap();
    let mut watcher = Watcher::new(&fleet);
    tokio::join!(publish(&fleet, 1_001), publish(&fleet, 1_002));
    println!(
        "two edits in force after {:?}",
        watcher.wait(&fleet, 3).await
    );

    let mut wrong = plan().bundle();
    wrong["overlays"] = json!({ "yungay": "{ \"services\": { \"nobody\": {} } }" });
    assert_eq!(
        http_post(fleet.address, "/_publish", &wrong).await,
        Some(200)
    );
    watcher.look_for(&fleet, Duration::from_secs(2), None).await;
    assert_eq!(watcher.seen, [3; 4], "a wrong set came into force");

    let mut full = plan().settings(json!({ "deadline_ms": 1_003 })).bundle();
    let size = full.to_string().len();
    let base = full["base"].as_str().unwrap().to_owned();
    let comment = " ".repeat(VALUE_BYTES - size);
    full["base"] = Value::String(base + &comment);
    assert_eq!(full.to_string().len(), VALUE_BYTES);
    assert_eq!(
        http_post(fleet.address, "/_publish", &full).await,
        Some(200)
    );
    println!(
        "a full value in force after {:?}",
        watcher.wait(&fleet, 5).await
    );
}
