//! Nodes that shut down.

use std::time::{Duration, Instant};

use crate::responding_service;
use crate::support::raw::{run, sleep_ms};
use crate::support::{Fleet, GRACE_MS, get, request, until};

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
