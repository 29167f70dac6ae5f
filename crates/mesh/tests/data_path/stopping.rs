//! Nodes that shut down.

use std::time::{Duration, Instant};

use crate::responding_service;
use crate::support::raw::{run, sleep_ms};
use crate::support::{Fleet, GRACE_MS, config_with_calls, get, request, until};

/// The time after which callers know that a node is not ready, in milliseconds, and some more.
const NOTICE_MS: u64 = 3_100;

/// The size of a long answer, in bytes: more than the buffers of a socket hold.
const ANSWER_BYTES: usize = 7_500_000;

#[test]
fn a_stopping_node_is_not_ready_and_finishes_running_requests() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/1200")).await;
        until(|| fleet.request_count("/get/slow/1200") == 1).await;
        let mut idle = fleet.caller(0).await;
        assert_eq!(responding_service(&fleet, &mut idle).await, "s");
        let started = Instant::now();
        fleet.stop(0);
        sleep_ms(50).await;
        assert_eq!(fleet.ready_status(0).await, 503);
        // Callers that do not know of the stop yet are served, on old and new connections.
        idle.send(get("/get/echo")).await;
        let reply = idle.reply().await;
        assert_eq!(reply.status, 200);
        assert!(reply.closes());
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "slow"));
        assert!(reply.closes());
        fleet.wait_ended(0).await;
        assert!(started.elapsed() < Duration::from_millis(GRACE_MS));
    });
}

#[test]
fn the_gate_of_a_stopping_node_finishes_running_requests_and_refuses_new_ones() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut callers = Vec::new();
        for _ in 0..8 {
            let mut caller = fleet.caller(0).await;
            caller
                .send(request("POST", "/post/slow/900", "", "x"))
                .await;
            callers.push(caller);
        }
        until(|| fleet.request_count("/post/slow/900") == 8).await;
        fleet.stop(1);
        sleep_ms(100).await;
        let requests_at_stop = fleet.instances[1].backend.total_requests();
        for _ in 0..20 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(
            fleet.instances[1].backend.total_requests(),
            requests_at_stop
        );
        for caller in &mut callers {
            assert_eq!(caller.reply().await.status, 200);
        }
        assert_eq!(fleet.request_count("/post/slow/900"), 8);
    });
}

/// Guards against a run that fails late in the grace period because the stopping node refuses its
/// calls, although it has accepted the run and waits for it.
#[test]
fn a_stopping_node_serves_the_calls_of_its_running_requests_to_the_end() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "t"]).await;
        let mut config = config_with_calls(1);
        for route in config["routes"].as_array_mut().expect("a list") {
            route["timeout_ms"] = 8_000.into();
        }
        fleet.store.put("op/config", &config);
        fleet.start_all();
        fleet.wait_all_serving().await;
        let mut caller = fleet.caller(0).await;
        let path = "/post/slow/3300";
        let long = request("POST", path, "", "x").replace(": 3000", ": 6000");
        caller.send(&long).await;
        until(|| fleet.request_count(path) == 1).await;
        fleet.stop(1);
        sleep_ms(NOTICE_MS).await;
        let call = get("/inner/echo").replace("id-1", "id-1.call");
        assert_eq!(fleet.call(1, &call).await.status, 200);
        // Another request may outlast the process.
        assert_eq!(fleet.call(1, &get("/inner/echo")).await.status, 503);
        assert_eq!(caller.reply().await.status, 200);
    });
}

/// Guards against a node that ends while a slow caller still reads an answer: it took the answer for
/// delivered once it was encoded.
#[test]
fn a_stopping_node_waits_for_a_caller_that_reads_slowly() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        let mut config = config_with_calls(1);
        config["limits"]["max_body_bytes"] = 16_000_000.into();
        fleet.store.put("op/config", &config);
        fleet.start_all();
        fleet.wait_all_serving().await;
        let mut caller = fleet.caller(0).await;
        // The backend server sends the body back.
        let body = "x".repeat(ANSWER_BYTES);
        caller.send(request("POST", "/post/echo", "", &body)).await;
        until(|| fleet.request_count("/post/echo") == 1).await;
        fleet.stop(0);
        sleep_ms(NOTICE_MS).await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 200);
        assert!(reply.body.len() > ANSWER_BYTES);
        fleet.wait_ended(0).await;
    });
}

/// Guards against a request that waits at another gate when the process ends, and whose connection
/// is closed without an answer.
#[test]
fn a_node_that_ends_answers_what_it_has_read() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        let mut config = config_with_calls(1);
        for route in config["routes"].as_array_mut().expect("a list") {
            route["timeout_ms"] = 8_000.into();
        }
        fleet.store.put("op/config", &config);
        fleet.start_all();
        fleet.wait_all_serving().await;
        let mut callers = Vec::new();
        for number in 0..12 {
            let mut caller = fleet.caller(0).await;
            let path = format!("/post/slow/4500?{number}");
            let long = request("POST", &path, "", "x").replace(": 3000", ": 8000");
            caller.send(&long).await;
            callers.push(caller);
        }
        until(|| fleet.request_count_by_prefix("/post/slow") > 0).await;
        fleet.stop(0);
        for caller in &mut callers {
            let status = caller.reply().await.status;
            assert!(matches!(status, 502 | 503), "{status}");
        }
        fleet.wait_ended(0).await;
    });
}
