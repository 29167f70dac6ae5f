//! What backend servers say of themselves in their answers: a limit, and that they leave.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rstest::rstest;

use support::raw::{pass, run};
use support::{Fleet, get};

/// The span in which the platform counts what a limited backend server gets.
const SPAN: Duration = Duration::from_secs(4);
/// How long after it named its limit that counts.
const STABLE: Duration = Duration::from_secs(3);

/// Returns what a backend server that takes so many requests a second may get in a span.
fn allowed(per_s: f64) -> usize {
    (1.5 * SPAN.as_secs_f64() * per_s) as usize + 5
}

/// What became of requests that were sent at a steady pace.
#[derive(Default)]
struct Flow {
    sent: Cell<usize>,
    served: Cell<usize>,
    ended: Cell<usize>,
}

impl Flow {
    /// Sends requests for `target` through a node, one each `gap_ms`, for so long.
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
            let (flow, number) = (Rc::clone(self), self.sent.get());
            self.sent.set(number + 1);
            let text = get(&format!("{target}?{index}-{number}"));
            tokio::task::spawn_local(async move {
                caller.send(text).await;
                let served = caller.reply().await.status == 200;
                flow.served.set(flow.served.get() + usize::from(served));
                flow.ended.set(flow.ended.get() + 1);
            });
            pass(gap_ms).await;
        }
        support::until(|| self.ended.get() == self.sent.get()).await;
    }
}

#[rstest]
#[case::as_the_incident_spells_it("server-limit")]
#[case::as_other_headers_are_spelled("oriolering-server-limit")]
fn a_backend_server_gets_no_more_than_the_limit_that_it_names(#[case] name: &'static str) {
    run(async {
        let fleet = Fleet::serving(&["front", "front", "s", "s"]).await;
        let limited = &fleet.instances[2].backend;
        limited.set_answer_headers(&[(name, "10.0")]);
        let named = Instant::now();
        let flow = Rc::new(Flow::default());
        tokio::join!(
            flow.send(&fleet, 0, "/get/slow/20", 20, 5_000),
            flow.send(&fleet, 1, "/get/slow/20", 20, 5_000),
        );
        let most = limited.max_requests_in(SPAN, named + STABLE);
        assert!(most <= allowed(10.0), "{most} in {SPAN:?}");
        assert!(most >= 20, "{most} in {SPAN:?}: it is hardly used");
        assert_eq!(flow.served.get(), flow.sent.get());
    });
}

#[rstest]
fn a_limit_holds_though_the_node_beside_the_backend_server_starts_again(
    #[values(false, true)] in_health: bool,
) {
    run(async {
        let mut fleet = Fleet::serving(&["front", "front", "s", "s"]).await;
        let limited = fleet.instances[2].backend.clone();
        limited.set_headers_in_health(in_health);
        limited.set_answer_headers(&[("server-limit", "0.5")]);
        let named = Instant::now();
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/slow/400", 50, 1_000).await;
        // What came before its first answers was sent by nodes that did not know.
        limited.clear_requests();
        flow.send(&fleet, 0, "/get/slow/400", 50, 1_500).await;
        fleet.kill(2).await;
        let killed = Instant::now();
        fleet.start_one(2);
        flow.send(&fleet, 0, "/get/slow/400", 50, 3_500).await;
        // The first answer would come 400 ms after the first request.
        let most = limited.max_requests_in(Duration::from_millis(300), killed);
        assert!(most <= 2, "{most} before an answer");
        let most = limited.max_requests_in(SPAN, named + STABLE);
        assert!(most <= allowed(0.5), "{most} in {SPAN:?}");
    });
}

#[rstest]
#[case::as_the_incident_spells_it("server-leaving")]
#[case::as_other_headers_are_spelled("oriolering-server-leaving")]
fn a_backend_server_that_says_that_it_leaves_gets_nothing_new(#[case] name: &'static str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let leaving = &fleet.instances[1].backend;
        leaving.set_answer_headers(&[(name, "1")]);
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/slow/20", 10, 500).await;
        assert!(leaving.total_requests() > 0, "it never answered");
        leaving.clear_requests();
        flow.send(&fleet, 0, "/get/slow/20", 10, 500).await;
        assert_eq!(leaving.total_requests(), 0);
        assert_eq!(flow.served.get(), flow.sent.get());
    });
}

