//! The trail of decisions: what a node decided about each request and believes of others.
//!
//! Each decision is a typed [`Event`]. Events of one request are kept until it ends: those of a
//! request that failed, was refused, came late or needed a second try are written, and of the
//! others those of a fixed share by the hash of the identity, so that all nodes keep the same
//! requests. Nothing is formatted for the rest.

mod attempt_summary;
mod count_events;
mod event;
mod gate_record;
mod ingress_record;
mod log_writer;
mod logged_server;
mod origin;
mod step;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use compact_str::{CompactString, ToCompactString};
use oriolering::{Clock, Millis};
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

use crate::counts::Counts;
use crate::headers;
use crate::spans::SpanRecorder;

use logged_server::LoggedServer;

/// The share of requests that go well and are written down: one in this many. At the documented
/// rates of requests a node then writes a few lines a second on a calm day.
const SAMPLE: u64 = 64;
/// The share of requests without a trace context that have spans: one in this many, so that spans,
/// which cost as much as all lines of a request, take an eighth of what the lines do.
const SPAN_SAMPLE: u64 = 8 * SAMPLE;
/// How often lines of failures and changes go to the output, in milliseconds; a killed process
/// loses that much. Waking the writing thread costs more than the lines do.
const FLUSH_MS: u64 = 500;
/// How often lines of successes alone go to the output, in milliseconds.
const FLUSH_CALM_MS: u64 = 2_000;
/// How often dropped lines are told, in milliseconds.
const TELL_MS: u64 = 1_000;
/// The longest text from outside that a line repeats, in bytes.
const TEXT_BYTES: usize = 128;

/// What goes first when not all lines can be written, and how grave it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// A dependency or another part of the node's world is lost.
    Trouble,
    /// What the node believes has changed.
    Change,
    /// A request failed, was refused, came late or needed a second try.
    Failure,
    /// A request went well.
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

/// The time of day at a point of the node's clock.
#[derive(Clone, Copy)]
struct Wall {
    at: Millis,
    time: SystemTime,
}

impl Wall {
    fn new(at: Millis) -> Self {
        let time = SystemTime::now();
        Self { at, time }
    }

    /// Returns the time of day at an earlier point.
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

/// Writes the decisions of a node and counts them.
pub(crate) struct Trail {
    node: CompactString,
    clock: Clock,
    lines: LogWriter,
    /// The counters that a scrape reads.
    pub(crate) counts: Arc<Counts>,
    /// The spans of traced requests.
    pub(crate) spans: SpanRecorder,
    scratch: RefCell<Vec<u8>>,
    listed: RefCell<HashMap<CompactString, LoggedServer>>,
    flushed: Cell<Millis>,
    told: Cell<Millis>,
    stopping: Cell<bool>,
}

impl Trail {
    /// Returns the trail of the node with this name.
    pub(crate) fn new(node: &str, clock: Clock, lines: LogWriter) -> Self {
        let now = clock.now();
        let counts = Arc::default();
        Self {
            node: node.into(),
            clock,
            lines,
            spans: SpanRecorder::new(node, &counts),
            counts,
            scratch: RefCell::default(),
            listed: RefCell::default(),
            flushed: Cell::new(now),
            told: Cell::new(now),
            stopping: Cell::new(false),
        }
    }

    /// Writes down a change of what the node believes, or a failure that concerns one request.
    pub(crate) fn note(&self, event: Event) {
        self.counts.count(&event);
        let wall = Wall::new(self.clock.now());
        self.write(wall, wall.at, event.rank(), &event);
    }

    /// Writes down that a listener did not accept a connection.
    pub(crate) fn accept_failed(&self, listener: &'static str, error: &io::Error) {
        self.note(Event::AcceptFailed {
            listener,
            error: clip(&error.to_string()),
        });
    }

    /// Counts a message to another node; only those to another availability zone cost.
    pub(crate) fn count_sent(&self, far: bool, kind: &str, bytes: usize) {
        if far {
            self.counts.zone_bytes.add_many(kind, bytes as u64);
        }
    }

    /// Writes down that the exchange with the backend server broke.
    pub(crate) fn exchange_broke(&self, request: &str, error: &str) {
        self.note(Event::ExchangeBroke {
            request: clip(request),
            error: clip(error),
        });
    }

    /// Writes down that something in the store is passed over.
    pub(crate) fn item_rejected(&self, key: &str, revision: u64, error: &str) {
        self.note(Event::StoreItemRejected {
            key: clip(key),
            revision,
            error: clip(error),
        });
    }

    /// Writes down that a connection ended within the body of a request.
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

    /// Notes that the node was told to stop.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
    }

    /// Returns whether the node was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Hands the lines to the output, and tells once a second what was dropped.
    pub(crate) fn tick(&self, now: Millis) {
        if now.since(self.flushed.get()) < FLUSH_MS {
            return;
        }
        if now.since(self.told.get()) >= TELL_MS {
            self.told.set(now);
            self.spans.reset_budget();
            self.tell_dropped();
        }
        let calm = now.since(self.flushed.get()) < FLUSH_CALM_MS;
        if calm && !self.lines.is_urgent() {
            return;
        }
        self.flushed.set(now);
        self.lines.flush();
    }

    fn tell_dropped(&self) {
        let dropped = self.lines.renew_quota();
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

    /// Writes the steps of one request, all with the rank of the gravest.
    fn write_all(&self, steps: &[(Millis, Event)]) {
        let bad = |event: &Event| event.rank() == Rank::Failure || event.is_setback();
        let rank = match steps.iter().any(|(_, event)| bad(event)) {
            true => Rank::Failure,
            false => Rank::Success,
        };
        let wall = Wall::new(self.clock.now());
        for (at, event) in steps {
            self.write(wall, *at, rank, event);
        }
    }

    /// Writes a line, if the budget allows it.
    fn write(&self, wall: Wall, at: Millis, rank: Rank, event: &Event) {
        if !self.lines.allows(rank) {
            return;
        }
        let line = Line {
            time: humantime::format_rfc3339_millis(wall.time_of(at)).to_compact_string(),
            level: rank.level(),
            node: &self.node,
            event,
        };
        let mut scratch = self.scratch.borrow_mut();
        scratch.clear();
        // Writing to memory does not fail, and an event has no keys but texts.
        if serde_json::to_writer(&mut *scratch, &line).is_ok() {
            scratch.push(b'\n');
            self.lines.push(rank, &scratch);
        }
    }
}

/// Returns whether a request is one of those that are chosen, one in `share`; all nodes decide
/// the same.
///
/// The calls that a backend server makes for a request carry its identity before a full stop,
/// and are chosen with it.
fn is_one_in(share: u64, request: &str) -> bool {
    let whole = request.split('.').next().unwrap_or_default();
    !whole.is_empty() && xxh3_64(whole.as_bytes()).is_multiple_of(share)
}

/// Returns whether a request is written down even if it goes well.
fn is_sampled(request: &str) -> bool {
    is_one_in(SAMPLE, request)
}

/// Returns a text from outside, cut to what a line repeats.
pub(crate) fn clip(text: &str) -> CompactString {
    let end = text.floor_char_boundary(TEXT_BYTES);
    text[..end].into()
}
