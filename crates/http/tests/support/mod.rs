//! Helpers of the connection tests: a raw TCP peer, a runtime and timeouts.

// Each test file uses a part of this module.
#![allow(dead_code, unreachable_pub)]

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

/// How long a test waits for an expected event, in milliseconds.
const WAIT_MS: u64 = 5_000;

/// Runs a test on a single-threaded runtime, as a node uses.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Awaits a future and panics if it takes too long.
pub async fn within_deadline<T>(future: impl Future<Output = T>) -> T {
    let wait = Duration::from_millis(WAIT_MS);
    timeout(wait, future)
        .await
        .expect("the future completes in time")
}

/// Sleeps for `ms` milliseconds.
pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Returns a listener on a free loopback port.
pub async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

/// A response as parsed from its raw bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("text")
    }

    pub fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// One end of a connection that sends and reads raw bytes.
pub struct RawPeer {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl RawPeer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("an option");
        let buf = Vec::new();
        Self { stream, buf }
    }

    pub async fn connect(address: std::net::SocketAddr) -> Self {
        Self::new(
            within_deadline(TcpStream::connect(address))
                .await
                .expect("a connection"),
        )
    }

    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        let written = within_deadline(self.stream.write_all(bytes.as_ref())).await;
        written.expect("the peer reads");
    }

    /// Reads the next head, without the empty line that ends it.
    pub async fn head(&mut self) -> String {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                return String::from_utf8(head[..end].to_vec()).expect("a head is text");
            }
            assert_ne!(self.fill().await, 0, "the end came before a whole head");
        }
    }

    /// Reads the next head, or returns none if the connection ends before it is whole.
    pub async fn next_head(&mut self) -> Option<String> {
        loop {
            if find(&self.buf, b"\r\n\r\n").is_some() {
                return Some(self.head().await);
            }
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buf.extend_from_slice(&chunk[..count]),
            }
        }
    }

    /// Reads `count` bytes.
    pub async fn bytes(&mut self, count: usize) -> Vec<u8> {
        while self.buf.len() < count {
            assert_ne!(self.fill().await, 0, "the end came before {count} bytes");
        }
        self.buf.drain(..count).collect()
    }

    /// Reads the next response with the body length from its `Content-Length`, or zero.
    pub async fn reply(&mut self) -> Reply {
        let head = self.head().await;
        let mut reply = parse(&head);
        let length = reply.header("content-length").map_or("0", |v| v);
        let length = length.parse().expect("a length");
        reply.body = self.bytes(length).await;
        reply
    }

    /// Reads the next response, which has no body whatever its headers say.
    pub async fn reply_head(&mut self) -> Reply {
        parse(&self.head().await)
    }

    /// Reads until the connection ends.
    pub async fn rest(&mut self) -> Vec<u8> {
        while self.fill().await > 0 {}
        std::mem::take(&mut self.buf)
    }

    /// Returns whether for `ms` milliseconds no bytes arrive and the connection stays open.
    pub async fn is_quiet(&mut self, ms: u64) -> bool {
        let mut byte = [0];
        let read = self.stream.peek(&mut byte);
        timeout(Duration::from_millis(ms), read).await.is_err()
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("an option");
    }

    async fn fill(&mut self) -> usize {
        let mut chunk = [0; 16 * 1024];
        let count = within_deadline(self.stream.read(&mut chunk))
            .await
            .unwrap_or(0);
        self.buf.extend_from_slice(&chunk[..count]);
        count
    }
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|w| w == needle)
}

fn parse(head: &str) -> Reply {
    let mut lines = head.split("\r\n");
    let first = lines.next().expect("a status line");
    let status = first.split(' ').nth(1).expect("a status");
    let headers = lines.map(|line| {
        let (name, value) = line.split_once(':').expect("a header");
        (name.to_ascii_lowercase(), value.trim().to_owned())
    });
    Reply {
        status: status.parse().expect("a number"),
        headers: headers.collect(),
        body: Vec::new(),
    }
}
