//! The store comes back from a copy some seconds old: its revisions go back and are given out
//! again, and what was written since the copy is written anew or stays lost.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use support::raw::{run, sleep_ms};
use support::store::StoreCopy;
use support::{Fleet, config, get};

/// The time by which a change in the store is in force, in milliseconds.
const APPLY_MS: u64 = 2_000;
/// How long earlier knowledge is kept after a return, in milliseconds.
const KEEP_MS: u64 = 2_000;
/// How much later a change that is due at a time may be seen, in milliseconds.
const SLACK_MS: u64 = 500;
/// How many requests show which backend servers are in use.
const REQUESTS: usize = 40;

/// A fleet of four nodes: two without a backend server of the service, and one for each of the
/// two backend servers.
async fn fleet() -> Fleet {
    Fleet::serving(&["front", "s", "s", "front"]).await
}

/// Writes `count` entries of another service, which the store loses.
fn write_lost(fleet: &Fleet, count: u64) {
    for number in 0..count {
        let entry = json!({"number": number});
        fleet.store.put("servers/other", &entry);
    }
}

/// Returns how many of the requests to each node reach a backend server.
async fn requests_reaching(fleet: &Fleet, server: usize) -> usize {
    let backend = &fleet.instances[server].backend;
    backend.clear_requests();
    for number in 0..REQUESTS {
        let node = number % fleet.instances.len();
        fleet.call(node, &get("/get/echo")).await;
    }
    backend.request_count("/get/echo")
}

/// Waits until a backend server is in use, or until it is not; panics if it takes longer.
async fn wait_use(fleet: &Fleet, server: usize, used: bool, within_ms: u64) {
    let since = Instant::now();
    while (requests_reaching(fleet, server).await > 0) != used {
        let waited = since.elapsed();
        assert!(
            waited < Duration::from_millis(within_ms),
            "in use is not {used} after {waited:?}"
        );
        sleep_ms(20).await;
    }
}

#[rstest]
fn a_drain_after_the_return_is_in_force_in_time(
    #[values(3, 40)] lost: u64,
    #[values(false, true)] written_again: bool,
) {
    run(async {
        let fleet = fleet().await;
        let copy = fleet.store.copy();
        write_lost(&fleet, lost);
        sleep_ms(300).await;
        fleet.store.restore(copy);
        if written_again {
            fleet.publish(1, "ready");
            fleet.publish(2, "ready");
        }
        sleep_ms(1_500).await;
        fleet.publish(2, "draining");
        sleep_ms(APPLY_MS).await;
        assert_eq!(requests_reaching(&fleet, 2).await, 0);
        assert!(requests_reaching(&fleet, 1).await > 0);
    });
}

/// The backend server is not in the copy, so that a read of the new era lacks it.
#[rstest]
fn a_backend_server_that_joined_after_the_copy_stays_in_use(#[values(false, true)] drains: bool) {
    run(async {
        let fleet = Fleet::new(&["front", "s", "s", "front"]).await;
        let mut fleet = fleet;
        fleet.unpublish(2);
        fleet.store.put("op/config", &config(1, "s"));
        let copy = fleet.store.copy();
        fleet.publish(2, "ready");
        fleet.start_all();
        fleet.wait_all_serving().await;
        fleet.store.restore(copy);
        sleep_ms(KEEP_MS / 2).await;
        assert!(requests_reaching(&fleet, 2).await > 0, "it is kept");
        fleet.publish(2, "ready");
        sleep_ms(KEEP_MS).await;
        assert!(requests_reaching(&fleet, 2).await > 0, "it is back");
        if drains {
            fleet.publish(2, "draining");
            sleep_ms(APPLY_MS).await;
            assert_eq!(requests_reaching(&fleet, 2).await, 0);
        }
    });
}

#[test]
fn a_backend_server_that_is_not_written_again_is_dropped() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s"]).await;
        fleet.unpublish(2);
        fleet.store.put("op/config", &config(1, "s"));
        let copy = fleet.store.copy();
        fleet.publish(2, "ready");
        fleet.start_all();
        fleet.wait_all_serving().await;
        fleet.store.restore(copy);
        wait_use(&fleet, 2, false, APPLY_MS + KEEP_MS).await;
        let returned = fleet.events(0, "store_returned").await;
        assert_eq!(returned.len(), 1, "{returned:?}");
        assert_eq!(returned[0]["kept"], 1, "{returned:?}");
    });
}

/// What the fleet knows of a backend server that the copy lists as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Draining,
    Gone,
}

/// Returns a copy in which the backend server is ready, after the fleet has learnt otherwise.
async fn learn_after_copy(fleet: &Fleet, server: usize, known: Known) -> StoreCopy {
    let copy = fleet.store.copy();
    match known {
        Known::Draining => fleet.publish(server, "draining"),
        Known::Gone => fleet.unpublish(server),
    }
    wait_use(fleet, server, false, APPLY_MS).await;
    copy
}

#[rstest]
fn a_backend_server_that_left_after_the_copy_does_not_come_back_by_the_copy(
    #[values(Known::Draining, Known::Gone)] known: Known,
) {
    run(async {
        let fleet = fleet().await;
        let copy = learn_after_copy(&fleet, 2, known).await;
        let returned = Instant::now();
        fleet.store.restore(copy);
        while returned.elapsed() < Duration::from_millis(KEEP_MS - SLACK_MS) {
            assert_eq!(
                requests_reaching(&fleet, 2).await,
                0,
                "{:?}",
                returned.elapsed()
            );
        }
        match known {
            Known::Draining => fleet.publish(2, "draining"),
            Known::Gone => fleet.unpublish(2),
        }
        sleep_ms(KEEP_MS).await;
        assert_eq!(requests_reaching(&fleet, 2).await, 0, "written again");
    });
}

