//! Backend servers that are cold and accept few requests per second.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use support::backend::Backend;
use support::raw::{run, sleep_ms};
use support::{Fleet, config, get};

const SECOND: Duration = Duration::from_secs(1);
const COLD_REMAINING: &str = "oriolering-cold-remaining-ms";
/// The requests per second that a cold backend server accepts.
const PER_S: u64 = 10;
/// The most requests in any second that the platform allows a cold backend server.
const MAX_IN_A_SECOND: usize = (PER_S * 3 / 2 + 8) as usize;

fn slow_start_config() -> Value {
    let mut config = config(1, "s");
    for service in config["services"].as_array_mut().expect("a list") {
        service["cold_start_s"] = json!(2.0);
        service["cold_per_s"] = json!(PER_S);
    }
    config
}

async fn serving_fleet(services: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(services).await;
    fleet.store.put("op/config", &slow_start_config());
    fleet.start_all();
    fleet.wait_all_serving().await;
    fleet
}

/// Sends a request through a node every 10 ms for `ms` milliseconds without waiting for responses,
/// and then waits until all are answered. Returns how many were sent and how many were served.
async fn send_load(fleet: &Fleet, index: usize, ms: u64) -> (usize, usize) {
    let begun = Instant::now();
    let mut callers = Vec::new();
    while begun.elapsed() < Duration::from_millis(ms) {
        let mut caller = fleet.caller(index).await;
        caller.send(get("/get/echo?load")).await;
        callers.push(caller);
        sleep_ms(10).await;
    }
    let sent = callers.len();
    let mut served = 0;
    for mut caller in callers {
        served += usize::from(caller.reply().await.status == 200);
    }
    (sent, served)
}

/// Makes a backend server say in its health responses that it stays cold for `ms` milliseconds, and
/// drops the requests that it got before.
fn set_cold(backend: &Backend, ms: &str) {
    backend.clear_requests();
    backend.set_answer_headers(&[(COLD_REMAINING, ms)]);
    backend.set_headers_in_health(true);
}

/// Guards against a busy backend server that becomes cold and goes on getting its usual load.
#[test]
fn a_backend_server_that_becomes_cold_gets_few_requests_and_others_the_rest() {
    run(async {
        let fleet = serving_fleet(&["front", "s", "s"]).await;
        send_load(&fleet, 0, 400).await;
        let backend = &fleet.instances[1].backend;
        let since = Instant::now();
        set_cold(backend, "2000");
        fleet.events(1, "server_cold").await;
        let (sent, served) = send_load(&fleet, 0, 1_500).await;
        let most = fleet.instances[1].backend.max_requests_in(SECOND, since);
        assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
        assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
        backend.set_answer_headers(&[]);
        fleet.events(1, "server_warm").await;
    });
}

/// Guards against a new node that does not know what its predecessor sent.
#[test]
fn a_new_gate_beside_a_cold_backend_server_starts_at_the_lowest_rate() {
    run(async {
        let mut fleet = serving_fleet(&["front", "s"]).await;
        let backend = fleet.instances[1].backend.clone();
        set_cold(&backend, "3000");
        fleet.events(1, "server_cold").await;
        let since = Instant::now();
        send_load(&fleet, 0, 300).await;
        fleet.kill(1).await;
        fleet.start_one(1);
        send_load(&fleet, 0, 1_200).await;
        let most = fleet.instances[1].backend.max_requests_in(SECOND, since);
        assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    });
}

/// Guards against requests that wait until their deadline at a cold backend server.
#[test]
fn requests_that_do_not_fit_are_refused_with_a_retry_time() {
    run(async {
        let fleet = serving_fleet(&["front", "s"]).await;
        let backend = &fleet.instances[1].backend;
        set_cold(backend, "60000");
        fleet.events(1, "server_cold").await;
        let mut callers = Vec::new();
        for _ in 0..60 {
            let mut caller = fleet.caller(0).await;
            caller.send(get("/get/echo?flood")).await;
            callers.push(caller);
        }
        let mut refused = 0;
        for mut caller in callers {
            let reply = caller.reply().await;
            if reply.status == 503 {
                assert!(reply.header("retry-after").is_some());
                refused += 1;
            }
        }
        assert!(refused > 0);
    });
}
