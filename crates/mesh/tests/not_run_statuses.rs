//! Statuses that tell a caller that its request has not run, in responses of backend servers that ran
//! it and in those of backend servers that did not.

mod support;

use rstest::rstest;
use support::backend::{FAILURE_BODY, SIGNATURE};
use support::raw::{Reply, run, sleep_ms};
use support::{Fleet, config_with_calls, request, until};

const SIGNATURE_NAME: &str = "oriolering-response-signature";
/// How many attempts the routes allow.
const MAX_ATTEMPTS: usize = 2;
/// How many requests are sent at most until both of two backend servers have run some.
const ROUNDS_MAX: usize = 200;
/// How many requests a failing backend server is to run.
const FAILED_RUNS: usize = 3;
/// The duration of a request that makes a call, in milliseconds.
const PARENT_MS: u64 = 1_000;
/// The usual duration of requests whose second run is tested, in milliseconds.
const USUAL_MS: u64 = 40;
/// The duration of a run that a second one is started beside, in milliseconds.
const SLOW_MS: u64 = 1_000;

/// A kind of route, by the name of its route and the method of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Idempotent,
    NonIdempotent,
    Upload,
    Download,
}

impl Kind {
    fn target(self, path: &str) -> String {
        let route = match self {
            Self::Idempotent => "get",
            Self::NonIdempotent => "post",
            Self::Upload => "upload",
            Self::Download => "files",
        };
        format!("/{route}/{path}")
    }

    fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }

    fn request(self, target: &str) -> String {
        match self.is_idempotent() {
            true => request("GET", target, "", ""),
            false => request("POST", target, "", "body"),
        }
    }
}

/// Starts a fleet with a route of each kind to the service `s`, and two routes for calls to `t`.
async fn start(services: &[&str]) -> Fleet {
    let fleet = Fleet::serving(services).await;
    let mut config = config_with_calls(2);
    let routes = config["routes"].as_array_mut().expect("a list");
    let mut upload = routes[1].clone();
    upload["name"] = "upload".into();
    upload["prefix"] = "/upload/".into();
    upload["kind"] = "upload".into();
    let mut inner = routes[1].clone();
    inner["name"] = "inner-post".into();
    inner["prefix"] = "/inner-post/".into();
    inner["service"] = "t".into();
    routes.extend([upload, inner]);
    fleet.store.put("op/config", &config);
    for node in 0..services.len() {
        let target = format!("/upload/echo?settle-{node}");
        while fleet
            .call(node, &request("POST", &target, "", "x"))
            .await
            .status
            != 200
        {
            sleep_ms(10).await;
        }
    }
    fleet
}

/// Checks that an answer promises nothing, and holds nothing of the failed response.
fn assert_promises_nothing(reply: &Reply) {
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!(reply.header(SIGNATURE_NAME), None, "{reply:?}");
    assert_eq!(reply.header("retry-after"), None, "{reply:?}");
    assert!(!reply.text().contains(FAILURE_BODY), "{reply:?}");
}

/// Checks that an answer is one of the node that promises that the request has not run.
fn assert_promises_not_run(reply: &Reply) {
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.header(SIGNATURE_NAME), None, "{reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
}

/// The services of a fleet whose first node has no backend server of `s`, or one of its own.
fn services(remote: bool) -> &'static [&'static str] {
    match remote {
        true => &["front", "s", "s"],
        false => &["s", "s"],
    }
}

// Guards against a failed run whose status is passed on: its caller would be told that it never ran,
// send it again, and a deposit would run twice.
#[rstest]
fn a_request_that_ran_and_failed_everywhere_is_not_answered_as_one_that_did_not_run(
    #[values(408, 421, 429, 503)] status: u16,
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Upload, Kind::Download)] kind: Kind,
    #[values(true, false)] remote: bool,
) {
    run(async move {
        let fleet = start(services(remote)).await;
        let target = kind.target(&format!("answer/{status}"));
        let reply = fleet.call(0, &kind.request(&target)).await;
        assert_promises_nothing(&reply);
        sleep_ms(100).await;
        let runs = fleet.request_count(&target);
        match kind.is_idempotent() {
            true => assert!((1..=MAX_ATTEMPTS).contains(&runs), "{runs} runs"),
            false => assert_eq!(runs, 1),
        }
    });
}

// The same where one of two backend servers fails what it runs.
#[rstest]
fn a_request_that_ran_and_failed_at_one_backend_server_is_not_answered_as_one_that_did_not_run(
    #[values(408, 421, 429, 503)] status: u16,
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Upload, Kind::Download)] kind: Kind,
    #[values(true, false)] remote: bool,
) {
    run(async move {
        let services = services(remote);
        let fleet = start(services).await;
        let failing = &fleet.instances[services.len() - 1].backend;
        let path = kind.target(&format!("answer/{status}/{}", failing.id));
        for round in 0..ROUNDS_MAX {
            if failing.request_count_by_prefix(&path) >= FAILED_RUNS {
                return;
            }
            let target = format!("{path}?{round}");
            let reply = fleet.call(0, &kind.request(&target)).await;
            let (runs, failed) = (fleet.request_count(&target), failing.request_count(&target));
            if kind.is_idempotent() {
                assert_eq!(reply.status, 200, "{reply:?}");
                continue;
            }
            assert_eq!(runs, 1, "{target}");
            match failed {
                0 => assert_eq!(reply.status, 200, "{reply:?}"),
                _ => assert_promises_nothing(&reply),
            }
            // A failure makes the node avoid the backend server for a while.
            sleep_ms(20).await;
        }
        panic!("the failing backend server ran too few requests");
    });
}

