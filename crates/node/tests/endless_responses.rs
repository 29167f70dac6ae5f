//! Backend servers that send responses without end, as fast as their node takes them.
//!
//! Each test starts node processes, and guards against such a backend server keeping the nodes from
//! answering requests to other services, or taking their memory. The tests check no times.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use rstest::rstest;
use serde_json::json;
use support::{LIMIT, Node, entry, free_ip, head_of, start_backend_with, start_store_with};

/// The memory of an instance, in megabytes.
const MEMORY_MB: u64 = 260;
/// How many callers ask for responses without end at a time.
const ENDLESS_CALLERS: usize = 4;
/// How many ordinary requests each node gets meanwhile.
const ORDINARY_REQUESTS: usize = 8;
/// The least number of bytes that a backend server writes at once.
const WRITE_BYTES: usize = 64 * 1_024;
/// A length far over the limit of a response that is kept whole, in bytes.
const ANNOUNCED_BYTES: u64 = 99_999_999_999;

/// One test at a time, so that the nodes have the machine to themselves.
static TURN: Mutex<()> = Mutex::new(());

/// What a backend server sends without end after the head of a response.
#[derive(Clone, Copy, Debug)]
enum Endless {
    /// Chunks of this size.
    Chunks(usize),
    /// A body without a length.
    Unframed,
    /// A body whose length is far over the limit.
    Announced,
    /// A chunk size.
    ChunkSize,
    /// Field lines of a head.
    Fields,
    /// Informational responses.
    Informational,
    /// Trailers.
    Trailers,
}

impl Endless {
    fn start(self, id: &str) -> String {
        let framing = match self {
            Self::Chunks(_) | Self::ChunkSize => "transfer-encoding: chunked\r\n\r\n".to_owned(),
            Self::Trailers => "transfer-encoding: chunked\r\n\r\n0\r\n".to_owned(),
            Self::Unframed => "\r\n".to_owned(),
            Self::Announced => format!("content-length: {ANNOUNCED_BYTES}\r\n\r\n"),
            Self::Fields => String::new(),
            Self::Informational => return String::new(),
        };
        format!("HTTP/1.1 200 OK\r\n{id}oriolering-response-signature: 3e1b.07.5a2\r\n{framing}")
    }

    fn more(self) -> Vec<u8> {
        let unit = match self {
            Self::Chunks(size) => format!("{size:x}\r\n{}\r\n", "x".repeat(size)),
            Self::Unframed | Self::Announced => "x".to_owned(),
            Self::ChunkSize => "0".to_owned(),
            Self::Fields | Self::Trailers => "a: b\r\n".to_owned(),
            Self::Informational => "HTTP/1.1 102 Go on\r\n\r\n".to_owned(),
        };
        unit.repeat(WRITE_BYTES.div_ceil(unit.len())).into_bytes()
    }
}

/// Starts a backend server that answers probes, and all else without end if that is given.
fn start_backend(ip: IpAddr, endless: Option<Endless>) {
    start_backend_with(ip, move |head, stream| match endless {
        Some(endless) if head.target != "/health" => {
            stream.write_all(endless.start(&head.id_field()).as_bytes())?;
            let more = endless.more();
            loop {
                stream.write_all(&more)?;
            }
        }
        Some(_) | None => stream.write_all(head.ordinary_answer().as_bytes()),
    });
}

/// Starts a store with routes of two kinds to the service `s`, and one to the service `t`.
fn start_store(entries: &[(IpAddr, &str)]) -> SocketAddr {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 20_000, "target_latency_ms": 5_000, "priority": 0, "service": service,
            "max_attempts": 1})
    };
    let service = |name| json!({"name": name, "health_path": "/health", "max_connections": 64});
    let config = json!({
        "version": 1,
        "routes": [route("s", "idempotent", "s"), route("files", "download", "s"),
            route("t", "idempotent", "t")],
        "services": [service("s"), service("t"), service("front")],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    });
    let entries = entries.iter().map(|(ip, service)| entry(*ip, service));
    start_store_with(config, entries.collect())
}

/// Asks for responses without end, one after the other, until it is told to stop.
fn call_endlessly(node: &Node, path: &str, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let mut stream = node.connect().unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        // The node may end the response at any point.
        let _ = stream.write_all(&head_of(path, "GET", "", 0));
        read_until(stream, stop);
    }
}

/// Reads until the connection ends or `stop` is set.
fn read_until(stream: TcpStream, stop: &AtomicBool) {
    let mut reader = BufReader::with_capacity(WRITE_BYTES, stream);
    while !stop.load(Ordering::Relaxed) {
        let count = reader.fill_buf().map_or(0, <[u8]>::len);
        if count == 0 {
            return;
        }
        reader.consume(count);
    }
}

// Guards against a connection that always has more bytes and keeps the one thread of a node, on the
// ordinary path (`/s/`) and on the streamed one (`/files/`).
#[rstest]
#[case::large_chunks(Endless::Chunks(65_536))]
#[case::chunks(Endless::Chunks(1_024))]
#[case::chunks_of_one_byte(Endless::Chunks(1))]
#[case::unframed(Endless::Unframed)]
#[case::announced(Endless::Announced)]
#[case::chunk_size(Endless::ChunkSize)]
#[case::fields(Endless::Fields)]
#[case::informational(Endless::Informational)]
#[case::trailers(Endless::Trailers)]
fn other_requests_are_answered_beside_endless_responses(
    #[case] endless: Endless,
    #[values("/s/a", "/files/a")] path: &str,
) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (front, faulty, sound) = (free_ip(), free_ip(), free_ip());
    start_backend(faulty, Some(endless));
    start_backend(sound, None);
    let store = start_store(&[(faulty, "s"), (sound, "t")]);
    let services = [(front, "front"), (faulty, "s"), (sound, "t")];
    let mut nodes = services.map(|(ip, service)| Node::start(ip, service, store, MEMORY_MB));
    for node in &nodes {
        node.wait_serving_path("/t/a");
    }
    let stop = AtomicBool::new(false);
    let answers = std::thread::scope(|scope| {
        for _ in 0..ENDLESS_CALLERS {
            scope.spawn(|| call_endlessly(&nodes[0], path, &stop));
        }
        let answers = nodes[..2].iter().flat_map(|node| {
            let answers = (0..ORDINARY_REQUESTS).map(|_| node.get("/t/a"));
            answers.collect::<Vec<_>>()
        });
        let answers: Vec<_> = answers.collect();
        stop.store(true, Ordering::Relaxed);
        answers
    });
    let unanswered = answers.iter().filter(|status| **status != Some(200));
    assert_eq!(unanswered.count(), 0, "{answers:?}");
    for node in &mut nodes {
        node.check(MEMORY_MB, 2 * ENDLESS_CALLERS);
    }
}
