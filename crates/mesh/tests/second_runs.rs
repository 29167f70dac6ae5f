//! Requests that are offered to a second gate while the first one still has them.

mod support;

use std::time::{Duration, Instant};

use support::raw::{RawPeer, run, sleep_ms};
use support::{Fleet, get, request};

/// How many requests a backend server in these tests runs at once: four fifths of its slots.
const CAPACITY: usize = 6;
/// The duration of the requests that keep the backend servers busy, in milliseconds.
const BUSY_MS: u64 = 1_400;
/// The time by which one of them starts if its gate admits it.
const START_WITHIN: Duration = Duration::from_millis(50);
/// The usual duration of requests on the idempotent route, in milliseconds.
const USUAL_MS: u64 = 60;

/// Fills all backend servers until the returned callers are dropped.
async fn occupy(fleet: &Fleet, servers: usize) -> Vec<RawPeer> {
    let prefix = format!("/post/slow/{BUSY_MS}");
    let mut callers = Vec::new();
    while callers.len() < servers * CAPACITY {
        let mut caller = fleet.caller(0).await;
        let target = format!("{prefix}?{}", callers.len());
        caller.send(request("POST", &target, "", "x")).await;
        // Callers whose request a gate refused or queued disconnect again.
        let started = Instant::now();
        while fleet.request_count(&target) == 0 && started.elapsed() < START_WITHIN {
            sleep_ms(1).await;
        }
        if fleet.request_count(&target) > 0 {
            callers.push(caller);
        }
    }
    callers
}

#[test]
fn a_request_that_two_gates_refuse_has_not_run() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        for _ in 0..10 {
            fleet.call(0, &get(&format!("/get/slow/{USUAL_MS}"))).await;
        }
        let _callers = occupy(&fleet, 2).await;
        let mut caller = fleet.caller(0).await;
        // The first gate queues the request; after a while it is offered to the second one, too.
        let text = get("/get/slow/61").replace("3000", "800");
        caller.send(text).await;
        let reply = caller.reply().await;
        sleep_ms(100).await;
        assert_eq!(fleet.request_count("/get/slow/61"), 0);
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
    });
}
