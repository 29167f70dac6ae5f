//! One call of a caller and what the caller was told.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use ntex::util::Bytes;
use oriolering::{Cause, Outcome};

/// The body of a request.
#[derive(Clone, Debug)]
pub enum Upload {
    /// A body that is sent at once.
    Whole(Bytes),
    /// A body of equal parts with a pause before each.
    Parts {
        /// One part.
        part: Bytes,
        /// How often it is sent.
        count: u32,
        /// The pause before each part.
        pause: Duration,
    },
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Request {
    /// The node or backend server that the request is sent to.
    pub target: SocketAddr,
    /// The service that the request is for.
    pub service: CompactString,
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: CompactString,
    /// The number that the record of runs knows the request by.
    pub nonce: CompactString,
    /// The body.
    pub upload: Upload,
    /// The size of the answer's body that the request asks for, in bytes.
    pub answer_bytes: u64,
    /// Further headers, such as the faults to show and the customer.
    pub headers: Vec<(&'static str, CompactString)>,
    /// How long the caller waits.
    pub patience: Duration,
}

impl Request {
    /// Returns a request without a body.
    pub fn new(target: SocketAddr, service: &str, method: &'static str, nonce: &str) -> Self {
        Self {
            target,
            service: service.into(),
            method,
            path: CompactString::const_new("/work"),
            nonce: nonce.into(),
            upload: Upload::Whole(Bytes::new()),
            answer_bytes: 0,
            headers: Vec::new(),
            patience: Duration::from_secs(10),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string().into()));
        self
    }

    /// Returns whether the request may run twice, by its method.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method, "GET" | "HEAD" | "OPTIONS")
    }
}

/// What a caller was told about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// The whole answer arrived and matches the request.
    Answer,
    /// A well-formed answer that does not match the request.
    WrongAnswer,
    /// An answer of the backend server with another status.
    Status(u16),
    /// The answer ended early and the caller saw it.
    Cut,
    /// A node gave the outcome and its cause.
    Refused(Outcome, Option<Cause>),
    /// The connection could not be opened.
    Unsent,
    /// The connection ended or failed before an answer.
    Broken,
    /// The caller stopped waiting.
    GaveUp,
}

/// A finished call; times are microseconds since the start of the load.
#[derive(Clone, Debug)]
pub struct Call {
    /// The number of the request.
    pub nonce: CompactString,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// A label of the load, such as the customer.
    pub label: u8,
    /// When the request should have been sent.
    pub intended_us: u64,
    /// When it ended.
    pub ended_us: u64,
    /// How long the run held its slot, when an answer told it.
    pub spent_us: Option<u64>,
    /// What the caller was told.
    pub told: Told,
    /// The status code, or zero.
    pub status: u16,
    /// When to come back, as the node said.
    pub retry_after_ms: Option<u32>,
}

impl Call {
    /// Returns the latency counted from the intended send time.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.intended_us)
    }
}
