//! Estimates of an ingress that nothing but responses would correct: they must not refuse requests
//! for longer than the platform needs to settle.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::raw::{run, sleep_ms};
use support::{Fleet, request};

/// The time after a disruption within which the platform counts as unsettled, in milliseconds
/// (`stable_window_ms`).
const SETTLE_MS: u64 = 3_000;
/// How many requests each ingress sends at once while the backend servers are slow, and how often.
const SLOW_REQUESTS: usize = 16;
const SLOW_ROUNDS: usize = 2;
/// How many requests are sent after the platform has settled.
const LATER_REQUESTS: usize = 5;

/// Returns a request with a deadline in milliseconds.
fn request_within(method: &str, target: &str, deadline_ms: u64) -> String {
    let body = if method == "POST" { "x" } else { "" };
    let usual = "Oriolering-Request-Deadline: 3000";
    let deadline = format!("Oriolering-Request-Deadline: {deadline_ms}");
    request(method, target, "", body).replace(usual, &deadline)
}

/// Sends requests that take `work_ms` at once, and waits for the replies.
async fn send_slow(fleet: &Fleet, method: &str, route: &str, work_ms: u64) {
    for round in 0..SLOW_ROUNDS {
        let mut callers = Vec::new();
        for number in 0..SLOW_REQUESTS {
            let target = format!("/{route}/slow/{work_ms}?{round}-{number}");
            let mut caller = fleet.caller(0).await;
            caller.send(request_within(method, &target, 3_000)).await;
            callers.push(caller);
        }
        for caller in &mut callers {
            caller.reply().await;
        }
    }
}

/// Guards against a route that is refused for good after its backend servers were slow: its
/// estimate stays, since a refused request has no response that would correct it.
#[rstest]
#[case::usual("GET", "get", 1_200, 1_500, 750)]
#[case::rare("GET", "get", 1_200, 1_500, 2_000)]
#[case::frequent("GET", "get", 1_200, 1_500, 50)]
#[case::short("GET", "short", 250, 300, 750)]
#[case::less_time_left("GET", "get", 1_200, 700, 750)]
#[case::not_idempotent("POST", "post", 1_200, 1_500, 750)]
#[case::not_idempotent_with_less_time("POST", "post", 1_200, 700, 300)]
fn a_route_is_served_again_after_its_backend_servers_were_slow(
    #[case] method: &str,
    #[case] route: &str,
    #[case] work_ms: u64,
    #[case] deadline_ms: u64,
    #[case] interval_ms: u64,
) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s", "s", "s"]).await;
        send_slow(&fleet, method, route, work_ms).await;
        let ended = Instant::now();
        let call = request_within(method, &format!("/{route}/echo"), deadline_ms);
        while ended.elapsed() < Duration::from_millis(SETTLE_MS) {
            fleet.call(0, &call).await;
            sleep_ms(interval_ms).await;
        }
        for number in 0..LATER_REQUESTS {
            let reply = fleet.call(0, &call).await;
            assert_eq!(reply.status, 200, "request {number} after the settling");
            sleep_ms(interval_ms).await;
        }
    });
}

/// Guards against refusals because the load of the backend servers is unknown: reports come with
/// replies, so at a low rate none is recent, and a route whose requests take most of their time was
/// never served.
#[rstest]
#[case::idempotent("GET", "get", 950, 1_500, 700)]
#[case::not_idempotent("POST", "post", 950, 1_500, 850)]
#[case::shorter("GET", "get", 520, 800, 800)]
#[case::rare("GET", "get", 520, 800, 1_600)]
fn a_route_with_rare_long_requests_is_served(
    #[case] method: &str,
    #[case] route: &str,
    #[case] work_ms: u64,
    #[case] deadline_ms: u64,
    #[case] interval_ms: u64,
) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        send_slow(&fleet, method, route, work_ms).await;
        for number in 0..LATER_REQUESTS {
            sleep_ms(interval_ms).await;
            let target = format!("/{route}/slow/{work_ms}?later-{number}");
            let call = request_within(method, &target, deadline_ms);
            assert_eq!(fleet.call(0, &call).await.status, 200, "request {number}");
        }
    });
}

/// The work and the deadline of requests that cannot end in time, in milliseconds.
const LONG_WORK_MS: u64 = 900;
const SHORT_DEADLINE_MS: u64 = 800;

/// Sends requests that cannot end in time, and returns the status of each and how often it ran.
async fn send_in_vain(fleet: &Fleet, method: &str, route: &str, count: usize) -> Vec<(u16, usize)> {
    let mut results = Vec::new();
    for number in 0..count {
        let started = Instant::now();
        let target = format!("/{route}/slow/{LONG_WORK_MS}?vain-{number}");
        let call = request_within(method, &target, SHORT_DEADLINE_MS);
        let status = fleet.call(0, &call).await.status;
        results.push((status, fleet.request_count(&target)));
        let interval = Duration::from_millis(1_600);
        let left = interval.saturating_sub(started.elapsed());
        sleep_ms(left.as_millis() as u64).await;
    }
    results
}

/// Guards against requests that run at two backend servers each, all in vain, for as long as
/// callers send them: an attempt that ended at its deadline did not count in the estimate.
#[rstest]
#[case::idempotent("GET", "get")]
#[case::not_idempotent("POST", "post")]
fn requests_that_cannot_end_in_time_are_refused(#[case] method: &str, #[case] route: &str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s", "s", "s", "s"]).await;
        let results = send_in_vain(&fleet, method, route, 6).await;
        let refused = results.iter().filter(|(status, _)| *status == 503).count();
        assert!(refused >= 2, "{results:?}");
        for (status, runs) in &results[1..] {
            assert_eq!(*runs, usize::from(*status != 503), "{results:?}");
        }
        let target = format!("/{route}/slow/{LONG_WORK_MS}?in-time");
        let longer = request_within(method, &target, 1_500);
        assert_eq!(fleet.call(0, &longer).await.status, 200);
    });
}

/// Guards against a route that is refused for good after requests ended at their deadlines.
#[test]
fn a_route_is_served_again_after_requests_ended_at_their_deadlines() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        send_in_vain(&fleet, "GET", "get", 3).await;
        let call = request_within("GET", "/get/echo", SHORT_DEADLINE_MS);
        let ended = Instant::now();
        while ended.elapsed() < Duration::from_millis(SETTLE_MS) {
            fleet.call(0, &call).await;
            sleep_ms(100).await;
        }
        for number in 0..LATER_REQUESTS {
            let status = fleet.call(0, &call).await.status;
            assert_eq!(status, 200, "request {number} after the settling");
        }
    });
}
