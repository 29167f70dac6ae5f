//! What repeats cost the services that they lead to.

mod support;

use support::raw::{pass, run};
use support::{Fleet, config_with_calls, get};

/// The requests of callers, each of which is broken off once.
const REQUESTS: usize = 10;
/// The calls that each run of one makes.
const CALLS: usize = 20;
/// The platform's documented bounds: repeats in percent of the requests, and the slack.
const PERCENT: usize = 20;
const SLACK: usize = 60;

#[test]
fn calls_of_repeated_runs_stay_within_the_budget_of_the_called_service() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s", "t"]).await;
        fleet.store.put("op/config", &config_with_calls(1));
        fleet.start_all();
        fleet.wait_all_serving().await;
        for number in 0..REQUESTS {
            let target = format!("/get/call/{CALLS}/reset-once?{number}");
            let request = get(&target).replace("id-1", &format!("id-{number}"));
            fleet.call(0, &request).await;
        }
        pass(50).await;
        let called = fleet.request_count_by_prefix("/inner/");
        let repeated: usize = (0..REQUESTS)
            .map(|number| fleet.request_count_by_prefix(&format!("/inner/echo?{number}-repeat-")))
            .sum();
        let allowed = called * PERCENT / 100 + SLACK;
        assert!(repeated > 0, "no run was repeated");
        assert!(
            repeated <= allowed,
            "{repeated} of {called} calls were made by repeated runs, {allowed} are allowed"
        );
    });
}

/// How often the node starts, and the requests that are broken off once after each start.
const STARTS: usize = 6;
const AFTER_START: usize = 25;

#[test]
fn repeats_of_a_node_that_starts_again_and_again_stay_within_the_budget() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        for start in 0..STARTS {
            for number in 0..AFTER_START {
                let target = format!("/get/reset-once?{start}-{number}");
                fleet.call(0, &get(&target)).await;
            }
            fleet.kill(0).await;
            fleet.start_one(0);
            fleet.wait_ready(0).await;
            fleet.wait_for_backends(0).await;
        }
        let requests = STARTS * AFTER_START;
        let repeats = fleet.request_count_by_prefix("/get/reset-once") - requests;
        let allowed = requests * PERCENT / 100 + SLACK;
        assert!(repeats > 0, "no request was repeated");
        assert!(
            repeats <= allowed,
            "{repeats} of {requests} requests were repeated, {allowed} are allowed"
        );
    });
}
