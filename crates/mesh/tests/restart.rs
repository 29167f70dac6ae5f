//! What a node sends that starts again while the store's cheap reads are old.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::raw::{pass, run, soon};
use support::{Fleet, config, get, request};

/// How long requests are sent to a node that has started; a watch has told all by then.
const WATCHED_MS: u64 = 600;
/// How soon a change of the store is in force, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Sends requests to a node from its start on; returns the statuses that their callers got.
async fn statuses_after_start(fleet: &Fleet, index: usize) -> Vec<u16> {
    let begun = Instant::now();
    let mut statuses = Vec::new();
    while begun.elapsed() < Duration::from_millis(WATCHED_MS) {
        // Nothing listens in the first moment.
        if fleet.ready_status(index).await != 0 {
            let asked = fleet.call(index, &get("/get/after")).await;
            let posted = request("POST", "/post/after", "", "x");
            let posted = fleet.call(index, &posted).await;
            statuses.extend([asked.status, posted.status]);
        }
        pass(2).await;
    }
    statuses
}

/// The address of a backend server goes to one of another service while a node is down.
#[rstest]
#[case::of_the_backend_server_beside_it(&["s"], 0, 0)]
#[case::of_another_instance(&["front", "s"], 0, 1)]
#[case::of_the_backend_server_beside_it_with_a_peer(&["front", "s"], 1, 1)]
fn a_node_that_starts_again_sends_nothing_to_an_address_that_another_service_has(
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
            assert!(changed.elapsed() < Duration::from_millis(APPLY_MS));
            pass(10).await;
        }
        let seen = backend.find("/get/echo").expect("it came");
        assert_eq!(seen.header("oriolering-target-instance"), Some("i-new"));
    });
}

/// How long a store may be silent for a peer until what that knows counts as old.
const BEHIND_MS: u64 = 3_500;

/// The cheap reads of the store are old, and so is what the only peer knows, since the store is
/// silent for it.
#[rstest]
fn a_node_that_starts_again_uses_nothing_that_a_peer_and_an_old_read_still_name(
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
        pass(BEHIND_MS).await;
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
        // What is left of the service serves.
        assert_eq!(fleet.call(2, &get("/get/echo")).await.status, 200);
    });
}

/// A fleet whose list does not fit in one answer of the store.
#[test]
fn a_node_that_starts_again_learns_from_a_peer_what_holds() {
    run(async {
        let mut fleet = Fleet::new(&["s", "s", "front"]).await;
        fleet.store.set_page_size(2);
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_all();
        fleet.wait_all_serving().await;
        // One that watches has heard from the store.
        pass(1_500).await;
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

/// A node that the store turns away starts again beside a peer.
#[test]
fn a_node_that_starts_again_without_the_store_uses_what_peers_know() {
    run(async {
        let mut fleet = Fleet::serving(&["s", "s", "front"]).await;
        fleet.kill(2).await;
        fleet.start_without_store(2);
        soon(fleet.wait_ready(2)).await;
        fleet.wait_for_backends(2).await;
    });
}
