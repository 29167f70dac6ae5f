//! The decision log: what a node decided about each request, and how its view of other nodes,
//! backend servers and the store changed.
//!
//! Each decision is a typed [`Event`]. The events of one request are buffered until it ends. They
//! are logged if the request failed, was refused, was late or needed a second try. Of the other
//! requests a fixed share is logged, chosen by the hash of the request ID so that all nodes log
//! the same requests. Nothing is formatted for the rest.

mod attempt_summary;
mod count_events;
mod event;
mod gate_record;
mod ingress_record;
mod log_writer;
mod logged_server;
mod origin;
mod step;
mod stream_record;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use compact_str::{CompactString, ToCompactString};
use oriolering::{Clock, Millis, StorePosition};
use oriolering_http::Request;
use oriolering_platform::HEADERS;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use attempt_summary::{AttemptSummary, AttemptTotals};
pub(crate) use event::Event;
pub(crate) use gate_record::{GateRecord, GateSnapshot};
pub(crate) use ingress_record::IngressRecord;
pub use log_writer::{DroppedLines, LogWriter};
pub(crate) use origin::Origin;
pub(crate) use stream_record::StreamRecord;

use crate::counts::Counts;
use crate::headers;
use crate::spans::SpanRecorder;

use logged_server::LoggedServer;

/// One in this many successful requests is logged. At the documented request rates, a node
/// without failures then writes a few lines a second.
const SAMPLE_ONE_IN: u64 = 64;
/// One in this many requests without a trace context has spans. Spans cost as much as all log
/// lines of a request, so in total they cost an eighth of what the lines do.
const SPAN_ONE_IN: u64 = 8 * SAMPLE_ONE_IN;
/// Flush interval while lines about failures or changes are pending, in milliseconds. A killed
/// process loses the lines of one interval; waking the writer thread costs more than the lines do.
const FLUSH_MS: u64 = 500;
/// Flush interval while only lines about successes are pending, in milliseconds.
const FLUSH_SUCCESS_MS: u64 = 2_000;
/// Interval between reports of dropped lines, in milliseconds.
const DROP_REPORT_MS: u64 = 1_000;
/// Maximum length of an external text in a log line, in bytes.
const MAX_TEXT_BYTES: usize = 128;

/// The severity of a log line; under the rate limit, lines of higher ranks have more room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// A dependency, peer or backend server is lost, or an input was rejected.
    Trouble,
    /// The node's state or its view of others has changed.
    Change,
    /// A request failed, was refused, was late or needed a second try.
    Failure,
    /// A request succeeded.
    Success,
}

impl Rank {
    fn level(self) -> &'static str {
        match self {
            Self::Trouble | Self::Failure => "WARN",
            Self::Change | Self::Success => "INFO",
        }
    }
}

/// Converts points of the node's clock to the time of day.
#[derive(Clone, Copy)]
struct WallClock {
    at: Millis,
    time: SystemTime,
}

impl WallClock {
    fn new(at: Millis) -> Self {
        let time = SystemTime::now();
        Self { at, time }
    }

    /// Returns the time of day at an earlier point of the clock.
    fn time_of(self, earlier: Millis) -> SystemTime {
        self.time - Duration::from_millis(self.at.since(earlier))
    }
}

#[derive(Serialize)]
struct Line<'a> {
    time: CompactString,
    level: &'static str,
    node: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

/// Logs the decisions of a node and counts them.
pub(crate) struct Trail {
    node: CompactString,
    clock: Clock,
    writer: LogWriter,
    /// The counters that a metrics scrape reads.
    pub(crate) counts: Arc<Counts>,
    /// The spans of traced requests.
    pub(crate) spans: SpanRecorder,
    buffer: RefCell<Vec<u8>>,
    logged_servers: RefCell<HashMap<CompactString, LoggedServer>>,
    flushed_at: Cell<Millis>,
    drops_reported: Cell<Millis>,
    stopping: Cell<bool>,
}

impl Trail {
    /// Returns the decision log of the node with this name.
    pub(crate) fn new(node: &str, clock: Clock, writer: LogWriter) -> Self {
        let now = clock.now();
        let counts = Arc::default();
        Self {
            node: node.into(),
            clock,
            writer,
            spans: SpanRecorder::new(node, &counts),
            counts,
            buffer: RefCell::default(),
            logged_servers: RefCell::default(),
            flushed_at: Cell::new(now),
            drops_reported: Cell::new(now),
            stopping: Cell::new(false),
        }
    }

    /// Logs and counts a change of the node's state, or a failure of a single request.
    pub(crate) fn note(&self, event: Event) {
        self.counts.count(&event);
        let wall = WallClock::new(self.clock.now());
        self.write(wall, wall.at, event.rank(), &event);
    }