#[test]
fn a_node_that_was_told_sends_nothing_to_what_leaves_though_the_node_beside_it_starts_again() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s", "s"]).await;
        let leaving = fleet.instances[1].backend.clone();
        leaving.set_answer_headers(&[("server-leaving", "1")]);
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/slow/20", 10, 500).await;
        assert!(leaving.total_requests() > 0, "it never answered");
        fleet.kill(1).await;
        fleet.start_one(1);
        leaving.clear_requests();
        flow.send(&fleet, 0, "/get/slow/20", 10, 2_000).await;
        assert_eq!(leaving.total_requests(), 0);
    });
}

#[test]
fn a_limit_ends_with_an_answer_that_names_none() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let server = &fleet.instances[1].backend;
        server.set_answer_headers(&[("server-limit", "20")]);
        fleet.call(0, &get("/get/echo")).await;
        server.set_answer_headers(&[]);
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/echo", 10, 1_000).await;
        assert_eq!(flow.served.get(), flow.sent.get());
        assert_eq!(fleet.events(1, "server_unlimited").await.len(), 1);
    });
}

#[test]
fn another_run_at_the_address_begins_without_limit_and_leaving() {
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
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/echo", 20, 500).await;
        assert_eq!(flow.served.get(), flow.sent.get());
    });
}

/// A 421 is the answer of a backend server that was not asked.
#[test]
fn what_another_backend_server_says_of_itself_is_not_taken() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        for instance in &fleet.instances[1..] {
            let backend = &instance.backend;
            backend.set_misdirected_headers(&[("server-limit", "0"), ("server-leaving", "1")]);
        }
        assert_eq!(fleet.call(0, &get("/get/misdirected")).await.status, 200);
        // For a while the address counts as that of another one.
        pass(2_100).await;
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/echo", 10, 500).await;
        assert_eq!(flow.served.get(), flow.sent.get());
        let served: usize = fleet.instances[1..]
            .iter()
            .filter(|i| i.backend.total_requests() > 2)
            .count();
        assert_eq!(served, 2, "both serve");
    });
}

#[test]
fn a_limit_that_cannot_be_read_is_none_and_written_down_once() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        fleet.instances[1]
            .backend
            .set_answer_headers(&[("server-limit", "a few")]);
        let flow = Rc::new(Flow::default());
        flow.send(&fleet, 0, "/get/echo", 10, 500).await;
        assert_eq!(flow.served.get(), flow.sent.get());
        let lines = fleet.events(1, "limit_rejected").await;
        assert_eq!(lines.len(), 1);
        assert_eq!(lines[0]["value"], "a few");
    });
}

/// All backend servers of the service are limited: the calls that have no turn in time are refused at
/// once, with times to come back that differ.
#[test]
fn what_the_limits_leave_no_turn_is_refused_at_once() {
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
        let mut backs = Vec::new();
        for _ in 0..20 {
            let asked = Instant::now();
            let text = get("/get/echo").replace("3000", "300");
            let reply = fleet.call(0, &text).await;
            if reply.status == 503 {
                assert!(asked.elapsed() < Duration::from_millis(100));
                backs.push(reply.header("retry-after").expect("a time").to_owned());
            }
        }
        assert!(backs.len() >= 10, "{backs:?}");
        backs.sort_unstable();
        backs.dedup();
        assert!(backs.len() >= 5, "{backs:?}");
    });
}

#[test]
fn what_waits_for_a_turn_goes_on_when_another_run_begins() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let server = &fleet.instances[1].backend;
        server.set_answer_headers(&[("server-limit", "0.8")]);
        fleet.call(0, &get("/get/echo")).await;
        let mut caller = fleet.caller(0).await;
        caller.send(get("/get/echo")).await;
        let sent = Instant::now();
        pass(100).await;
        server.set_answer_headers(&[]);
        fleet.reassign_address(1, "i-next", "s");
        assert_eq!(caller.reply().await.status, 200);
        assert!(sent.elapsed() < Duration::from_millis(700));
    });
}
