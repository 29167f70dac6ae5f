//! The evacuation of an availability zone by the operator.

mod support;

use serde_json::json;

use support::raw::{run, sleep_ms};
use support::{Fleet, get, until};

/// The time by which an evacuation is in force at all nodes, in milliseconds; the platform allows
/// five seconds.
const APPLY_WITHIN_MS: u64 = 2_000;

/// Returns a fleet that is not started, with a front node and two backend servers of `s` in the zones
/// `a` and `b`, which are equally far from it.
async fn new_fleet() -> Fleet {
    let mut fleet = Fleet::new(&["front", "s", "s"]).await;
    for (index, zone) in [(1, "a"), (2, "b")] {
        fleet.set_zone(index, zone);
        fleet.publish(index, "ready");
    }
    fleet.store.put("op/config", &support::config(1, "s"));
    fleet
}

async fn running_fleet() -> Fleet {
    let mut fleet = new_fleet().await;
    fleet.start_all();
    wait_serving(&fleet).await;
    fleet
}

/// Waits until all nodes are ready and the front node reaches both backend servers.
async fn wait_serving(fleet: &Fleet) {
    for index in 0..3 {
        fleet.wait_ready(index).await;
    }
    fleet.wait_for_backends(0).await;
}

/// Sends requests through the front node, and returns how many reached the backend server of an
/// instance. All of them must be answered with success.
async fn requests_to(fleet: &Fleet, index: usize) -> usize {
    let backend = &fleet.instances[index].backend;
    backend.clear_requests();
    for _ in 0..40 {
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
    }
    backend.total_requests()
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    run(async {
        let fleet = running_fleet().await;
        assert!(requests_to(&fleet, 2).await > 0);
        fleet.store.put("op/evacuate/b", &json!({}));
        for index in 0..3 {
            fleet.events(index, "zone_evacuated").await;
        }
        assert_eq!(requests_to(&fleet, 2).await, 0);
        fleet.store.delete("op/evacuate/b");
        fleet.events(0, "zone_restored").await;
        sleep_ms(APPLY_WITHIN_MS / 4).await;
        assert!(requests_to(&fleet, 2).await > 0);
    });
}

/// Guards against a gate that relies on the ingresses: a node that does not know of an evacuation
/// still chooses the backend server.
#[test]
fn the_gate_of_an_evacuated_zone_refuses_requests_of_its_own_node() {
    run(async {
        let fleet = running_fleet().await;
        fleet.store.put("op/evacuate/b", &json!({}));
        fleet.events(2, "zone_evacuated").await;
        let backend = &fleet.instances[2].backend;
        backend.clear_requests();
        for _ in 0..20 {
            assert_eq!(fleet.call(2, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(backend.total_requests(), 0);
    });
}

#[test]
fn running_requests_of_an_evacuated_zone_end_normally() {
    run(async {
        let fleet = running_fleet().await;
        let mut callers = Vec::new();
        for _ in 0..8 {
            let mut caller = fleet.caller(0).await;
            caller.send(get("/get/slow/700")).await;
            callers.push(caller);
        }
        let backend = &fleet.instances[2].backend;
        until(|| backend.request_count("/get/slow/700") > 0).await;
        fleet.store.put("op/evacuate/b", &json!({}));
        for mut caller in callers {
            assert_eq!(caller.reply().await.status, 200);
        }
    });
}

/// Guards against callers that wait when no zone has room.
#[test]
fn callers_are_refused_at_once_while_all_zones_are_evacuated() {
    run(async {
        let fleet = running_fleet().await;
        fleet.store.put("op/evacuate/a", &json!({}));
        fleet.store.put("op/evacuate/b", &json!({}));
        until_evacuated(&fleet, 2).await;
        let reply = fleet.call(0, &get("/get/echo?refused")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert_eq!(fleet.request_count("/get/echo?refused"), 0);
        fleet.store.delete("op/evacuate/a");
        fleet.events(0, "zone_restored").await;
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
    });
}

/// Guards against a node that starts during an evacuation and does not learn of it.
#[test]
fn a_node_that_starts_during_an_evacuation_knows_of_it() {
    run(async {
        let mut fleet = running_fleet().await;
        fleet.store.put("op/evacuate/b", &json!({}));
        until_evacuated(&fleet, 1).await;
        for index in [0, 2] {
            fleet.kill(index).await;
            fleet.start_one(index);
            fleet.wait_ready(index).await;
        }
        assert_eq!(requests_to(&fleet, 2).await, 0);
    });
}

/// Guards against a node that knows of evacuations only from the store.
#[test]
fn a_node_without_the_store_learns_of_an_evacuation_from_its_peers() {
    run(async {
        let mut fleet = new_fleet().await;
        let own_store = fleet.start_at_own_store(0).await;
        fleet.start_one(1);
        fleet.start_one(2);
        wait_serving(&fleet).await;
        fleet.store.stop_answering(own_store);
        fleet.store.put("op/evacuate/b", &json!({}));
        fleet.events(0, "zone_evacuated").await;
        assert_eq!(requests_to(&fleet, 2).await, 0);
    });
}

#[test]
fn an_evacuation_that_ends_at_once_and_unknown_keys_change_nothing() {
    run(async {
        let fleet = running_fleet().await;
        fleet.store.put("op/evacuate/b", &json!({}));
        fleet.store.delete("op/evacuate/b");
        fleet.store.put("op/evacuate/nowhere", &json!({}));
        fleet.store.put("op/evacuate/", &json!({}));
        fleet.store.put("op/unknown", &json!({"zone": "b"}));
        fleet.events(0, "zone_evacuated").await;
        sleep_ms(APPLY_WITHIN_MS / 4).await;
        assert!(requests_to(&fleet, 2).await > 0);
    });
}

/// Waits until the nodes know of `count` evacuations.
async fn until_evacuated(fleet: &Fleet, count: usize) {
    for index in 0..fleet.instances.len() {
        while fleet.events(index, "zone_evacuated").await.len() < count {
            sleep_ms(10).await;
        }
    }
}
