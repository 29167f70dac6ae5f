//! What callers and backend servers see of requests that pass through nodes.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::backend::SIGNATURE;
use support::raw::{Raw, pass, run};
use support::{Fleet, GRACE_MS, SHORT_MS, config, get, request, until};

/// By how much an answer may come after its route's timeout, in milliseconds.
const OVERTIME_MS: u64 = 250;
/// How soon work is cancelled after its caller has left, in milliseconds.
const CANCEL_MS: u64 = 500;
/// How soon a change of the store is in force, in milliseconds.
const APPLY_MS: u64 = 2_000;

#[test]
fn a_request_is_served_through_the_gate_of_another_node() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let reply = fleet.call(0, &get("/get/echo")).await;
        assert_eq!((reply.status, reply.text()), (200, "i-3 "));
        assert_eq!(fleet.instances[1].backend.total(), 1);
        assert_eq!(fleet.instances[0].backend.total(), 0);
    });
}

#[test]
fn a_request_is_served_by_the_backend_server_beside_its_node() {
    run(async {
        let fleet = Fleet::serving(&["s"]).await;
        let reply = fleet.call(0, &get("/get/echo")).await;
        assert_eq!((reply.status, reply.text()), (200, "i-2 "));
    });
}

#[rstest]
#[case::get("GET", "/get/a%20b/c;d?x=1&y=%2F&z", "")]
#[case::delete("DELETE", "/get/?", "")]
#[case::post("POST", "/post/echo?q", "some text")]
#[case::own_method("PROPFIND", "/get//double//", "")]
fn method_target_and_body_pass_unchanged(
    #[case] method: &str,
    #[case] target: &str,
    #[case] body: &str,
) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let reply = fleet.call(0, &request(method, target, "", body)).await;
        assert_eq!(reply.status, 200);
        let seen = fleet.instances[1].backend.find(target);
        let seen = seen.expect("the target is unchanged");
        assert_eq!(seen.method, method);
        assert_eq!(seen.body, body.as_bytes());
    });
}

#[rstest]
#[case::one_message(5_000)]
#[case::some_pieces(100_000)]
#[case::many_pieces(900_000)]
fn long_bodies_pass_unchanged_in_both_directions(#[case] length: usize) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let body: String = (0..length)
            .map(|i| (b'a' + (i % 23) as u8) as char)
            .collect();
        let reply = fleet
            .call(0, &request("POST", "/post/echo", "", &body))
            .await;
        assert_eq!(reply.status, 200);
        assert!(
            reply.text() == format!("i-3 {body}"),
            "the body has changed"
        );
    });
}

#[test]
fn a_body_in_chunks_arrives_whole() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let head = request("POST", "/post/echo", "Transfer-Encoding: chunked\r\n", "");
        let mut caller = fleet.caller(0).await;
        caller.send(head).await;
        caller.send("3\r\nabc\r\n").await;
        pass(20).await;
        caller.send("2\r\nde\r\n0\r\n\r\n").await;
        assert_eq!(caller.reply().await.text(), "i-3 abcde");
    });
}

#[test]
fn headers_from_end_to_end_pass_and_those_of_one_connection_do_not() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let headers = "X-One: 1\r\nX-Two: a\r\nX-Two: b\r\nAuthorization: Basic x\r\n\
            Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n\
            TE: trailers\r\nProxy-Connection: keep-alive\r\n";
        let reply = fleet
            .call(0, &request("GET", "/get/echo", headers, ""))
            .await;
        let seen = fleet.instances[1]
            .backend
            .find("/get/echo")
            .expect("it came");
        assert_eq!(seen.header("host"), Some("h.example"));
        assert_eq!(seen.header("x-one"), Some("1"));
        assert_eq!(seen.header("authorization"), Some("Basic x"));
        assert_eq!(seen.header("oriolering-request-id"), Some("id-1"));
        let both: Vec<_> = seen
            .headers
            .get_all("x-two")
            .map(|v| v.as_bytes())
            .collect();
        assert_eq!(both, [b"a", b"b"]);
        for name in [
            "x-hop",
            "keep-alive",
            "te",
            "proxy-connection",
            "connection",
        ] {
            assert_eq!(seen.header(name), None, "{name}");
        }
        assert_eq!(reply.header("x-end"), Some("stays"));
        assert_eq!(
            reply.header("oriolering-response-signature"),
            Some(SIGNATURE)
        );
        assert_eq!(reply.header("oriolering-request-id"), Some("id-1"));
        assert_eq!(reply.header("keep-alive"), None);
        assert!(!reply.closes());
    });
}

