//! Changes of the configuration and of the server list, and backend servers that leave.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::responding_service;
use crate::support::raw::{run, sleep_ms};
use crate::support::{Fleet, config, config_with_calls, get, request, until};

/// The time by which a change in the store is in force, in milliseconds.
const APPLY_WITHIN_MS: u64 = 2_000;

#[test]
fn a_node_without_a_configuration_answers_503_with_a_retry_time() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.start_all();
        sleep_ms(300).await;
        let reply = fleet.call(0, &get("/get/echo")).await;
        assert_eq!(reply.status, 503);
        let retry_after = reply.header("retry-after").expect("a time");
        assert!(retry_after.parse::<f64>().expect("seconds") > 0.0);
        assert_eq!(fleet.ready_status(0).await, 503);
        fleet.store.put("op/config", &config(1, "s"));
        fleet.wait_all_serving().await;
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
    });
}

#[test]
fn a_newer_configuration_comes_into_force_and_an_older_or_invalid_one_does_not() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "t"]).await;
        let mut caller = fleet.caller(0).await;
        assert_eq!(responding_service(&fleet, &mut caller).await, "s");
        fleet.store.put("op/config", &config(5, "t"));
        let changed = Instant::now();
        while responding_service(&fleet, &mut caller).await == "s" {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_WITHIN_MS));
            sleep_ms(5).await;
        }
        fleet.store.put("op/config", &config(3, "s"));
        fleet
            .store
            .put("op/config", &serde_json::json!({"version": 9}));
        for _ in 0..50 {
            assert_eq!(responding_service(&fleet, &mut caller).await, "t");
            sleep_ms(5).await;
        }
        fleet.store.put("op/config", &config(10, "s"));
        let changed = Instant::now();
        while responding_service(&fleet, &mut caller).await == "t" {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_WITHIN_MS));
            sleep_ms(5).await;
        }
    });
}

#[rstest]
#[case::draining(true)]
#[case::removed(false)]
fn a_leaving_backend_server_gets_no_new_requests(#[case] draining: bool) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        match draining {
            true => fleet.publish(1, "draining"),
            false => fleet.unpublish(1),
        }
        sleep_ms(300).await;
        let backend = &fleet.instances[1].backend;
        backend.clear_requests();
        for _ in 0..40 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(backend.total_requests(), 0);
        assert_eq!(fleet.instances[2].backend.total_requests(), 40);
    });
}

#[test]
fn a_leaving_backend_server_finishes_running_requests() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/800")).await;
        let backend = &fleet.instances[1].backend;
        until(|| backend.request_count("/get/slow/800") == 1).await;
        fleet.publish(1, "draining");
        sleep_ms(100).await;
        fleet.unpublish(1);
        assert_eq!(caller.reply().await.status, 200);
    });
}

/// How a backend server or its node begins to leave.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// The entry of the backend server says that it is draining.
    Draining,
    /// The entry of the backend server is removed.
    Removed,
    /// The responses of the backend server say that it is leaving.
    Announced,
    /// The node is told to stop.
    Stopped,
}

// A request that waits at a gate must not be sent to a backend server that may exit before it
// ends; it runs once, elsewhere.
#[rstest]
#[case::draining(Departure::Draining)]
#[case::removed(Departure::Removed)]
#[case::announced(Departure::Announced)]
#[case::stopped(Departure::Stopped)]
fn a_request_that_waits_for_a_leaving_backend_server_runs_elsewhere(#[case] departure: Departure) {
    const RUNNING: usize = 12;
    const TARGET: &str = "/post/slow/600";
    run(async move {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut callers = Vec::new();
        for _ in 0..RUNNING + 6 {
            let mut caller = fleet.caller(0).await;
            caller.send(request("POST", TARGET, "", "x")).await;
            callers.push(caller);
        }
        until(|| fleet.request_count(TARGET) == RUNNING).await;
        let leaving = fleet.instances[1].backend.clone();
        match departure {
            Departure::Draining => fleet.publish(1, "draining"),
            Departure::Removed => fleet.unpublish(1),
            Departure::Announced => {
                leaving.set_headers_in_health(true);
                leaving.set_answer_headers(&[("server-leaving", "1")]);
            }
            Departure::Stopped => fleet.stop(1),
        }
        sleep_ms(300).await;
        let received = leaving.total_requests();
        assert_eq!(received, RUNNING / 2);
        for caller in &mut callers {
            assert_eq!(caller.reply().await.status, 200);
        }
        assert_eq!(leaving.total_requests(), received);
        assert_eq!(fleet.request_count(TARGET), callers.len());
    });
}

#[test]
fn a_retry_is_not_sent_to_a_leaving_backend_server() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        fleet.publish(2, "draining");
        sleep_ms(300).await;
        for number in 0..10 {
            let target = format!("/get/reset-once?{number}");
            assert_eq!(fleet.call(0, &get(&target)).await.status, 502);
        }
        assert_eq!(fleet.instances[1].backend.total_requests(), 10);
        assert_eq!(fleet.instances[2].backend.total_requests(), 0);
    });
}

// The gate of a leaving backend server is closed, but its calls go through the ingress beside it.
#[test]
fn a_leaving_backend_server_makes_the_calls_of_its_running_requests() {
    const CALLS: usize = 200;
    run(async {
        let fleet = Fleet::serving(&["front", "s", "t"]).await;
        fleet.store.put("op/config", &config_with_calls(2));
        let now = Instant::now();
        fleet
            .wait_for_target(1, "/inner/echo", now, APPLY_WITHIN_MS)
            .await;
        let called = &fleet.instances[2].backend;
        called.clear_requests();
        let mut caller = fleet.caller(0).await;
        let target = format!("/post/call/{CALLS}?leaves");
        caller.send(request("POST", &target, "", "")).await;
        until(|| called.total_requests() > 0).await;
        fleet.publish(1, "draining");
        assert_eq!(caller.reply().await.status, 200);
        assert_eq!(called.request_count_by_prefix("/inner/echo"), CALLS);
        let states = fleet.events(1, "server_listed").await;
        assert!(states.iter().any(|line| line["state"] == "draining"));
    });
}

// An entry may be removed by mistake, such as after missed heartbeats, and come back.
#[test]
fn a_backend_server_that_is_listed_again_is_used_again() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        fleet.unpublish(1);
        sleep_ms(300).await;
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 503);
        fleet.publish(1, "ready");
        let listed = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", listed, APPLY_WITHIN_MS)
            .await;
    });
}

#[test]
fn a_node_that_the_store_rejects_learns_the_configuration_from_its_peers() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        fleet.start_without_store(0);
        fleet.wait_all_serving().await;
        let mut caller = fleet.caller(0).await;
        assert_eq!(responding_service(&fleet, &mut caller).await, "s");
        // Later changes arrive through the peers as well.
        let mut later = config(4, "s");
        later["routes"][0]["prefix"] = "/later/".into();
        fleet.store.put("op/config", &later);
        let changed = Instant::now();
        fleet
            .wait_for_target(0, "/later/echo", changed, APPLY_WITHIN_MS)
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
        sleep_ms(300).await;
        let backend = &fleet.instances[1].backend;
        backend.clear_requests();
        for _ in 0..20 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(backend.total_requests(), 0);
    });
}
