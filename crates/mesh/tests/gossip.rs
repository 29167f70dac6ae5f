//! How routes reach all nodes, and which nodes read them from the store.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::raw::{run, sleep_ms};
use support::{Fleet, config, get};

/// How long a change of the routes may take to take effect, in milliseconds.
const APPLY_MS: u64 = 2_000;
/// How long watches are counted, in milliseconds; longer than a watch waits at the store.
const WATCHES_MS: u64 = 4_000;
/// How long the nodes may take to agree on who watches, in milliseconds.
const SETTLE_MS: u64 = 20_000;

/// Returns a configuration with `count` additional routes and a last one whose prefix is `changed`.
fn many_routes(version: u64, count: usize, changed: &str) -> Value {
    let mut config = config(version, "s");
    let usual = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("a list");
    for i in 0..count {
        let mut route = usual.clone();
        let host = (i * 7_919) % 104_729;
        route["name"] = json!(format!("more-{i}"));
        route["host"] = json!(format!("h{host}.example"));
        route["prefix"] = json!(format!("/more-{host}/"));
        routes.push(route);
    }
    let mut last = usual;
    last["name"] = json!("last");
    last["prefix"] = json!(format!("/{changed}/"));
    routes.push(last);
    config
}

#[test]
fn nodes_without_the_store_get_many_routes_and_their_changes() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "front", "front", "front", "front"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        for index in [0, 2, 3, 4, 5] {
            fleet.start_without_store(index);
        }
        fleet.wait_all_serving().await;
        fleet.store.put("op/config", &many_routes(5, 1_400, "one"));
        for index in 0..6 {
            fleet
                .wait_for_target(index, "/one/echo", Instant::now(), APPLY_MS)
                .await;
        }
        fleet.store.put("op/config", &many_routes(9, 1_400, "two"));
        for index in 0..6 {
            fleet
                .wait_for_target(index, "/two/echo", Instant::now(), APPLY_MS)
                .await;
            assert_eq!(fleet.call(index, &get("/one/echo")).await.status, 404);
        }
    });
}

#[test]
fn nodes_with_fast_links_watch_the_store() {
    run(async {
        let mut fleet = Fleet::new(&["s", "front", "s", "front", "s", "front", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        let mut expected = BTreeSet::new();
        for index in 0..7 {
            let fast = [1, 3, 6].contains(&index);
            fleet.set_link_mbps(index, if fast { 200 } else { 10 });
            let address = fleet.start_at_own_store(index).await;
            if fast {
                expected.insert(address);
            }
        }
        fleet.wait_all_serving().await;
        let since = Instant::now();
        loop {
            fleet.store.take_watchers();
            sleep_ms(WATCHES_MS).await;
            let watchers = fleet.store.take_watchers();
            if watchers == expected {
                return;
            }
            let waited = since.elapsed() < Duration::from_millis(SETTLE_MS);
            assert!(waited, "{watchers:?} watch, and not {expected:?}");
        }
    });
}

#[rstest]
#[case::early_in_a_watch(0)]
#[case::later(400)]
#[case::much_later(800)]
fn a_change_takes_effect_in_time_while_the_store_is_unresponsive_for_all_watchers(
    #[case] after_ms: u64,
) {
    run(async {
        let mut fleet = Fleet::new(&["s"; 8]).await;
        fleet.store.put("op/config", &config(1, "s"));
        for index in 0..8 {
            fleet.start_at_own_store(index).await;
        }
        fleet.wait_all_serving().await;
        fleet.store.take_watchers();
        sleep_ms(WATCHES_MS).await;
        let watchers = fleet.store.take_watchers();
        assert!(watchers.len() < 8, "{watchers:?} watch");
        fleet.publish(0, "ready");
        sleep_ms(after_ms).await;
        for address in watchers {
            fleet.store.stop_answering(address);
        }
        let mut later = config(4, "s");
        later["routes"][0]["prefix"] = "/later/".into();
        fleet.store.put("op/config", &later);
        let changed = Instant::now();
        for index in 0..8 {
            fleet
                .wait_for_target(index, "/later/echo", changed, APPLY_MS)
                .await;
        }
    });
}