#[test]
fn caller_service_deadline_and_target_are_set_by_the_node() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let forged = "Oriolering-Caller-Service: admin\r\nOriolering-Target-Instance: i-9\r\n";
        fleet
            .call(0, &request("GET", "/get/echo", forged, ""))
            .await;
        let seen = fleet.instances[1]
            .backend
            .find("/get/echo")
            .expect("it came");
        let all = |name: &str| seen.headers.get_all(name).count();
        assert_eq!(seen.header("oriolering-caller-service"), Some("front"));
        assert_eq!(seen.header("oriolering-target-instance"), Some("i-3"));
        assert_eq!(all("oriolering-caller-service"), 1);
        assert_eq!(all("oriolering-target-instance"), 1);
        assert_eq!(all("oriolering-request-deadline"), 1);
    });
}

#[rstest]
#[case::of_the_caller("700", 400, 700)]
#[case::of_the_route("60000", 1_200, 1_500)]
fn the_deadline_is_what_is_left(#[case] told: &str, #[case] least: u64, #[case] most: u64) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let text = get("/get/echo").replace("3000", told);
        fleet.call(0, &text).await;
        let seen = fleet.instances[1]
            .backend
            .find("/get/echo")
            .expect("it came");
        let deadline = seen
            .header("oriolering-request-deadline")
            .expect("a deadline");
        let deadline: u64 = deadline.parse().expect("milliseconds");
        assert!((least..=most).contains(&deadline), "{deadline} ms");
    });
}

#[test]
fn a_failure_of_the_backend_server_passes_with_its_signature() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &request("POST", "/post/fail", "", "x")).await;
        assert_eq!((reply.status, reply.text()), (500, "failed"));
        assert_eq!(
            reply.header("oriolering-response-signature"),
            Some(SIGNATURE)
        );
        assert_eq!(fleet.seen("/post/fail"), 1);
    });
}

#[test]
fn a_success_without_a_signature_is_not_passed_on() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet
            .call(0, &request("POST", "/post/unsigned", "", "x"))
            .await;
        assert_eq!(reply.status, 502);
        assert!(!reply.text().contains("who knows"));
        assert_eq!(fleet.seen("/post/unsigned"), 1);
    });
}

#[rstest]
#[case::path("/nothing/here", "h.example")]
#[case::host("/get/echo", "other.example")]
fn a_request_without_a_route_gets_404(#[case] path: &str, #[case] host: &str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let text = get(path).replace("h.example", host);
        let reply = fleet.call(0, &text).await;
        assert_eq!(reply.status, 404);
        assert_eq!(reply.header("oriolering-request-id"), Some("id-1"));
    });
}

#[test]
fn a_node_that_knows_no_configuration_says_come_back() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.start_all();
        pass(300).await;
        let reply = fleet.call(0, &get("/get/echo")).await;
        assert_eq!(reply.status, 503);
        let back = reply.header("retry-after").expect("a time");
        assert!(back.parse::<f64>().expect("seconds") > 0.0);
        assert_eq!(fleet.ready(0).await, 503);
        fleet.store.put("op/config", &config(1, "s"));
        fleet.settle().await;
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
    });
}

