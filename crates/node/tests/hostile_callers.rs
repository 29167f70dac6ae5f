//! Crowds of callers that send large, endless or incomplete requests to nodes on a platform.
//!
//! Each test starts node processes with little memory and guards against the crowd making a node
//! exceed the memory of its instance, leak descriptors or stop serving ordinary callers. The tests
//! check no times and no share of served requests, and one of them runs at a time.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Barrier, Mutex, PoisonError};
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use support::{BACKEND_PORT, LIMIT, Node, entry, free_ip, head, start_store_with, status};

/// How long a caller of a crowd waits for the node to read more.
const STALL: Duration = Duration::from_secs(1);
/// The largest body of a request in the lowered settings, in bytes.
const BODY_BYTES: usize = 8_000_000;
/// The memory of an instance in the lowered settings, in megabytes.
const MEMORY_MB: u64 = 64;
/// How long the node waits for the rest of a head or a body, in milliseconds.
const HEADER_MS: u64 = 3_000;
/// The same for the crowd of partial heads, which must all be open at once on a busy machine.
const LONG_HEADER_MS: u64 = 20_000;
/// The callers of a crowd that sends bodies.
const BODY_CROWD: usize = 16;
/// The callers of a crowd that sends partial heads, and the size of each head in bytes.
const HEAD_CROWD: usize = 2_100;
const HEAD_BYTES: usize = 30_000;
/// How many threads send the partial heads.
const SENDERS: usize = 28;

/// One test at a time, so that the nodes have the machine to themselves.
static TURN: Mutex<()> = Mutex::new(());

/// Starts a store with one route to the backend servers of the service `s` at these addresses.
fn start_store(backends: &[IpAddr], body_bytes: usize, header_ms: u64) -> SocketAddr {
    let config = json!({
        "version": 1,
        "routes": [{"name": "s", "host": "h.example", "prefix": "/s/", "kind": "upload",
            "timeout_ms": 20_000, "target_latency_ms": 5_000, "priority": 0, "service": "s",
            "max_attempts": 1}],
        "services": [{"name": "s", "health_path": "/health", "max_connections": 64},
            {"name": "front", "health_path": "/health", "max_connections": 64}],
        "limits": {"max_header_bytes": HEAD_BYTES + 8_192, "max_body_bytes": body_bytes,
            "header_timeout_ms": header_ms, "idle_timeout_ms": 15_000},
    });
    let entries = backends.iter().map(|ip| entry(*ip, "s")).collect();
    start_store_with(config, entries)
}

/// Starts a backend server that reads bodies without keeping them.
fn start_backend(ip: IpAddr) {
    let listener = TcpListener::bind(SocketAddr::new(ip, BACKEND_PORT)).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            std::thread::spawn(move || serve_backend(ip, stream));
        }
    });
}

/// Answers the requests of a connection with the length of their bodies.
fn serve_backend(ip: IpAddr, stream: TcpStream) -> Option<()> {
    let mut answers = stream.try_clone().ok()?;
    let mut requests = BufReader::new(stream);
    loop {
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if requests.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line == "\r\n" {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or_default();
            match name.to_ascii_lowercase().as_str() {
                "oriolering-request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().ok()?,
                _ => {}
            }
        }
        let read = std::io::copy(&mut (&mut requests).take(length), &mut std::io::sink()).ok()?;
        let body = read.to_string();
        let named = match id.is_empty() {
            true => String::new(),
            false => format!("oriolering-request-id: {id}\r\n"),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{named}oriolering-instance-id: i-{ip}\r\n\
             oriolering-response-signature: 3e1b.07.5a2\r\noriolering-server-load: 0,0,8,100\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        answers.write_all(answer.as_bytes()).ok()?;
    }
}

/// What each caller of a crowd sends.
#[derive(Clone, Copy, Debug)]
enum Body {
    /// A body with a length that stops one byte before its end.
    Stopped,
    /// A chunked body of legal size without its end, in chunks of this size.
    Chunked(usize),
    /// A body whose announced length is far over the limit, sent as far as the node reads it.
    AnnouncedTooLarge,
    /// A chunked body that grows far over the limit.
    SentTooLarge,
    /// A complete body.
    Whole,
}

impl Body {
    fn head(self) -> Vec<u8> {
        match self {
            Self::Stopped | Self::Whole => head("POST", "", BODY_BYTES),
            Self::AnnouncedTooLarge => head("POST", "", 1_000 * BODY_BYTES),
            Self::Chunked(_) | Self::SentTooLarge => {
                head("POST", "transfer-encoding: chunked\r\n", 0)
            }
        }
    }

    fn bytes(self) -> Vec<u8> {
        match self {
            Self::Stopped => vec![b'x'; BODY_BYTES - 1],
            Self::Whole => vec![b'x'; BODY_BYTES],
            Self::AnnouncedTooLarge => vec![b'x'; 3 * BODY_BYTES],
            Self::Chunked(size) => chunks(size, BODY_BYTES / size),
            Self::SentTooLarge => chunks(64_000, 3 * BODY_BYTES / 64_000),
        }
    }
}

fn chunks(size: usize, count: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}

/// Sends from all callers of a crowd at once, and returns their open connections when each has
/// sent everything or the node reads no more. None goes on beyond a body of legal size before all
/// have sent as much.
fn send_bodies(node: &Node, body: Body) -> Vec<TcpStream> {
    let bytes = body.bytes();
    let (legal, rest) = bytes.split_at(bytes.len().min(BODY_BYTES * 7 / 8));
    let barrier = Barrier::new(BODY_CROWD);
    std::thread::scope(|scope| {
        let callers = (0..BODY_CROWD).map(|_| {
            let mut stream = node.connect().unwrap();
            stream.set_write_timeout(Some(STALL)).unwrap();
            let barrier = &barrier;
            scope.spawn(move || {
                // The node may close the connection or stop reading at any point.
                let _ = stream.write_all(&body.head());
                let sent = stream.write_all(legal);
                barrier.wait();
                if sent.is_ok() {
                    let _ = stream.write_all(rest);
                }
                stream
            })
        });
        let callers: Vec<_> = callers.collect();
        let streams = callers.into_iter().map(|caller| caller.join().unwrap());
        streams.collect()
    })
}

/// Opens a part of the crowd of partial heads.
fn send_heads(node: &Node, partial: &[u8]) -> Vec<TcpStream> {
    let callers = (0..HEAD_CROWD / SENDERS).map(|_| {
        let mut stream = node.connect().unwrap();
        stream.set_write_timeout(Some(STALL)).unwrap();
        // The node may close the connection at any point.
        let _ = stream.write_all(partial);
        stream
    });
    callers.collect()
}

#[rstest]
#[case::length(Body::Stopped)]
#[case::large_chunks(Body::Chunked(250_000))]
#[case::small_chunks(Body::Chunked(500))]
#[case::announced_too_large(Body::AnnouncedTooLarge)]
#[case::sent_too_large(Body::SentTooLarge)]
#[case::whole(Body::Whole)]
fn a_crowd_of_large_bodies_leaves_a_node_within_its_memory(#[case] body: Body) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let ip = free_ip();
    start_backend(ip);
    let store = start_store(&[ip], BODY_BYTES, HEADER_MS);
    let mut node = Node::start(ip, "s", store, MEMORY_MB);
    node.wait_serving();
    let crowd = send_bodies(&node, body);
    node.check(MEMORY_MB, BODY_CROWD);
    drop(crowd);
    node.wait_serving();
    node.check(MEMORY_MB, BODY_CROWD);
}

/// Guards against the copies of bodies in the queue of a link and at the gate.
#[test]
fn a_crowd_of_large_bodies_over_a_link_leaves_both_nodes_within_their_memory() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (front, back) = (free_ip(), free_ip());
    start_backend(back);
    let store = start_store(&[back], BODY_BYTES, HEADER_MS);
    let mut gate = Node::start(back, "s", store, MEMORY_MB);
    let mut node = Node::start(front, "front", store, MEMORY_MB);
    gate.wait_serving();
    node.wait_serving();
    let mut crowd = send_bodies(&node, Body::Whole);
    for caller in &mut crowd {
        caller.set_read_timeout(Some(LIMIT)).unwrap();
        status(caller);
    }
    node.check(MEMORY_MB, BODY_CROWD);
    gate.check(MEMORY_MB, BODY_CROWD);
    drop(crowd);
    node.wait_serving();
}

