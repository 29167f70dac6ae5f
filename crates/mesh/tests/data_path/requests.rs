//! What nodes forward unchanged, and which headers they set.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::backend::SIGNATURE;
use crate::support::raw::{run, sleep_ms};
use crate::support::{Fleet, get, request};

#[test]
fn a_request_is_served_through_the_gate_of_another_node() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let reply = fleet.call(0, &get("/get/echo")).await;
        assert_eq!((reply.status, reply.text()), (200, "i-3 "));
        assert_eq!(fleet.instances[1].backend.total_requests(), 1);
        assert_eq!(fleet.instances[0].backend.total_requests(), 0);
    });
}

#[test]
fn a_request_is_served_by_the_local_backend_server() {
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
#[case::other_method("PROPFIND", "/get//double//", "")]
fn method_target_and_body_are_forwarded_unchanged(
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
fn long_bodies_are_forwarded_unchanged_in_both_directions(#[case] length: usize) {
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
fn a_chunked_body_arrives_whole() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let head = request("POST", "/post/echo", "Transfer-Encoding: chunked\r\n", "");
        let mut caller = fleet.caller(0).await;
        caller.send(head).await;
        caller.send("3\r\nabc\r\n").await;
        sleep_ms(20).await;
        caller.send("2\r\nde\r\n0\r\n\r\n").await;
        assert_eq!(caller.reply().await.text(), "i-3 abcde");
    });
}

#[test]
fn end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_not() {
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
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let started = Instant::now();
        let both = get("/get/slow/400") + &get("/get/echo");
        caller.send(both).await;
        assert_eq!(caller.reply().await.text(), "slow");
        assert!(caller.reply().await.text().starts_with("i-"));
        assert!(started.elapsed() < Duration::from_millis(700));
    });
}