#[test]
fn a_request_that_may_not_run_twice_is_not_sent_again_after_a_reset() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet
            .call(0, &request("POST", "/post/reset", "", "x"))
            .await;
        assert_eq!(reply.status, 502);
        pass(100).await;
        assert_eq!(fleet.seen("/post/reset"), 1);
    });
}

#[test]
fn a_request_that_may_run_twice_is_sent_elsewhere_after_a_reset() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &get("/get/reset-once")).await;
        assert_eq!(reply.status, 200);
        let counts = [1, 2].map(|i| fleet.instances[i].backend.count("/get/reset-once"));
        assert_eq!(counts, [1, 1]);
    });
}

#[rstest]
#[case::misdirected("/post/misdirected")]
#[case::full("/post/full")]
fn a_request_that_did_not_run_is_sent_elsewhere(#[case] target: &str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &request("POST", target, "", "x")).await;
        assert_eq!(reply.status, 200);
        let counts = [1, 2].map(|i| fleet.instances[i].backend.count(target));
        assert_eq!(counts, [1, 1]);
    });
}

#[test]
fn no_request_reaches_more_backend_servers_than_its_route_allows() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s", "s", "s"]).await;
        let reply = fleet.call(0, &get("/get/reset")).await;
        assert_eq!(reply.status, 502);
        assert_eq!(fleet.seen("/get/reset"), 2);
    });
}

#[test]
fn the_timeout_of_a_route_ends_a_request_with_504() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let begun = Instant::now();
        let reply = fleet.call(0, &get("/short/slow/4000")).await;
        let took = begun.elapsed().as_millis() as u64;
        assert_eq!(reply.status, 504);
        assert!(
            (SHORT_MS..SHORT_MS + OVERTIME_MS).contains(&took),
            "{took} ms"
        );
        let backend = &fleet.instances[1].backend;
        until(|| backend.has_dropped("/short/slow/4000")).await;
    });
}

#[rstest]
#[case::at_another_node(&["front", "s"], 1)]
#[case::beside_the_node(&["s"], 0)]
fn a_caller_that_leaves_has_its_work_cancelled(#[case] services: &[&str], #[case] server: usize) {
    run(async {
        let fleet = Fleet::serving(services).await;
        let backend = &fleet.instances[server].backend;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/1400")).await;
        until(|| backend.count("/get/slow/1400") == 1).await;
        drop(caller);
        let took = until(|| backend.has_dropped("/get/slow/1400")).await;
        assert!(took < Duration::from_millis(CANCEL_MS), "{took:?}");
    });
}

#[test]
fn pipelined_requests_run_side_by_side_and_are_answered_in_order() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let begun = Instant::now();
        let both = get("/get/slow/400") + &get("/get/echo");
        caller.send(both).await;
        assert_eq!(caller.reply().await.text(), "slow");
        assert!(caller.reply().await.text().starts_with("i-"));
        assert!(begun.elapsed() < Duration::from_millis(700));
    });
}

async fn serves(fleet: &Fleet, caller: &mut Raw) -> String {
    caller.send(get("/get/echo")).await;
    let reply = caller.reply().await;
    assert_eq!(reply.status, 200);
    let id = reply.text().trim();
    let found = fleet.instances.iter().find(|i| i.backend.id == id);
    found.expect("one of the fleet").backend.service.clone()
}

#[test]
fn a_change_of_the_configuration_comes_into_force_and_never_goes_back() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "t"]).await;
        let mut caller = fleet.caller(0).await;
        assert_eq!(serves(&fleet, &mut caller).await, "s");
        fleet.store.put("op/config", &config(5, "t"));
        let changed = Instant::now();
        while serves(&fleet, &mut caller).await == "s" {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_MS));
            pass(5).await;
        }
        fleet.store.put("op/config", &config(3, "s"));
        fleet
            .store
            .put("op/config", &serde_json::json!({"version": 9}));
        for _ in 0..50 {
            assert_eq!(serves(&fleet, &mut caller).await, "t");
            pass(5).await;
        }
        fleet.store.put("op/config", &config(10, "s"));
        let changed = Instant::now();
        while serves(&fleet, &mut caller).await == "t" {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_MS));
            pass(5).await;
        }
    });
}

