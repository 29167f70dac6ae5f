//! Spans of requests over two nodes, and log lines with the source of routes and lists.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::Value;
use support::raw::{RawPeer, Reply, run, sleep_ms};
use support::{Fleet, request};

const METRICS_PORT: u16 = 9464;
const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER: &str = "00f067aa0ba902b7";
/// The maximum number of spans that a node creates per second.
const SPANS_PER_S: usize = 32;

/// Sends a GET request to the metrics port of a node.
async fn get_metrics_port(fleet: &Fleet, index: usize, path: &str) -> Reply {
    let address = SocketAddr::new(fleet.instances[index].ip, METRICS_PORT);
    let mut connection = RawPeer::connect(address).await;
    connection
        .send(format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n"))
        .await;
    connection.reply().await
}

/// Returns the value of a metric without labels.
fn metric(scrape: &Reply, name: &str) -> Option<usize> {
    let mut lines = scrape.text().lines();
    let line = lines.find(|line| line.split(['{', ' ']).next() == Some(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Returns the spans of a trace that a node has kept.
async fn spans(fleet: &Fleet, index: usize, trace: &str) -> Vec<Value> {
    let reply = get_metrics_port(fleet, index, &format!("/trace?id={trace}")).await;
    assert_eq!(reply.status, 200);
    serde_json::from_str(reply.text()).expect("a list")
}

/// Returns a request with a trace context from its caller.
fn traced(target: &str, flags: &str) -> String {
    let context = format!("Traceparent: 00-{TRACE}-{CALLER}-{flags}\r\nTracestate: other=1\r\n");
    request("GET", target, &context, "")
}

fn has_note(span: &Value, note: &str) -> bool {
    let notes = span["notes"].as_array().expect("notes");
    notes.iter().any(|n| n == note)
}

#[test]
fn a_request_over_two_nodes_has_two_spans_of_one_trace() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let reply = fleet.call(0, &traced("/get/echo", "01")).await;
        assert_eq!(reply.status, 200);
        let ingress = spans(&fleet, 0, TRACE).await;
        let gate = spans(&fleet, 1, TRACE).await;
        assert_eq!((ingress.len(), gate.len()), (1, 1));
        let (ingress, gate) = (&ingress[0], &gate[0]);
        assert_eq!(ingress["name"], "ingress");
        assert_eq!(ingress["parent"], CALLER);
        assert_eq!(gate["name"], "gate");
        assert_eq!(gate["trace"], TRACE);
        assert_eq!(gate["parent"], ingress["span"]);
        for note in ["request=id-1", "route=get", "service=s", "server=i-3"] {
            assert!(has_note(ingress, note), "{ingress}");
        }
        assert!(has_note(ingress, "outcome=answered") && has_note(ingress, "status=200"));
        assert!(
            has_note(gate, "server=i-3") && has_note(gate, "outcome=answered"),
            "{gate}"
        );
        // The span of the gate is the parent of the backend server's own spans.
        let received = fleet.instances[1]
            .backend
            .find("/get/echo")
            .expect("it ran");
        let span = gate["span"].as_str().expect("digits");
        let expected = format!("00-{TRACE}-{span}-01");
        assert_eq!(received.header("traceparent"), Some(expected.as_str()));
        assert_eq!(received.header("tracestate"), Some("other=1"));
    });
}

#[test]
fn each_gate_that_got_the_request_has_a_child_span_of_the_ingress() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let reply = fleet.call(0, &traced("/get/fail", "01")).await;
        assert_eq!(reply.status, 500);
        let ingress = spans(&fleet, 0, TRACE).await;
        assert_eq!(ingress.len(), 1);
        assert!(has_note(&ingress[0], "attempts=2"), "{ingress:?}");
        for index in [1, 2] {
            let gate = spans(&fleet, index, TRACE).await;
            assert_eq!(gate.len(), 1, "the gate of node {index}");
            assert_eq!(gate[0]["parent"], ingress[0]["span"]);
            assert!(has_note(&gate[0], "status=500"));
        }
    });
}

#[test]
fn a_request_whose_caller_disconnected_has_spans() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        caller.send(traced("/get/slow/1400", "01")).await;
        support::until(|| fleet.request_count("/get/slow/1400") == 1).await;
        caller.reset();
        let backend = &fleet.instances[1].backend;
        support::until(|| backend.has_dropped("/get/slow/1400")).await;
        let ingress = spans(&fleet, 0, TRACE).await;
        let gate = spans(&fleet, 1, TRACE).await;
        assert!(has_note(&ingress[0], "outcome=cancelled"), "{ingress:?}");
        assert!(has_note(&gate[0], "outcome=dropped"), "{gate:?}");
    });
}

#[rstest]
#[case::not_traced("00")]
#[case::no_flags("")]
#[case::no_digits("zz")]
fn a_trace_context_that_is_not_sampled_is_forwarded_unchanged(#[case] flags: &str) {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        fleet.call(0, &traced("/get/echo", flags)).await;
        assert!(spans(&fleet, 0, TRACE).await.is_empty());
        assert!(spans(&fleet, 1, TRACE).await.is_empty());
        let received = fleet.instances[1]
            .backend
            .find("/get/echo")
            .expect("it ran");
        let expected = format!("00-{TRACE}-{CALLER}-{flags}");
        assert_eq!(received.header("traceparent"), Some(expected.as_str()));
    });
}

