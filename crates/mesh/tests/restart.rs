//! Restarted nodes while serializable reads of the store return old data.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::raw::{run, sleep_ms, within_deadline};
use support::{Fleet, config, get, request};

/// How long requests are sent to a started node, in milliseconds; by then a watch has delivered
/// all.
const REQUESTS_FOR_MS: u64 = 600;
/// The time by which a change in the store is in force, in milliseconds.
const APPLY_WITHIN_MS: u64 = 2_000;

/// Sends requests to a node from its start on, and returns the statuses of the answers.
async fn statuses_after_start(fleet: &Fleet, index: usize) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < Duration::from_millis(REQUESTS_FOR_MS) {
        // The node does not listen immediately.
        if fleet.ready_status(index).await != 0 {
            let got = fleet.call(index, &get("/get/after")).await;
            let posted = request("POST", "/post/after", "", "x");
            let posted = fleet.call(index, &posted).await;
            statuses.extend([got.status, posted.status]);
        }
        sleep_ms(2).await;
    }
    statuses
}

/// Guards against requests that reach a backend server of another service: while a node is down,
/// the address of a backend server passes to another service, and the node's first read of the
/// store still returns the old entry.
#[rstest]
#[case::of_the_local_backend_server(&["s"], 0, 0)]
#[case::of_another_instance(&["front", "s"], 0, 1)]
#[case::of_the_local_backend_server_with_a_peer(&["front", "s"], 1, 1)]
fn a_restarted_node_sends_nothing_to_an_address_that_passed_to_another_service(
    #[case] services: &[&str],
    #[case] node: usize,
    #[case] server: usize,
) {
    run(async {
        let mut fleet = Fleet::serving(services).await;
        fleet.kill(node).await;
        fleet.store.serve_stale_reads();
        fleet.reassign_address(server, "i-new", "t");
        let backend = fleet.instances[server].backend.clone();
        backend.clear_requests();

        fleet.start_one(node);
        let statuses = statuses_after_start(&fleet, node).await;

        assert_eq!(
            backend.total_requests(),
            0,
            "sent to the new one as the old one"
        );
        assert!(statuses.len() > 20, "{} requests", statuses.len());
        assert!(statuses.iter().all(|s| *s == 503), "{statuses:?}");

        fleet.store.put("op/config", &config(2, "t"));
        let changed = Instant::now();
        while fleet.call(node, &get("/get/echo")).await.text() != "i-new " {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_WITHIN_MS));
            sleep_ms(10).await;
        }
        let seen = backend.find("/get/echo").expect("it came");
        assert_eq!(seen.header("oriolering-target-instance"), Some("i-new"));
    });
}

/// How long the store must be silent for a peer until the peer's knowledge counts as old, in
/// milliseconds.
const STALE_AFTER_MS: u64 = 3_500;

/// Guards against a restarted node that trusts two stale sources: serializable reads of the store
/// return old data, and the only peer knows no more, since the store is silent for it.
#[rstest]
fn a_restarted_node_uses_no_entry_that_only_a_stale_peer_and_a_stale_read_name(
    #[values(false, true)] pages: bool,
) {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s"]).await;
        if pages {
            fleet.store.set_page_size(2);
        }
        fleet.store.put("op/config", &config(1, "s"));
        let peers_store = fleet.start_at_own_store(0).await;
        fleet.start_one(1);
        fleet.start_one(2);
        fleet.wait_all_serving().await;
        fleet.kill(1).await;
        fleet.kill(2).await;
        fleet.store.stop_answering(peers_store);
        sleep_ms(STALE_AFTER_MS).await;
        fleet.store.serve_stale_reads();
        fleet.reassign_address(1, "i-new", "t");
        let backend = fleet.instances[1].backend.clone();
        backend.clear_requests();

        fleet.start_one(1);
        fleet.start_one(2);
        let statuses = statuses_after_start(&fleet, 2).await;

        assert!(statuses.len() > 20, "{} requests", statuses.len());
        assert_eq!(
            backend.total_requests(),
            0,
            "sent to the new one as the old one"
        );
        // The remaining backend server of the service serves.
        assert_eq!(fleet.call(2, &get("/get/echo")).await.status, 200);
    });
}

/// The server list does not fit in one page of the store, so that a full read takes several
/// requests.
#[test]
fn a_restarted_node_confirms_its_read_with_a_peer() {
    run(async {
        let mut fleet = Fleet::new(&["s", "s", "front"]).await;
        fleet.store.set_page_size(2);
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_all();
        fleet.wait_all_serving().await;
        // By now a watching node has heard from the store.
        sleep_ms(1_500).await;
        fleet.kill(2).await;
        fleet.store.take_requests();
        fleet.start_one(2);
        fleet.wait_ready(2).await;

        let asked = fleet.store.take_requests();
        let reads = asked
            .iter()
            .filter(|path| !path.starts_with("/v1/kv-watch"));
        let reads: Vec<&String> = reads.collect();
        assert_eq!(reads.len(), 1, "{reads:?}");
        assert!(reads[0].contains("serializable=1"), "{reads:?}");
        let confirmed = fleet.events(2, "list_confirmed").await;
        assert_eq!(confirmed[0]["by"], "peer");
        fleet.wait_for_backends(2).await;
    });
}

/// A node that the store rejects restarts while a peer is up.
#[test]
fn a_restarted_node_without_the_store_uses_what_peers_know() {
    run(async {
        let mut fleet = Fleet::serving(&["s", "s", "front"]).await;
        fleet.kill(2).await;
        fleet.start_without_store(2);
        within_deadline(fleet.wait_ready(2)).await;
        fleet.wait_for_backends(2).await;
    });
}
