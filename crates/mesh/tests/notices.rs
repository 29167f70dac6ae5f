//! The headers by which backend servers announce a rate limit, or that they are leaving.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rstest::rstest;

use support::raw::{run, sleep_ms};
use support::{Fleet, get};

/// The time window in which the platform counts the requests of a limited backend server.
const SPAN: Duration = Duration::from_secs(4);
/// How long after the announcement of a limit the platform begins to count.
const STABLE: Duration = Duration::from_secs(3);

/// Returns how many requests a backend server with a limit of `per_s` may get in one [`SPAN`].
fn allowed(per_s: f64) -> usize {
    (1.5 * SPAN.as_secs_f64() * per_s) as usize + 5
}

/// The counts of requests sent at a constant rate.
#[derive(Default)]
struct Traffic {
    sent: Cell<usize>,
    served: Cell<usize>,
    ended: Cell<usize>,
}

impl Traffic {
    /// Sends requests for `target` through a node, one every `gap_ms` milliseconds, for `ms`
    /// milliseconds, and waits for all responses.
    async fn send(
        self: &Rc<Self>,
        fleet: &Fleet,
        index: usize,
        target: &str,
        gap_ms: u64,
        ms: u64,
    ) {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(ms) {
            let mut caller = fleet.caller(index).await;
            let (traffic, number) = (Rc::clone(self), self.sent.get());
            self.sent.set(number + 1);
            let text = get(&format!("{target}?{index}-{number}"));
            tokio::task::spawn_local(async move {
                caller.send(text).await;
                let served = caller.reply().await.status == 200;
                traffic
                    .served
                    .set(traffic.served.get() + usize::from(served));
                traffic.ended.set(traffic.ended.get() + 1);
            });
            sleep_ms(gap_ms).await;
        }
        support::until(|| self.ended.get() == self.sent.get()).await;
    }
}

#[rstest]
#[case::short_name("server-limit")]
#[case::prefixed_name("oriolering-server-limit")]
fn a_backend_server_gets_no_more_than_its_rate_limit(#[case] name: &'static str) {
    run(async {
        let fleet = Fleet::serving(&["front", "front", "s", "s"]).await;
        let limited = &fleet.instances[2].backend;
        limited.set_answer_headers(&[(name, "10.0")]);
        let announced = Instant::now();
        let traffic = Rc::new(Traffic::default());
        tokio::join!(
            traffic.send(&fleet, 0, "/get/slow/20", 20, 5_000),
            traffic.send(&fleet, 1, "/get/slow/20", 20, 5_000),
        );
        let most = limited.max_requests_in(SPAN, announced + STABLE);
        assert!(most <= allowed(10.0), "{most} in {SPAN:?}");
        assert!(
            most >= 20,
            "{most} in {SPAN:?}: the backend server is hardly used"
        );
        assert_eq!(traffic.served.get(), traffic.sent.get());
    });
}

#[rstest]
fn a_limit_holds_while_the_node_of_the_backend_server_restarts(
    #[values(false, true)] in_health: bool,
) {
    run(async {
        let mut fleet = Fleet::serving(&["front", "front", "s", "s"]).await;
        let limited = fleet.instances[2].backend.clone();
        limited.set_headers_in_health(in_health);
        limited.set_answer_headers(&[("server-limit", "0.5")]);
        let announced = Instant::now();
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/slow/400", 50, 1_000).await;
        // Earlier requests were sent by nodes that did not know the limit.
        limited.clear_requests();
        traffic.send(&fleet, 0, "/get/slow/400", 50, 1_500).await;
        fleet.kill(2).await;
        let killed = Instant::now();
        fleet.start_one(2);
        traffic.send(&fleet, 0, "/get/slow/400", 50, 3_500).await;
        // The first answer would come 400 ms after the first request.
        let most = limited.max_requests_in(Duration::from_millis(300), killed);
        assert!(most <= 2, "{most} before an answer");
        let most = limited.max_requests_in(SPAN, announced + STABLE);
        assert!(most <= allowed(0.5), "{most} in {SPAN:?}");
    });
}

#[rstest]
#[case::short_name("server-leaving")]
#[case::prefixed_name("oriolering-server-leaving")]
fn a_leaving_backend_server_gets_no_new_requests(#[case] name: &'static str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let leaving = &fleet.instances[1].backend;
        leaving.set_answer_headers(&[(name, "1")]);
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/slow/20", 10, 500).await;
        assert!(leaving.total_requests() > 0, "it never answered");
        leaving.clear_requests();
        traffic.send(&fleet, 0, "/get/slow/20", 10, 500).await;
        assert_eq!(leaving.total_requests(), 0);
        assert_eq!(traffic.served.get(), traffic.sent.get());
    });
}

