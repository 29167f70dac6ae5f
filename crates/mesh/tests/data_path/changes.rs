//! Configurations, lists and backend servers that leave.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::serves;
use crate::support::raw::{pass, run};
use crate::support::{Fleet, config, get, until};

/// How soon a change of the store is in force, in milliseconds.
const APPLY_MS: u64 = 2_000;

#[test]
fn a_node_that_knows_no_configuration_says_come_back() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.start_all();
        pass(300).await;
        let reply = fleet.call(0, &get("/get/echo")).await;
        assert_eq!(reply.status, 503);
        let back = reply.header("retry-after").expect("a time");
        assert!(back.parse::<f64>().expect("seconds") > 0.0);
        assert_eq!(fleet.ready_status(0).await, 503);
        fleet.store.put("op/config", &config(1, "s"));
        fleet.wait_all_serving().await;
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
    });
}

#[test]
fn a_change_of_the_configuration_comes_into_force_and_never_goes_back() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "t"]).await;
        let mut caller = fleet.caller(0).await;
        assert_eq!(serves(&fleet, &mut caller).await, "s");
        fleet.store.put("op/config", &config(5, "t"));
        let changed = Instant::now();
        while serves(&fleet, &mut caller).await == "s" {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_MS));
            pass(5).await;
        }
        fleet.store.put("op/config", &config(3, "s"));
        fleet
            .store
            .put("op/config", &serde_json::json!({"version": 9}));
        for _ in 0..50 {
            assert_eq!(serves(&fleet, &mut caller).await, "t");
            pass(5).await;
        }
        fleet.store.put("op/config", &config(10, "s"));
        let changed = Instant::now();
        while serves(&fleet, &mut caller).await == "t" {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_MS));
            pass(5).await;
        }
    });
}

#[rstest]
#[case::draining(true)]
#[case::removed(false)]
fn a_backend_server_that_leaves_gets_nothing_new(#[case] told: bool) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        match told {
            true => fleet.publish(1, "draining"),
            false => fleet.unpublish(1),
        }
        pass(300).await;
        let leaving = &fleet.instances[1].backend;
        leaving.clear_requests();
        for _ in 0..40 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(leaving.total_requests(), 0);
        assert_eq!(fleet.instances[2].backend.total_requests(), 40);
    });
}

#[test]
fn a_backend_server_that_leaves_finishes_what_it_has() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/800")).await;
        let backend = &fleet.instances[1].backend;
        until(|| backend.request_count("/get/slow/800") == 1).await;
        fleet.publish(1, "draining");
        pass(100).await;
        fleet.unpublish(1);
        assert_eq!(caller.reply().await.status, 200);
    });
}

#[test]
fn a_node_that_the_store_turns_away_learns_from_its_peers() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        fleet.start_without_store(0);
        fleet.wait_all_serving().await;
        let mut caller = fleet.caller(0).await;
        assert_eq!(serves(&fleet, &mut caller).await, "s");
        // Later changes arrive the same way.
        let mut later = config(4, "s");
        later["routes"][0]["prefix"] = "/later/".into();
        fleet.store.put("op/config", &later);
        let changed = Instant::now();
        fleet
            .wait_for_target(0, "/later/echo", changed, APPLY_MS)
            .await;
    });
}

#[test]
fn a_node_that_the_store_turns_away_learns_that_a_backend_server_leaves() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        fleet.start_one(2);
        fleet.start_without_store(0);
        fleet.wait_all_serving().await;
        fleet.publish(1, "draining");
        pass(300).await;
        let leaving = &fleet.instances[1].backend;
        leaving.clear_requests();
        for _ in 0..20 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(leaving.total_requests(), 0);
    });
}