#[rstest]
#[case::draining(true)]
#[case::removed(false)]
fn a_backend_server_that_leaves_gets_nothing_new(#[case] told: bool) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        match told {
            true => fleet.publish(1, "draining"),
            false => fleet.withdraw(1),
        }
        pass(300).await;
        let leaving = &fleet.instances[1].backend;
        leaving.forget();
        for _ in 0..40 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(leaving.total(), 0);
        assert_eq!(fleet.instances[2].backend.total(), 40);
    });
}

#[test]
fn a_backend_server_that_leaves_finishes_what_it_has() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/800")).await;
        let backend = &fleet.instances[1].backend;
        until(|| backend.count("/get/slow/800") == 1).await;
        fleet.publish(1, "draining");
        pass(100).await;
        fleet.withdraw(1);
        assert_eq!(caller.reply().await.status, 200);
    });
}

#[test]
fn a_node_that_the_store_turns_away_learns_from_its_peers() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        fleet.start_cut_off(0);
        fleet.settle().await;
        let mut caller = fleet.caller(0).await;
        assert_eq!(serves(&fleet, &mut caller).await, "s");
        // Later changes arrive the same way.
        let mut later = config(4, "s");
        later["routes"][0]["prefix"] = "/later/".into();
        fleet.store.put("op/config", &later);
        let changed = Instant::now();
        while fleet.call(0, &get("/later/echo")).await.status != 200 {
            assert!(changed.elapsed() < Duration::from_millis(APPLY_MS));
            pass(10).await;
        }
    });
}

#[test]
fn a_node_that_the_store_turns_away_learns_that_a_backend_server_leaves() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s", "s"]).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_one(1);
        fleet.start_one(2);
        fleet.start_cut_off(0);
        fleet.settle().await;
        fleet.publish(1, "draining");
        pass(300).await;
        let leaving = &fleet.instances[1].backend;
        leaving.forget();
        for _ in 0..20 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(leaving.total(), 0);
    });
}

#[test]
fn a_node_that_is_told_to_stop_says_so_and_serves_what_it_has() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/1200")).await;
        until(|| fleet.seen("/get/slow/1200") == 1).await;
        let mut idle = fleet.caller(0).await;
        assert_eq!(serves(&fleet, &mut idle).await, "s");
        let begun = Instant::now();
        fleet.stop(0);
        pass(50).await;
        assert_eq!(fleet.ready(0).await, 503);
        // Callers that do not know yet are served, on old and new connections.
        idle.send(get("/get/echo")).await;
        let reply = idle.reply().await;
        assert_eq!(reply.status, 200);
        assert!(reply.closes());
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "slow"));
        assert!(reply.closes());
        fleet.ended(0).await;
        assert!(begun.elapsed() < Duration::from_millis(GRACE_MS));
    });
}

#[test]
fn the_gate_of_a_node_that_is_told_to_stop_serves_what_it_has_and_takes_nothing_new() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut callers = Vec::new();
        for _ in 0..8 {
            let mut caller = fleet.caller(0).await;
            caller
                .send(request("POST", "/post/slow/900", "", "x"))
                .await;
            callers.push(caller);
        }
        until(|| fleet.seen("/post/slow/900") == 8).await;
        fleet.stop(1);
        pass(100).await;
        let leaving = fleet.instances[1].backend.total();
        for _ in 0..20 {
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
        }
        assert_eq!(fleet.instances[1].backend.total(), leaving);
        for caller in &mut callers {
            assert_eq!(caller.reply().await.status, 200);
        }
        assert_eq!(fleet.seen("/post/slow/900"), 8);
    });
}
