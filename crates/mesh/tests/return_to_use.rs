//! Backend servers that were out of use, and must be used again without a change of the server list.

mod support;

use std::time::Instant;

use rstest::rstest;
use serde_json::{Value, json};
use support::backend::USUAL_LOAD;
use support::raw::{run, sleep_ms};
use support::{Fleet, config, get, request};

/// The time within which a backend server that is up again must be used, in milliseconds
/// (`stable_window_ms`).
const RETURN_MS: u64 = 3_000;
/// How long a backend server is out of use, in milliseconds: longer than it takes to lose the
/// probes that close its gate.
const OUTAGE_MS: u64 = 1_500;

/// The duration of long requests, in milliseconds: at a quarter of the speed they would not end
/// before the timeout of their route.
const WORK_MS: u64 = 850;
/// The number of long requests from which a node learns their duration.
const WARM_REQUESTS: usize = 8;
/// How long after its last request a backend server is still probed, and a longer time, in
/// milliseconds.
const PROBED_MS: u64 = 3_200;
const IDLE_MS: u64 = 4_500;

/// The time by which a removed entry is out of use at all nodes, in milliseconds.
const REMOVED_MS: u64 = 3_000;

/// How a backend server goes out of use.
#[derive(Clone, Copy)]
enum Outage {
    /// New connections are refused.
    Refuses,
    /// New connections are closed at once.
    Closes,
}

impl Outage {
    async fn begin(self, fleet: &Fleet, index: usize) {
        let backend = &fleet.instances[index].backend;
        match self {
            Self::Refuses => backend.crash(),
            Self::Closes => {
                backend.set_accepting(false);
                // Makes the backend server reset the idle connection of its gate.
                let reset = request("POST", "/post/reset", "", "x");
                fleet.call(index, &reset).await;
            }
        }
    }

    async fn end(self, fleet: &Fleet, index: usize) {
        let backend = &fleet.instances[index].backend;
        match self {
            Self::Refuses => backend.listen().await,
            Self::Closes => backend.set_accepting(true),
        }
    }
}

/// Sends requests to a node until the backend server has been out of use for long.
async fn send_through_outage(fleet: &Fleet, ingress: usize) {
    let begun = Instant::now();
    while begun.elapsed().as_millis() < u128::from(OUTAGE_MS) {
        fleet.call(ingress, &get("/get/echo")).await;
        sleep_ms(50).await;
    }
}

/// Guards against a gate that stays closed beside a backend server which reports no load: only a
/// report opened it again.
#[rstest]
#[case::refuses(Outage::Refuses, true)]
#[case::refuses_and_reports_no_load(Outage::Refuses, false)]
#[case::closes(Outage::Closes, true)]
#[case::closes_and_reports_no_load(Outage::Closes, false)]
fn a_backend_server_that_was_down_is_used_again(#[case] outage: Outage, #[case] tells_load: bool) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        fleet.instances[1]
            .backend
            .set_load(tells_load.then_some(USUAL_LOAD));
        outage.begin(&fleet, 1).await;
        send_through_outage(&fleet, 0).await;
        outage.end(&fleet, 1).await;
        let ended = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", ended, RETURN_MS)
            .await;
    });
}

/// Guards against a closed gate that never asks its backend server whether it is up: a service that
/// the configuration does not describe has no health path.
#[test]
fn a_backend_server_without_a_health_path_is_used_again() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        let mut config = config(1, "s");
        config["services"] = json!([]);
        fleet.store.put("op/config", &config);
        fleet.start_all();
        fleet.wait_all_serving().await;
        Outage::Refuses.begin(&fleet, 1).await;
        send_through_outage(&fleet, 0).await;
        Outage::Refuses.end(&fleet, 1).await;
        let ended = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", ended, RETURN_MS)
            .await;
    });
}

/// Guards against a gate that refuses the new backend server at an address because the previous one
/// was the last to respond: without a health path, no probe asks who is there.
#[rstest]
#[case::without_health_path(json!([]))]
#[case::with_health_path(json!([{"name": "s", "health_path": "/health", "max_connections": 64}]))]
fn a_new_backend_server_at_an_address_is_used(#[case] services: Value) {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        let mut config = config(1, "s");
        config["services"] = services;
        fleet.store.put("op/config", &config);
        fleet.start_all();
        fleet.wait_all_serving().await;
        fleet.unpublish(1);
        sleep_ms(REMOVED_MS).await;
        fleet.instances[1].backend.set_id("i-new");
        fleet.publish_as(1, "i-new");
        let listed = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", listed, RETURN_MS)
            .await;
    });
}

/// Guards against a request that is refused because the backend server was slow when it was last
/// in use, long ago.
#[test]
fn a_gate_refuses_nothing_by_a_report_of_long_ago() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let backend = &fleet.instances[1].backend;
        for number in 0..WARM_REQUESTS {
            let target = format!("/get/slow/{WORK_MS}?{number}");
            fleet.call(0, &get(&target)).await;
        }
        backend.set_load(Some("0,0,8,400"));
        sleep_ms(PROBED_MS).await;
        backend.set_load(Some(USUAL_LOAD));
        sleep_ms(IDLE_MS - PROBED_MS).await;
        let reply = fleet.call(0, &get(&format!("/get/slow/{WORK_MS}"))).await;
        assert_eq!(reply.status, 200);
    });
}

/// Guards against an ingress that never uses the gate of its own node again: it learned only from
/// offers to it whether it was closed.
#[rstest]
#[case::refuses(Outage::Refuses)]
#[case::closes(Outage::Closes)]
fn a_node_uses_its_own_backend_server_again(#[case] outage: Outage) {
    run(async {
        let fleet = Fleet::serving(&["s"]).await;
        outage.begin(&fleet, 0).await;
        send_through_outage(&fleet, 0).await;
        outage.end(&fleet, 0).await;
        let ended = Instant::now();
        fleet
            .wait_for_target(0, "/get/echo", ended, RETURN_MS)
            .await;
    });
}

/// Guards against a share of nothing for a node's own backend server that was down while there are
/// others.
#[test]
fn a_node_prefers_no_other_backend_server_for_good() {
    run(async {
        let fleet = Fleet::serving(&["s", "s"]).await;
        Outage::Refuses.begin(&fleet, 0).await;
        send_through_outage(&fleet, 0).await;
        Outage::Refuses.end(&fleet, 0).await;
        sleep_ms(RETURN_MS).await;
        fleet.instances[0].backend.clear_requests();
        for _ in 0..40 {
            fleet.call(0, &get("/get/echo")).await;
            sleep_ms(10).await;
        }
        assert!(fleet.instances[0].backend.total_requests() > 0);
    });
}
