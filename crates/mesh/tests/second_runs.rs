//! Requests that are offered to a second gate while the first one still holds them.

mod support;

use std::time::{Duration, Instant};

use support::raw::{Raw, pass, run};
use support::{Fleet, get, request};

/// How many requests a backend server of these tests runs at once: four fifths of its slots.
const CAPACITY: usize = 6;
/// How long the requests run that keep the backend servers busy, in milliseconds.
const HELD_MS: u64 = 1_400;
/// How soon one of them begins if it is let in.
const START: Duration = Duration::from_millis(50);
/// The usual duration of the requests on the idempotent route here, in milliseconds.
const USUAL_MS: u64 = 60;

/// Keeps all backend servers busy; they are free again when the callers are dropped.
async fn hold(fleet: &Fleet, servers: usize) -> Vec<Raw> {
    let like = format!("/post/slow/{HELD_MS}");
    let mut callers = Vec::new();
    while callers.len() < servers * CAPACITY {
        let mut caller = fleet.caller(0).await;
        let target = format!("{like}?{}", callers.len());
        caller.send(request("POST", &target, "", "x")).await;
        // One that a gate refused or lets wait leaves again.
        let begun = Instant::now();
        while fleet.request_count(&target) == 0 && begun.elapsed() < START {
            pass(1).await;
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
        let _holders = hold(&fleet, 2).await;
        let mut caller = fleet.caller(0).await;
        // The first gate lets it wait; after a while it is offered to the second one, too.
        let text = get("/get/slow/61").replace("3000", "800");
        caller.send(text).await;
        let reply = caller.reply().await;
        pass(100).await;
        assert_eq!(fleet.request_count("/get/slow/61"), 0);
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
    });
}