#[test]
fn a_sample_of_requests_without_a_trace_context_is_traced_by_both_nodes() {
    run(async {
        const COUNT: usize = 2_048;
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let mut traces = Vec::new();
        for number in 0..COUNT {
            let target = format!("/get/echo?{number}");
            let text = request("GET", &target, "", "").replace("id-1", &format!("id-{number}"));
            caller.send(text).await;
            assert_eq!(caller.reply().await.status, 200);
            let received = fleet.instances[1].backend.find(&target).expect("it ran");
            traces.extend(received.header("traceparent").map(|t| t[3..35].to_owned()));
        }
        // One in 512 is sampled by the hash of the request ID, so each run samples the same ones.
        assert!((1..COUNT / 128).contains(&traces.len()), "{}", traces.len());
        let ingress = spans(&fleet, 0, &traces[0]).await;
        let gate = spans(&fleet, 1, &traces[0]).await;
        assert_eq!(ingress[0]["parent"], "0000000000000000");
        assert_eq!(gate[0]["parent"], ingress[0]["span"]);
        let routed = fleet.events(0, "routed").await;
        assert!(
            routed
                .iter()
                .any(|line| line["trace"] == traces[0].as_str())
        );
    });
}

#[test]
fn callers_cannot_exceed_the_limit_of_spans() {
    run(async {
        const COUNT: usize = 400;
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let started = std::time::Instant::now();
        for _ in 0..COUNT {
            caller.send(traced("/get/echo", "01")).await;
            assert_eq!(caller.reply().await.status, 200);
        }
        let seconds = started.elapsed().as_secs() as usize + 2;
        let kept = spans(&fleet, 0, TRACE).await.len();
        assert!(kept <= SPANS_PER_S * seconds, "{kept} in {seconds} s");
        let metrics = get_metrics_port(&fleet, 0, "/metrics").await;
        assert_eq!(metric(&metrics, "spans_total"), Some(kept));
        assert_eq!(metric(&metrics, "spans_dropped_total"), Some(COUNT - kept));
    });
}

#[rstest]
#[case::no_trace_id("/trace", 400)]
#[case::unknown_trace("/trace?id=0", 200)]
#[case::unknown_path("/traces", 404)]
fn the_trace_endpoint_answers_with_the_expected_status(#[case] path: &str, #[case] status: u16) {
    run(async {
        let fleet = Fleet::serving(&["s"]).await;
        assert_eq!(get_metrics_port(&fleet, 0, path).await.status, status);
    });
}

#[test]
fn routes_and_lists_are_logged_with_their_source_and_age() {
    run(async {
        const MIN_AGE_MS: u64 = 400;
        let mut fleet = Fleet::new(&["front", "s"]).await;
        fleet.store.put("op/config", &support::config(1, "s"));
        fleet.start_one(0);
        fleet.wait_ready(0).await;
        sleep_ms(MIN_AGE_MS).await;
        fleet.start_without_store(1);
        fleet.wait_ready(1).await;
        let read = fleet.events(0, "routes_taken").await;
        assert_eq!(read[0]["source"], "store");
        assert_eq!(read[0]["age_ms"], 0);
        let heard = fleet.events(1, "routes_taken").await;
        let peer = fleet.instances[0].ip.to_string();
        assert_eq!(heard[0]["source"], peer.as_str());
        assert_eq!(heard[0]["version"], 1);
        assert!(heard[0]["age_ms"].as_u64() >= Some(MIN_AGE_MS), "{heard:?}");
        let listed = fleet.events(1, "list_taken").await;
        assert_eq!(listed[0]["source"], peer.as_str());
        let linked = fleet.events(1, "node_linked").await;
        assert_eq!(linked[0]["peer"], peer.as_str());
        // A pending watch returns with the next change.
        fleet.publish(1, "ready");
        let watch = fleet.events(0, "watch_changed").await;
        assert_eq!(watch[0]["reading"], true);
    });
}

#[test]
fn the_end_of_an_attempt_has_the_backend_server_that_was_chosen_for_it() {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        assert_eq!(fleet.call(0, &traced("/get/fail", "00")).await.status, 500);
        let chosen = fleet.events(0, "chosen").await;
        let ended = fleet.events(0, "attempt_ended").await;
        let of = |lines: &[Value]| -> Vec<(Value, Value)> {
            let lines = lines.iter().filter(|line| line["request"] == "id-1");
            let failed = lines.filter(|line| line["level"] == "WARN");
            failed
                .map(|line| (line["attempt"].clone(), line["server"].clone()))
                .collect()
        };
        assert_eq!(of(&ended).len(), 2, "{ended:?}");
        assert_eq!(of(&ended), of(&chosen));
    });
}