    /// Logs that a listener could not be bound or did not accept a connection.
    pub(crate) fn accept_failed(&self, listener: &'static str, error: &io::Error) {
        self.note(Event::AcceptFailed {
            listener,
            error: clip(&error.to_string()),
        });
    }

    /// Counts the bytes of a message to another node, if they cross availability zones.
    pub(crate) fn count_sent(&self, cross_zone: bool, kind: &str, bytes: usize) {
        if cross_zone {
            self.counts.zone_bytes.add_many(kind, bytes as u64);
        }
    }

    /// Logs that the exchange with the backend server failed.
    pub(crate) fn exchange_broke(&self, request: &str, error: &str) {
        self.note(Event::ExchangeBroke {
            request: clip(request),
            error: clip(error),
        });
    }

    /// Logs that an item in the store cannot be read and is ignored.
    pub(crate) fn item_rejected(&self, key: &str, position: StorePosition, error: &str) {
        self.note(Event::StoreItemRejected {
            key: clip(key),
            position,
            error: clip(error),
        });
    }

    /// Logs that a connection ended within the body of a request.
    pub(crate) fn body_cut(&self, request: &Request, bytes: usize) {
        let id = headers::text(&request.headers, HEADERS.request);
        self.note(Event::BodyCut {
            request: clip(id.unwrap_or_default()),
            method: clip(request.method.as_str()),
            path: clip(request.uri.path()),
            bytes: bytes as u64,
            stopping: self.stopping.get(),
        });
    }

    /// Marks the node as stopping.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
    }

    /// Returns whether the node was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Flushes pending lines when due, and reports dropped lines and renews budgets once a second.
    pub(crate) fn tick(&self, now: Millis) {
        if now.since(self.flushed_at.get()) < FLUSH_MS {
            return;
        }
        if now.since(self.drops_reported.get()) >= DROP_REPORT_MS {
            self.drops_reported.set(now);
            self.spans.reset_budget();
            self.log_dropped();
        }
        let recent = now.since(self.flushed_at.get()) < FLUSH_SUCCESS_MS;
        if recent && !self.writer.is_urgent() {
            return;
        }
        self.flushed_at.set(now);
        self.writer.flush();
    }

    fn log_dropped(&self) {
        let dropped = self.writer.renew_quota();
        if dropped.lines() == 0 {
            return;
        }
        self.counts.lines_dropped.add(dropped.lines());
        self.note(Event::LinesDropped {
            lines: dropped.lines(),
            successes: dropped.successes,
            failures: dropped.failures,
            changes: dropped.changes,
            queue_full: dropped.queue_full,
        });
    }

    /// Writes the events of one request: all as failures if one of them is, or as successes.
    fn write_all(&self, steps: &[(Millis, Event)]) {
        let is_failure = |event: &Event| event.rank() == Rank::Failure || event.is_setback();
        let rank = match steps.iter().any(|(_, event)| is_failure(event)) {
            true => Rank::Failure,
            false => Rank::Success,
        };
        let wall = WallClock::new(self.clock.now());
        for (at, event) in steps {
            self.write(wall, *at, rank, event);
        }
    }

    /// Writes a line if the rate limit allows it.
    fn write(&self, wall: WallClock, at: Millis, rank: Rank, event: &Event) {
        if !self.writer.allows(rank) {
            return;
        }
        let line = Line {
            time: humantime::format_rfc3339_millis(wall.time_of(at)).to_compact_string(),
            level: rank.level(),
            node: &self.node,
            event,
        };
        let mut buffer = self.buffer.borrow_mut();
        buffer.clear();
        // Cannot fail: the output is in memory, and all keys of events are strings.
        if serde_json::to_writer(&mut *buffer, &line).is_ok() {
            buffer.push(b'\n');
            self.writer.push(rank, &buffer);
        }
    }
}

/// Returns whether a request is in a sample of one in `interval`; all nodes decide the same.
///
/// Calls that a backend server makes while it runs a request have the ID of that request before
/// the first `.` of their own, and are sampled together with it.
fn is_one_in(interval: u64, request: &str) -> bool {
    let root = request.split('.').next().unwrap_or_default();
    !root.is_empty() && xxh3_64(root.as_bytes()).is_multiple_of(interval)
}

/// Returns whether a request is logged even if it succeeds.
fn is_sampled(request: &str) -> bool {
    is_one_in(SAMPLE_ONE_IN, request)
}

/// Returns an external text, truncated to [`MAX_TEXT_BYTES`].
pub(crate) fn clip(text: &str) -> CompactString {
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text[..end].into()
}
