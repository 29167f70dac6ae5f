//! The service for callers while nodes, backend servers and callers fail, stop and restart.

mod support;

use std::time::{Duration, Instant};

use support::raw::{run, sleep_ms, within_deadline};
use support::{Fleet, TIMEOUT_MS, config, get, request, until};

/// The time within which a request is cancelled after its caller has disconnected, in milliseconds.
const CANCEL_MS: u64 = 500;
/// The time within which a restarted node is used again, in milliseconds.
const RECOVERY_MS: u64 = 2_000;
/// The slots of each backend server.
const SLOTS: usize = 8;

#[test]
fn an_idempotent_request_is_retried_when_its_gate_is_killed() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/500")).await;
        // A second run may have begun by the time that the first one is seen.
        until(|| fleet.request_count("/get/slow/500") >= 1).await;
        let first = 1 + usize::from(fleet.instances[2].backend.request_count("/get/slow/500") == 1);
        fleet.kill(first).await;
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "slow"));
        assert_eq!(fleet.request_count("/get/slow/500"), 2);
    });
}

#[test]
fn a_non_idempotent_request_fails_when_its_gate_is_killed() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller
            .send(request("POST", "/post/slow/500", "", "x"))
            .await;
        until(|| fleet.request_count("/post/slow/500") == 1).await;
        let first =
            1 + usize::from(fleet.instances[2].backend.request_count("/post/slow/500") == 1);
        fleet.kill(first).await;
        assert_eq!(caller.reply().await.status, 502);
        sleep_ms(100).await;
        assert_eq!(fleet.request_count("/post/slow/500"), 1);
    });
}

#[test]
fn requests_of_a_killed_ingress_are_cancelled() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/1400")).await;
        until(|| fleet.request_count("/get/slow/1400") == 1).await;
        fleet.kill(0).await;
        let backend = &fleet.instances[1].backend;
        let took = until(|| backend.has_dropped("/get/slow/1400")).await;
        assert!(took < Duration::from_millis(CANCEL_MS), "{took:?}");
    });
}

#[test]
fn requests_succeed_after_a_gate_is_killed() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        fleet.kill(1).await;
        for _ in 0..40 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
    });
}

#[test]
fn a_killed_node_is_used_again_after_a_restart() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        fleet.kill(1).await;
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 503);
        fleet.start_one(1);
        let restarted = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", restarted, RECOVERY_MS)
            .await;
    });
}

#[test]
fn a_stopped_node_is_used_again_after_a_restart() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        fleet.stop(1);
        fleet.wait_ended(1).await;
        fleet.start_one(1);
        let restarted = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", restarted, RECOVERY_MS)
            .await;
    });
}

#[test]
fn a_backend_server_that_closes_each_connection_is_avoided() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let broken = &fleet.instances[1].backend;
        // Makes the backend server reset the idle connection of the gate first.
        fleet
            .call(1, &request("POST", "/post/reset", "", "x"))
            .await;
        broken.set_accepting(false);
        let mut failed = 0;
        for _ in 0..60 {
            let reply = fleet.call(0, &get("/get/echo")).await;
            failed += usize::from(reply.status != 200);
        }
        assert!(failed <= 3, "{failed} of 60 failed");
        broken.set_accepting(true);
        let restarted = Instant::now();
        broken.clear_requests();
        while broken.total_requests() == 0 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
            assert!(restarted.elapsed() < Duration::from_millis(3 * RECOVERY_MS));
            sleep_ms(20).await;
        }
    });
}

/// Returns a non-idempotent request, which runs at one backend server only.
fn post(target: &str) -> String {
    request("POST", target, "", "x")
}

/// Sends `count` requests that take `ms` milliseconds, each on its own connection.
async fn send_many(fleet: &Fleet, count: usize, ms: u64) -> Vec<support::raw::RawPeer> {
    let mut callers = Vec::new();
    for i in 0..count {
        let mut caller = fleet.caller(0).await;
        caller.send(post(&format!("/post/slow/{ms}?{i}"))).await;
        callers.push(caller);
    }
    callers
}

