//! The load that repeats put on the services that they reach.

mod support;

use support::raw::{run, sleep_ms};
use support::{Fleet, config_with_calls, get};

/// The requests of callers; the connection of each is reset once.
const REQUESTS: usize = 10;
/// The calls that each run of a request makes.
const CALLS: usize = 20;
/// The platform's documented bound: repeats as a percentage of the requests.
const PERCENT: usize = 20;
/// The platform's documented bound: repeats beyond that percentage.
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
        sleep_ms(50).await;
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

/// How often the node starts.
const STARTS: usize = 6;
/// The requests after each start; the connection of each is reset once.
const REQUESTS_PER_START: usize = 25;

#[test]
fn repeats_of_a_repeatedly_restarted_node_stay_within_the_budget() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        for start in 0..STARTS {
            for number in 0..REQUESTS_PER_START {
                let target = format!("/get/reset-once?{start}-{number}");
                fleet.call(0, &get(&target)).await;
            }
            fleet.kill(0).await;
            fleet.start_one(0);
            fleet.wait_ready(0).await;
            fleet.wait_for_backends(0).await;
        }
        let requests = STARTS * REQUESTS_PER_START;
        let repeats = fleet.request_count_by_prefix("/get/reset-once") - requests;
        let allowed = requests * PERCENT / 100 + SLACK;
        assert!(repeats > 0, "no request was repeated");
        assert!(
            repeats <= allowed,
            "{repeats} of {requests} requests were repeated, {allowed} are allowed"
        );
    });
}