/// The backend server lives: its entry in the copy is the truth once the time for writing again
/// has passed.
#[rstest]
fn a_backend_server_that_the_store_goes_on_listing_is_used_again(
    #[values(Known::Draining, Known::Gone)] known: Known,
) {
    run(async {
        let fleet = fleet().await;
        let copy = learn_after_copy(&fleet, 2, known).await;
        fleet.store.restore(copy);
        wait_use(&fleet, 2, true, APPLY_MS + KEEP_MS).await;
    });
}

#[test]
fn a_backend_server_that_is_written_after_the_return_is_used_at_once() {
    run(async {
        let fleet = fleet().await;
        let copy = learn_after_copy(&fleet, 2, Known::Gone).await;
        fleet.store.restore(copy);
        sleep_ms(500).await;
        assert_eq!(requests_reaching(&fleet, 2).await, 0);
        fleet.publish(2, "ready");
        wait_use(&fleet, 2, true, KEEP_MS - 2 * SLACK_MS).await;
    });
}

#[test]
fn an_address_with_a_new_owner_is_used_for_the_new_one_alone() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let copy = fleet.store.copy();
        fleet.reassign_address(2, "i-new", "t");
        wait_use(&fleet, 2, false, APPLY_MS).await;
        fleet.store.restore(copy);
        fleet.instances[2].backend.clear_requests();
        sleep_ms(KEEP_MS / 4).await;
        // The new owner writes itself again, as it lives; the entry of the old one is still there.
        fleet.publish_as(2, "i-new");
        sleep_ms(KEEP_MS).await;
        let reached = requests_reaching(&fleet, 2).await;
        let backend = &fleet.instances[2].backend;
        let targets = backend.find("/get/echo");
        let target = targets
            .as_ref()
            .and_then(|r| r.header("oriolering-target-instance"));
        assert!(
            reached == 0 || target == Some("i-new"),
            "{reached} for {target:?}"
        );
        fleet.kill(0).await;
    });
}

#[test]
fn routes_never_go_back_and_later_ones_are_taken() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "t"]).await;
        let copy = fleet.store.copy();
        fleet.store.put("op/config", &config(5, "t"));
        let service_of = async |node: usize| {
            let reply = fleet.call(node, &get("/get/echo")).await;
            let by_id = |id: &str| reply.text().trim() == id;
            let server = fleet.instances.iter().find(|i| by_id(&i.backend.id));
            server.map(|i| i.backend.service.clone())
        };
        sleep_ms(APPLY_MS).await;
        assert_eq!(service_of(0).await.as_deref(), Some("t"));
        fleet.store.restore(copy);
        let since = Instant::now();
        while since.elapsed() < Duration::from_millis(APPLY_MS) {
            for node in 0..3 {
                assert_eq!(service_of(node).await.as_deref(), Some("t"));
            }
        }
        fleet.store.put("op/config", &config(7, "s"));
        sleep_ms(APPLY_MS).await;
        for node in 0..3 {
            assert_eq!(service_of(node).await.as_deref(), Some("s"));
        }
    });
}

/// Nodes that the store does not reach learn of the return from their peers.
#[test]
fn a_node_that_the_store_turns_away_learns_of_the_return_from_a_peer() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s", "front"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        for index in [0, 2, 3] {
            fleet.start_without_store(index);
        }
        fleet.wait_all_serving().await;
        let copy = fleet.store.copy();
        write_lost(&fleet, 30);
        sleep_ms(500).await;
        fleet.store.restore(copy);
        sleep_ms(500).await;
        fleet.publish(2, "draining");
        sleep_ms(APPLY_MS).await;
        assert_eq!(requests_reaching(&fleet, 2).await, 0);
        let returned = fleet.events(0, "store_returned").await;
        assert_eq!(returned.len(), 1, "{returned:?}");
    });
}

/// The second return comes before anything has been written again since the first one.
#[rstest]
fn a_drain_after_several_returns_is_in_force_in_time(#[values(1, 2)] eras: u64) {
    run(async {
        let fleet = fleet().await;
        let copies = [fleet.store.copy(), fleet.store.copy()];
        write_lost(&fleet, 20);
        sleep_ms(300).await;
        for copy in copies {
            fleet.store.restore_after(copy, eras);
            sleep_ms(250).await;
        }
        fleet.publish(2, "draining");
        sleep_ms(APPLY_MS).await;
        assert_eq!(requests_reaching(&fleet, 2).await, 0);
    });
}

/// A stale read that still answers from before the return is of no use to a node that starts.
#[test]
fn a_node_that_starts_after_the_return_uses_no_stale_read_from_before_it() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let copy = fleet.store.copy();
        write_lost(&fleet, 20);
        fleet.store.serve_stale_copy(&fleet.store.copy());
        sleep_ms(300).await;
        fleet.kill(0).await;
        fleet.store.restore(copy);
        fleet.publish(2, "draining");
        sleep_ms(APPLY_MS).await;
        fleet.start_one(0);
        fleet.wait_ready(0).await;
        fleet.instances[2].backend.clear_requests();
        for _ in 0..REQUESTS {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(fleet.instances[2].backend.total_requests(), 0);
    });
}

/// A store without the header works as one of era 0, and the log says so once a node.
#[test]
fn a_store_without_the_header_is_noted_once() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.store.hide_era();
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_all();
        fleet.wait_all_serving().await;
        sleep_ms(1_500).await;
        let rejected = fleet.events(0, "store_era_rejected").await;
        assert_eq!(rejected.len(), 1, "{rejected:?}");
    });
}