#[test]
fn no_backend_server_runs_more_than_its_slots() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let backend = &fleet.instances[1].backend;
        backend.take_peak();
        let mut callers = send_many(&fleet, 30, 100).await;
        for caller in &mut callers {
            assert!(matches!(caller.reply().await.status, 200 | 503));
        }
        let peak = backend.take_peak();
        assert!((2..=SLOTS).contains(&peak), "{peak} at once");
    });
}

#[test]
fn callers_that_disconnect_free_exactly_their_own_slots() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let backend = &fleet.instances[1].backend;
        backend.take_peak();
        let before = full_peak(&fleet).await;
        // Some callers disconnect while their requests run, some while they wait, and some as they are
        // admitted.
        for round in 0..30 {
            let mut callers = send_many(&fleet, 14, 30).await;
            sleep_ms(round).await;
            callers.truncate(round as usize % 7);
            sleep_ms(3).await;
        }
        until(|| backend.take_peak() == 0).await;
        assert_eq!(full_peak(&fleet).await, before);
    });
}

/// Returns how many requests run at once under more load than the backend server can take.
async fn full_peak(fleet: &Fleet) -> usize {
    let backend = &fleet.instances[1].backend;
    backend.take_peak();
    let mut callers = send_many(fleet, 16, 60).await;
    for caller in &mut callers {
        caller.reply().await;
    }
    backend.take_peak()
}

#[test]
fn a_queued_request_runs_as_soon_as_a_slot_is_free() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let capacity = full_peak(&fleet).await;
        let running = send_many(&fleet, capacity, 1_400).await;
        until(|| fleet.request_count_by_prefix("/post/slow/1400") == capacity).await;
        let mut waiting = fleet.caller(0).await;
        waiting.send(post("/post/slow/1")).await;
        sleep_ms(50).await;
        assert_eq!(fleet.request_count("/post/slow/1"), 0);
        drop(running);
        let free = Instant::now();
        assert_eq!(waiting.reply().await.status, 200);
        assert!(free.elapsed() < Duration::from_millis(CANCEL_MS));
    });
}

#[test]
fn the_slot_of_a_disconnected_caller_goes_to_the_next_queued_request() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let capacity = full_peak(&fleet).await;
        let _holders = send_many(&fleet, capacity - 1, 1_300).await;
        until(|| fleet.request_count_by_prefix("/post/slow/1300") == capacity - 1).await;
        // The connection that closes has one request that runs and one that waits.
        let mut leaving = fleet.caller(0).await;
        leaving.send(post("/post/slow/1200")).await;
        until(|| fleet.request_count("/post/slow/1200") == 1).await;
        leaving.send(post("/post/slow/1100")).await;
        sleep_ms(50).await;
        let mut waiting = fleet.caller(0).await;
        waiting.send(post("/post/slow/1")).await;
        sleep_ms(50).await;
        assert_eq!(fleet.request_count("/post/slow/1"), 0);
        drop(leaving);
        let free = Instant::now();
        assert_eq!(waiting.reply().await.status, 200);
        let took = free.elapsed();
        assert!(took < Duration::from_millis(CANCEL_MS), "{took:?}");
    });
}

#[test]
fn a_slot_granted_out_of_order_goes_to_the_next_queued_request_after_a_disconnect() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let capacity = full_peak(&fleet).await;
        let mut running = send_many(&fleet, capacity, 1_400).await;
        until(|| fleet.request_count_by_prefix("/post/slow/1400") == capacity).await;
        // The first request of this connection waits beyond its latency target, so that the second
        // one overtakes it when a slot is free.
        let mut leaving = fleet.caller(0).await;
        leaving.send(post("/post/slow/1100")).await;
        sleep_ms(250).await;
        leaving.send(post("/post/slow/1200")).await;
        sleep_ms(20).await;
        running.pop();
        until(|| fleet.request_count("/post/slow/1200") == 1).await;
        let mut waiting = fleet.caller(0).await;
        waiting.send(post("/post/slow/1")).await;
        sleep_ms(250).await;
        assert_eq!(
            fleet.request_count("/post/slow/1") + fleet.request_count("/post/slow/1100"),
            0
        );
        drop(leaving);
        let free = Instant::now();
        assert_eq!(waiting.reply().await.status, 200);
        let took = free.elapsed();
        assert!(took < Duration::from_millis(CANCEL_MS), "{took:?}");
    });
}