#[test]
fn a_leaving_backend_server_gets_no_requests_after_its_node_restarts() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let leaving = fleet.instances[1].backend.clone();
        leaving.set_answer_headers(&[("server-leaving", "1")]);
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/slow/20", 10, 500).await;
        assert!(leaving.total_requests() > 0, "it never answered");
        fleet.kill(1).await;
        fleet.start_one(1);
        leaving.clear_requests();
        traffic.send(&fleet, 0, "/get/slow/20", 10, 2_000).await;
        assert_eq!(leaving.total_requests(), 0);
    });
}

#[test]
fn a_response_without_a_limit_ends_the_limit() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let server = &fleet.instances[1].backend;
        server.set_answer_headers(&[("server-limit", "20")]);
        fleet.call(0, &get("/get/echo")).await;
        server.set_answer_headers(&[]);
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/echo", 10, 1_000).await;
        assert_eq!(traffic.served.get(), traffic.sent.get());
        assert_eq!(fleet.events(1, "server_unlimited").await.len(), 1);
    });
}

#[test]
fn a_new_backend_server_at_an_address_starts_unlimited_and_not_leaving() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let server = &fleet.instances[1].backend;
        server.set_answer_headers(&[("server-limit", "0.2"), ("server-leaving", "1")]);
        fleet.call(0, &get("/get/echo")).await;
        server.set_answer_headers(&[]);
        assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 503);
        fleet.reassign_address(1, "i-next", "s");
        fleet
            .wait_for_target(0, "/get/echo", Instant::now(), 1_000)
            .await;
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/echo", 20, 500).await;
        assert_eq!(traffic.served.get(), traffic.sent.get());
    });
}

/// A response with status 421 comes from a backend server that the request was not meant for.
#[test]
fn the_announcements_of_a_misdirected_response_are_ignored() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        for instance in &fleet.instances[1..] {
            let backend = &instance.backend;
            backend.set_misdirected_headers(&[("server-limit", "0"), ("server-leaving", "1")]);
        }
        assert_eq!(fleet.call(0, &get("/get/misdirected")).await.status, 200);
        // The ingress avoids a misdirected backend server for two seconds.
        sleep_ms(2_100).await;
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/echo", 10, 500).await;
        assert_eq!(traffic.served.get(), traffic.sent.get());
        let served: usize = fleet.instances[1..]
            .iter()
            .filter(|i| i.backend.total_requests() > 2)
            .count();
        assert_eq!(served, 2, "both serve");
    });
}

#[test]
fn an_invalid_limit_is_ignored_and_logged_once() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        fleet.instances[1]
            .backend
            .set_answer_headers(&[("server-limit", "a few")]);
        let traffic = Rc::new(Traffic::default());
        traffic.send(&fleet, 0, "/get/echo", 10, 500).await;
        assert_eq!(traffic.served.get(), traffic.sent.get());
        let lines = fleet.events(1, "limit_rejected").await;
        assert_eq!(lines.len(), 1);
        assert_eq!(lines[0]["value"], "a few");
    });
}

/// When the limits of all backend servers of a service leave no time for a request before its
/// deadline, it is refused at once. The retry times differ, so that callers do not return together.
#[test]
fn requests_that_limits_delay_beyond_the_deadline_are_refused_at_once() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        for instance in &fleet.instances[1..] {
            instance
                .backend
                .set_answer_headers(&[("server-limit", "2")]);
        }
        for _ in 0..4 {
            fleet.call(0, &get("/get/echo")).await;
        }
        let mut retry_times = Vec::new();
        for _ in 0..20 {
            let asked = Instant::now();
            let text = get("/get/echo").replace("3000", "300");
            let reply = fleet.call(0, &text).await;
            if reply.status == 503 {
                assert!(asked.elapsed() < Duration::from_millis(100));
                retry_times.push(reply.header("retry-after").expect("a time").to_owned());
            }
        }
        assert!(retry_times.len() >= 10, "{retry_times:?}");
        retry_times.sort_unstable();
        retry_times.dedup();
        assert!(retry_times.len() >= 5, "{retry_times:?}");
    });
}

#[test]
fn a_request_that_waits_for_a_limit_runs_when_a_new_backend_server_starts() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let server = &fleet.instances[1].backend;
        server.set_answer_headers(&[("server-limit", "0.8")]);
        fleet.call(0, &get("/get/echo")).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/echo")).await;
        let sent = Instant::now();
        sleep_ms(100).await;
        server.set_answer_headers(&[]);
        fleet.reassign_address(1, "i-next", "s");
        assert_eq!(caller.reply().await.status, 200);
        assert!(sent.elapsed() < Duration::from_millis(700));
    });
}
