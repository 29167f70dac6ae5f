//! Retries, timeouts and cancellation, and the status that the caller gets.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::backend::SIGNATURE;
use crate::support::raw::{run, sleep_ms};
use crate::support::{Fleet, SHORT_MS, get, request, until};
use crate::{CANCEL_WITHIN_MS, TIMEOUT_SLACK_MS};

#[test]
fn an_error_response_is_forwarded_with_its_signature() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &request("POST", "/post/fail", "", "x")).await;
        assert_eq!((reply.status, reply.text()), (500, "failed"));
        assert_eq!(
            reply.header("oriolering-response-signature"),
            Some(SIGNATURE)
        );
        assert_eq!(fleet.request_count("/post/fail"), 1);
    });
}

#[test]
fn a_success_response_without_a_signature_is_not_forwarded() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet
            .call(0, &request("POST", "/post/unsigned", "", "x"))
            .await;
        assert_eq!(reply.status, 502);
        assert!(!reply.text().contains("who knows"));
        assert_eq!(fleet.request_count("/post/unsigned"), 1);
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
fn a_non_idempotent_request_is_not_retried_after_a_reset() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet
            .call(0, &request("POST", "/post/reset", "", "x"))
            .await;
        assert_eq!(reply.status, 502);
        sleep_ms(100).await;
        assert_eq!(fleet.request_count("/post/reset"), 1);
    });
}

#[test]
fn an_idempotent_request_is_retried_elsewhere_after_a_reset() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &get("/get/reset-once")).await;
        assert_eq!(reply.status, 200);
        let counts = [1, 2].map(|i| fleet.instances[i].backend.request_count("/get/reset-once"));
        assert_eq!(counts, [1, 1]);
    });
}

#[rstest]
#[case::misdirected("/post/misdirected")]
#[case::full("/post/full")]
fn a_request_that_did_not_run_is_retried_elsewhere(#[case] target: &str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &request("POST", target, "", "x")).await;
        assert_eq!(reply.status, 200);
        let counts = [1, 2].map(|i| fleet.instances[i].backend.request_count(target));
        assert_eq!(counts, [1, 1]);
    });
}

#[test]
fn no_request_reaches_more_backend_servers_than_its_route_allows() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s", "s", "s"]).await;
        let reply = fleet.call(0, &get("/get/reset")).await;
        assert_eq!(reply.status, 502);
        assert_eq!(fleet.request_count("/get/reset"), 2);
    });
}

#[test]
fn the_timeout_of_a_route_ends_a_request_with_504() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let started = Instant::now();
        let reply = fleet.call(0, &get("/short/slow/4000")).await;
        let took = started.elapsed().as_millis() as u64;
        assert_eq!(reply.status, 504);
        assert!(
            (SHORT_MS..SHORT_MS + TIMEOUT_SLACK_MS).contains(&took),
            "{took} ms"
        );
        let backend = &fleet.instances[1].backend;
        until(|| backend.has_dropped("/short/slow/4000")).await;
    });
}

#[rstest]
#[case::through_another_node(&["front", "s"], 1)]
#[case::at_the_local_backend_server(&["s"], 0)]
fn a_request_is_cancelled_when_its_caller_disconnects(
    #[case] services: &[&str],
    #[case] server: usize,
) {
    run(async {
        let fleet = Fleet::serving(services).await;
        let backend = &fleet.instances[server].backend;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/slow/1400")).await;
        until(|| backend.request_count("/get/slow/1400") == 1).await;
        drop(caller);
        let took = until(|| backend.has_dropped("/get/slow/1400")).await;
        assert!(took < Duration::from_millis(CANCEL_WITHIN_MS), "{took:?}");
    });
}