// The same for the calls that a backend server makes while it runs a request.
#[rstest]
fn a_call_that_ran_and_failed_is_not_answered_as_one_that_did_not_run(
    #[values(408, 421, 429, 503)] status: u16,
    #[values("inner", "inner-post")] route: &'static str,
    #[values(true, false)] remote: bool,
) {
    run(async move {
        let fleet = match remote {
            true => start(&["s", "t"]).await,
            false => start(&["s", "t", "t"]).await,
        };
        let parent_target = format!("/post/slow/{PARENT_MS}");
        let mut parent = fleet.caller(1).await;
        let text = request("POST", &parent_target, "", "body");
        parent.send(text.replace("id-1", "parent")).await;
        until(|| fleet.request_count(&parent_target) == 1).await;
        let target = format!("/{route}/answer/{status}");
        let method = if route == "inner" { "GET" } else { "POST" };
        let call = request(method, &target, "", "").replace("id-1", "parent.call");
        let reply = fleet.call(0, &call).await;
        assert_promises_nothing(&reply);
        let runs = fleet.request_count(&target);
        match route {
            "inner" => assert!((1..=MAX_ATTEMPTS).contains(&runs), "{runs} runs"),
            _ => assert_eq!(runs, 1),
        }
        assert_eq!(parent.reply().await.status, 200);
    });
}

// Guards against a second run that is taken as the answer although its status promises that it did
// not run, while the first run can still succeed.
#[rstest]
fn a_second_run_that_fails_does_not_end_the_first(#[values(408, 421, 429, 503)] status: u16) {
    run(async move {
        let fleet = start(&["front", "s", "s"]).await;
        for number in 0..10 {
            let usual = Kind::Idempotent.target(&format!("slow/{USUAL_MS}?{number}"));
            fleet.call(0, &Kind::Idempotent.request(&usual)).await;
        }
        let target = Kind::Idempotent.target(&format!("answer-again/{status}/{SLOW_MS}"));
        let reply = fleet.call(0, &Kind::Idempotent.request(&target)).await;
        assert_eq!(fleet.request_count(&target), 2, "no second run");
        assert_eq!((reply.status, reply.text()), (200, "slow"));
    });
}

// Guards against a fix that also changes the failures that promise nothing.
#[rstest]
fn any_other_failure_is_forwarded_with_its_signature_and_body(
    #[values(
        400, 401, 403, 404, 409, 410, 413, 422, 425, 431, 500, 501, 502, 504, 505, 599
    )]
    status: u16,
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Upload, Kind::Download)] kind: Kind,
    #[values(true, false)] remote: bool,
) {
    run(async move {
        let fleet = start(services(remote)).await;
        let target = kind.target(&format!("answer/{status}"));
        let reply = fleet.call(0, &kind.request(&target)).await;
        assert_eq!((reply.status, reply.text()), (status, FAILURE_BODY));
        assert_eq!(reply.header(SIGNATURE_NAME), Some(SIGNATURE));
        assert_eq!(reply.header("retry-after"), Some("1"));
        if !kind.is_idempotent() || status < 500 {
            assert_eq!(fleet.request_count(&target), 1);
        }
    });
}

// Guards against a fix that takes a request that was rejected for one that ran: it is to run elsewhere.
#[rstest]
fn a_request_that_one_backend_server_rejects_runs_at_another(
    #[values(400, 408, 421, 429, 503)] status: u16,
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Upload, Kind::Download)] kind: Kind,
) {
    run(async move {
        let fleet = start(&["front", "s", "s"]).await;
        let rejecting = &fleet.instances[2].backend;
        let path = kind.target(&format!("reject/{status}/{}", rejecting.id));
        for round in 0..ROUNDS_MAX {
            if rejecting.request_count_by_prefix(&path) > 0 {
                return;
            }
            let target = format!("{path}?{round}");
            let reply = fleet.call(0, &kind.request(&target)).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        panic!("no request was rejected");
    });
}

// Guards against a fix that takes back the promise of a request that no backend server ran.
#[rstest]
fn a_request_that_all_backend_servers_reject_is_answered_as_one_that_did_not_run(
    #[values(400, 408, 421, 429, 503)] status: u16,
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Upload, Kind::Download)] kind: Kind,
    #[values(true, false)] remote: bool,
) {
    run(async move {
        let fleet = start(services(remote)).await;
        let target = kind.target(&format!("reject/{status}"));
        let reply = fleet.call(0, &kind.request(&target)).await;
        assert_promises_not_run(&reply);
    });
}

// Guards against a fix that takes a misdirected request for one that ran.
#[rstest]
fn a_request_that_another_backend_server_answers_as_misdirected_runs_elsewhere(
    #[values(Kind::Idempotent, Kind::NonIdempotent, Kind::Upload, Kind::Download)] kind: Kind,
) {
    run(async move {
        let fleet = start(&["front", "s", "s"]).await;
        let target = kind.target("misdirected");
        let reply = fleet.call(0, &kind.request(&target)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(fleet.request_count(&target), 2);
    });
}