#[test]
fn requests_beyond_the_capacity_are_refused_with_a_retry_time() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut callers = send_many(&fleet, 60, 400).await;
        let mut refused = 0;
        for caller in &mut callers {
            let reply = caller.reply().await;
            if reply.status == 200 {
                continue;
            }
            assert_eq!(reply.status, 503);
            refused += 1;
            let retry_after = reply.header("retry-after").expect("a time");
            let retry_after: f64 = retry_after.parse().expect("seconds");
            assert!(
                retry_after > 0.0 && retry_after <= TIMEOUT_MS as f64 / 3_000.0,
                "{retry_after} s"
            );
        }
        assert!(refused > 0);
    });
}

#[test]
fn an_unresponsive_gate_is_avoided() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s"]).await;
        let silent = fleet.listen_silently(2).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(0);
        fleet.start_one(1);
        until(|| silent.get() > 0).await;
        fleet.wait_ready(0).await;
        let mut failed = 0;
        for _ in 0..40 {
            let reply = fleet.call(0, &get("/get/echo")).await;
            failed += usize::from(reply.status != 200);
            sleep_ms(20).await;
        }
        assert!(failed <= 2, "{failed} of 40 failed");
    });
}

#[test]
fn a_request_without_an_id_is_answered() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let text = get("/get/echo").replace("Oriolering-Request-Id: id-1\r\n", "");
        let begun = Instant::now();
        let reply = fleet.call(0, &text).await;
        assert_ne!(reply.status, 504);
        assert!(begun.elapsed() < Duration::from_millis(1_000));
    });
}

#[test]
fn a_body_beyond_the_limit_of_the_configuration_gets_413() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let body = "b".repeat(1_000_001);
        let reply = fleet
            .call(0, &request("POST", "/post/echo", "", &body))
            .await;
        assert_eq!(reply.status, 413);
        assert_eq!(fleet.request_count("/post/echo"), 0);
    });
}

#[test]
fn the_response_to_head_does_not_disturb_the_next_one() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let both = request("HEAD", "/get/echo", "", "") + &get("/get/echo");
        caller.send(both).await;
        assert_eq!(caller.reply_head().await.status, 200);
        assert_eq!(caller.reply().await.text(), "i-3 ");
    });
}

#[test]
fn a_caller_that_expects_100_continue_is_served() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let headers = "Expect: 100-continue\r\nContent-Length: 3\r\n";
        caller
            .send(request("POST", "/post/echo", headers, ""))
            .await;
        assert_eq!(caller.reply_head().await.status, 100);
        caller.send("abc").await;
        assert_eq!(caller.reply().await.text(), "i-3 abc");
        let seen = fleet.instances[1]
            .backend
            .find("/post/echo")
            .expect("it came");
        assert_eq!(seen.header("expect"), None);
    });
}

#[test]
fn many_concurrent_callers_get_their_own_responses() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s", "front"]).await;
        let mut callers = Vec::new();
        for i in 0..80_usize {
            let mut caller = fleet.caller(if i % 2 == 0 { 0 } else { 3 }).await;
            let body = format!("body-{i}-{}", "x".repeat(i * 300));
            let text = request("POST", "/post/echo", "", &body);
            caller.send(text.replace("id-1", &format!("id-{i}"))).await;
            callers.push((caller, i, body));
        }
        for (caller, i, body) in &mut callers {
            let reply = within_deadline(caller.reply()).await;
            if reply.status == 503 {
                continue;
            }
            assert_eq!(reply.status, 200);
            assert_eq!(
                reply.header("oriolering-request-id"),
                Some(&*format!("id-{i}"))
            );
            assert!(reply.text().ends_with(body.as_str()));
        }
    });
}

#[test]
fn nothing_is_sent_to_an_address_that_answers_as_another_backend_server() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let served = fleet.call(0, &get("/get/before")).await;
        assert_eq!(served.status, 200);
        fleet.unpublish(1);
        fleet.publish_as(1, "i-old");
        sleep_ms(300).await;
        let reply = fleet.call(0, &get("/get/after")).await;
        assert_eq!(reply.status, 503);
        assert_eq!(fleet.request_count("/get/after"), 0);
    });
}
