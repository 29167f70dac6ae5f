//! A settings file that names another service while the node runs.

mod support;

use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use support::{LIMIT, Node, entry, free_ip, start_backend_with, start_store_with};

const MEMORY_MB: u64 = 260;
/// How many requests are sent once the change is in force.
const REQUESTS: usize = 20;

/// The callers' services that a backend server was told, in order.
type Callers = Arc<Mutex<Vec<String>>>;

fn start_backend(ip: IpAddr) -> Callers {
    let callers = Callers::default();
    let seen = Arc::clone(&callers);
    start_backend_with(ip, move |head, stream| {
        let caller = head.field("oriolering-caller-service");
        if let Some(caller) = caller.filter(|_| head.target.starts_with("/s/")) {
            seen.lock().unwrap().push(caller.to_owned());
        }
        stream.write_all(head.ordinary_answer().as_bytes())
    });
    callers
}

fn start_store(server: IpAddr, kind: &str) -> SocketAddr {
    let service = |name| json!({"name": name, "health_path": "/health", "max_connections": 64});
    let config = json!({
        "version": 1,
        "routes": [{"name": "s", "host": "h.example", "prefix": "/s/", "kind": kind,
            "timeout_ms": 20_000, "target_latency_ms": 5_000, "priority": 0, "service": "s",
            "max_attempts": 1}],
        "services": [service("s"), service("front"), service("next")],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    });
    start_store_with(config, vec![entry(server, "s")])
}

// Guards against requests that name the service which the instance had when the node started: the
// backend server would run them for another caller than they come from.
#[rstest]
fn requests_name_the_service_of_the_changed_settings(
    #[values(true, false)] signalled: bool,
    #[values("idempotent", "non_idempotent", "upload", "download")] kind: &str,
) {
    let (front, server) = (free_ip(), free_ip());
    let callers = start_backend(server);
    let store = start_store(server, kind);
    let _gate = Node::start(server, "s", store, MEMORY_MB);
    let node = Node::start(front, "front", store, MEMORY_MB);
    node.wait_serving();
    callers.lock().unwrap().clear();
    assert_eq!(node.get("/s/a"), Some(200));
    assert_eq!(*callers.lock().unwrap(), ["front"]);
    node.change_service("front", "next");
    if signalled {
        node.signal("-HUP");
    }
    let end = Instant::now() + LIMIT;
    while callers.lock().unwrap().last().is_some_and(|c| c != "next") {
        assert!(Instant::now() < end, "requests name the earlier service");
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(node.get("/s/a"), Some(200));
    }
    callers.lock().unwrap().clear();
    for _ in 0..REQUESTS {
        assert_eq!(node.get("/s/a"), Some(200));
    }
    assert_eq!(*callers.lock().unwrap(), ["next"; REQUESTS]);
}