#[test]
fn a_crowd_of_partial_heads_leaves_a_node_within_its_memory() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let ip = free_ip();
    start_backend(ip);
    let store = start_store(&[ip], BODY_BYTES, LONG_HEADER_MS);
    let mut node = Node::start(ip, "s", store, MEMORY_MB);
    node.wait_serving();
    let mut partial = b"GET /s/a HTTP/1.1\r\nhost: h.example\r\nfill: ".to_vec();
    partial.resize(HEAD_BYTES, b'x');
    let crowd = std::thread::scope(|scope| {
        let senders = (0..SENDERS).map(|_| scope.spawn(|| send_heads(&node, &partial)));
        let senders: Vec<_> = senders.collect();
        let streams = senders
            .into_iter()
            .flat_map(|sender| sender.join().unwrap());
        streams.collect::<Vec<_>>()
    });
    // The node accepts in order, so it has read from the crowd before it answers.
    node.wait_serving();
    node.check(MEMORY_MB, HEAD_CROWD);
    drop(crowd);
    node.wait_serving();
    node.check(MEMORY_MB, HEAD_CROWD);
}

/// Guards against limits that reject a single request of legal size without other load.
#[rstest]
#[case::length(false, false)]
#[case::length_over_a_link(false, true)]
#[case::chunks(true, false)]
#[case::chunks_over_a_link(true, true)]
fn the_largest_body_is_served_in_160_megabytes(#[case] chunked: bool, #[case] linked: bool) {
    const LARGEST_BYTES: usize = 64 * 1_024 * 1_024;
    const LARGE_MB: u64 = 160;
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (front, back) = (free_ip(), free_ip());
    start_backend(back);
    let store = start_store(&[back], LARGEST_BYTES, HEADER_MS);
    let gate = Node::start(back, "s", store, LARGE_MB);
    gate.wait_serving();
    let mut nodes = vec![gate];
    if linked {
        let node = Node::start(front, "front", store, LARGE_MB);
        node.wait_serving();
        nodes.push(node);
    }
    let mut caller = nodes.last().unwrap().connect().unwrap();
    caller.set_read_timeout(Some(LIMIT)).unwrap();
    let (head, body) = match chunked {
        true => {
            let mut body = chunks(64 * 1_024, 1_024);
            body.extend_from_slice(b"0\r\n\r\n");
            (head("POST", "transfer-encoding: chunked\r\n", 0), body)
        }
        false => (head("POST", "", LARGEST_BYTES), vec![b'x'; LARGEST_BYTES]),
    };
    caller.write_all(&head).unwrap();
    caller.write_all(&body).unwrap();
    assert_eq!(status(&mut caller), Some(200));
    let _ = caller.shutdown(Shutdown::Both);
    for node in &mut nodes {
        node.check(LARGE_MB, 1);
    }
}
