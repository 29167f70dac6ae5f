//! Requests that crash each backend server that runs them.

mod support;

use std::time::{Duration, Instant};

use support::raw::{run, sleep_ms, within_deadline};
use support::{Fleet, TIMEOUT_MS, get, request, until};

/// How long to wait until all nodes know of a crash, in milliseconds; many times as long as a
/// message takes on one machine.
const PROPAGATION_MS: u64 = 100;

/// Returns how many backend servers have crashed.
fn crashed(fleet: &Fleet) -> usize {
    let backends = fleet.instances.iter().map(|i| &i.backend);
    backends.filter(|b| !b.is_listening()).count()
}

/// Restarts all crashed backend servers, and waits until they are used again.
async fn restart_crashed(fleet: &Fleet) {
    for instance in &fleet.instances {
        if !instance.backend.is_listening() {
            instance.backend.listen().await;
        }
    }
    let path = "/get/echo?revived";
    let servers = || fleet.instances.iter().filter(|i| i.backend.service == "s");
    servers().for_each(|i| i.backend.clear_requests());
    while !servers().all(|i| i.backend.request_count(path) > 0) {
        fleet.call(0, &get(path)).await;
        sleep_ms(5).await;
    }
    servers().for_each(|i| i.backend.clear_requests());
}

#[test]
fn a_request_that_crashed_two_backend_servers_is_refused_by_all_nodes() {
    run(async {
        let fleet = Fleet::serving(&["front", "front", "s", "s", "s"]).await;
        let reply = fleet.call(0, &get("/get/crash")).await;
        assert_eq!(reply.status, 502);
        assert_eq!(crashed(&fleet), 2);
        sleep_ms(PROPAGATION_MS).await;
        for node in [0, 1, 0, 1] {
            let reply = fleet.call(node, &get("/get/crash")).await;
            assert_eq!(reply.status, 503);
            let retry_after: f64 = reply
                .header("retry-after")
                .and_then(|value| value.parse().ok())
                .expect("a time");
            assert!(retry_after > 60.0, "{retry_after} s");
        }
        assert_eq!(fleet.request_count("/get/crash"), 2);
        assert_eq!(crashed(&fleet), 2);
    });
}

#[test]
fn a_non_idempotent_request_is_refused_after_two_crashes() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let poison = request("POST", "/post/crash", "", "deposit");
        for _ in 0..2 {
            assert_eq!(fleet.call(0, &poison).await.status, 502);
            assert_eq!(crashed(&fleet), 1);
            restart_crashed(&fleet).await;
        }
        assert_eq!(fleet.call(0, &poison).await.status, 503);
        assert_eq!(crashed(&fleet), 0);
    });
}

#[test]
fn a_node_that_starts_later_refuses_a_quarantined_request() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s", "s", "front"]).await;
        fleet.store.put("op/config", &support::config(1, "s"));
        for index in 0..4 {
            fleet.start_one(index);
        }
        fleet.wait_ready(0).await;
        restart_crashed(&fleet).await;
        assert_eq!(fleet.call(0, &get("/get/crash")).await.status, 502);
        fleet.start_one(4);
        fleet.wait_ready(4).await;
        // Its links to the other nodes are up once they serve a request for it.
        while fleet.call(4, &get("/get/echo")).await.status != 200 {
            sleep_ms(5).await;
        }
        sleep_ms(2 * PROPAGATION_MS).await;
        let before = fleet.request_count("/get/crash");
        assert_eq!(fleet.call(4, &get("/get/crash")).await.status, 503);
        assert_eq!(fleet.request_count("/get/crash"), before);
    });
}

#[test]
fn requests_in_flight_beside_a_crashing_one_are_served() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s", "s"]).await;
        let mut callers = Vec::new();
        for i in 0..6 {
            let mut caller = fleet.caller(0).await;
            let begun = Instant::now();
            caller.send(get(&format!("/get/slow/300?{i}"))).await;
            callers.push(tokio::task::spawn_local(async move {
                (caller.reply().await.status, begun.elapsed())
            }));
        }
        until(|| fleet.request_count_by_prefix("/get/slow/300") >= 6).await;
        assert_eq!(fleet.call(0, &get("/get/crash")).await.status, 502);
        for caller in callers {
            // A request that was in flight at both crashes may not be sent a third time.
            let (status, took) = within_deadline(caller).await.expect("a reply");
            // Suspects run one at a time, so the last one may reach the timeout of the route.
            let timed_out = status == 504 && took >= Duration::from_millis(TIMEOUT_MS);
            assert!(
                matches!(status, 200 | 502 | 503) || timed_out,
                "{status} after {took:?}"
            );
        }
        restart_crashed(&fleet).await;
        sleep_ms(PROPAGATION_MS).await;
        assert_eq!(fleet.call(0, &get("/get/crash")).await.status, 503);
        let other = request("GET", "/get/crash?other", "", "");
        assert_eq!(fleet.call(0, &get("/get/slow/5")).await.status, 200);
        assert_eq!(fleet.call(0, &other).await.status, 502);
    });
}

#[test]
fn a_suspect_that_finishes_is_cleared() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let harmless = request("POST", "/post/slow/200", "", "x");
        for _ in 0..3 {
            let mut caller = fleet.caller(0).await;
            caller.send(harmless.as_str()).await;
            until(|| fleet.request_count("/post/slow/200") == 1).await;
            fleet.instances[1].backend.crash();
            assert_eq!(caller.reply().await.status, 502);
            restart_crashed(&fleet).await;
            assert_eq!(fleet.call(0, &harmless).await.status, 200);
            fleet.instances[1].backend.clear_requests();
        }
    });
}

#[test]
fn suspects_run_one_at_a_time() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let backend = &fleet.instances[1].backend;
        let text = |i: usize| request("POST", &format!("/post/slow/80?{i}"), "", "x");
        let mut callers = Vec::new();
        for i in 0..4 {
            let mut caller = fleet.caller(0).await;
            caller.send(text(i)).await;
            callers.push(caller);
        }
        until(|| fleet.request_count_by_prefix("/post/slow/80") == 4).await;
        backend.crash();
        for caller in &mut callers {
            assert_eq!(caller.reply().await.status, 502);
        }
        restart_crashed(&fleet).await;
        backend.take_peak();
        let mut callers = Vec::new();
        for i in 0..4 {
            let mut caller = fleet.caller(0).await;
            caller.send(text(i)).await;
            callers.push(caller);
        }
        for caller in &mut callers {
            assert_eq!(caller.reply().await.status, 200);
        }
        assert_eq!(backend.take_peak(), 1);
    });
}

#[test]
fn a_connection_reset_alone_creates_no_suspect() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        for sent in 1..=5 {
            let reply = fleet
                .call(0, &request("POST", "/post/reset", "", "x"))
                .await;
            assert_eq!(reply.status, 502);
            assert_eq!(fleet.request_count("/post/reset"), sent);
        }
    });
}
