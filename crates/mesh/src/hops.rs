//! The spans of traced requests: one at the ingress and one at each gate that was asked.
//!
//! A request is traced if its caller's trace context says so, or if it has none and is one of
//! the few that are chosen by their identity. The context goes to the gate and on to the backend server
//! in the header of the W3C, so that a gate traces what its ingress does.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;

use compact_str::CompactString;
use oriolering_http::HeaderMap;
use oriolering_traces::{SpanRecord, TRACE_PARENT, TRACE_STATE, Traces, note, trace_id_of};
use serde_bytes::ByteBuf;

use crate::counts::Counts;
use crate::field_name::FieldName;
use crate::frame::Headers;
use crate::headers;

/// The spans that a node makes in a second at most, whatever callers ask for: a span costs some
/// microseconds, so that all of them take a ten-thousandth of a processor.
const SPANS_PER_S: u32 = 32;
/// Where the flags of a trace context begin, and the bit that says that it is traced.
const FLAGS_AT: usize = 53;
const TRACED: u8 = 1;

/// Makes the spans of a node, and keeps the recent ones.
pub(crate) struct Hops {
    node: CompactString,
    counts: Arc<Counts>,
    /// Made with the first span, so that a node without any pays nothing.
    traces: OnceCell<Traces>,
    left: Cell<u32>,
}

impl Hops {
    /// Returns the maker of the spans of the node with this name.
    pub(crate) fn new(node: &str, counts: &Arc<Counts>) -> Self {
        Self {
            node: node.into(),
            counts: Arc::clone(counts),
            traces: OnceCell::new(),
            left: Cell::new(SPANS_PER_S),
        }
    }

    /// Begins the span of a request, and makes it the parent of what `headers` lead to.
    ///
    /// Returns nothing for a request that is not traced; one without a trace context is if it is
    /// `chosen`. Its headers then stay as they are.
    pub(crate) fn begin(
        &self,
        name: &'static str,
        headers: &mut Headers,
        chosen: bool,
    ) -> Option<Hop> {
        let parent = headers.iter().find(|(name, _)| name.is(TRACE_PARENT));
        if !parent.map_or(chosen, |(_, value)| is_traced(value)) {
            return None;
        }
        let Some(left) = self.left.get().checked_sub(1) else {
            self.counts.spans_dropped.add(1);
            return None;
        };
        self.left.set(left);
        self.counts.spans.add(1);
        let traces = self.traces.get_or_init(|| Traces::new(&self.node));
        let mut map = headers::to_map(&take_context(headers));
        let span = traces.incoming(name, &map);
        traces.write(&span, &mut map);
        add_context(headers, &map);
        Some(Hop(Box::new(span)))
    }

    /// Begins the budget of the next second.
    pub(crate) fn renew(&self) {
        self.left.set(SPANS_PER_S);
    }

    /// Returns the kept spans of a trace, oldest first.
    pub(crate) fn find(&self, trace: &str) -> Vec<SpanRecord> {
        let traces = self.traces.get();
        traces.map_or_else(Vec::new, |traces| traces.find(trace))
    }
}

/// A span under way; it ends when it is dropped.
pub(crate) struct Hop(Box<oriolering_traces::Span>);

impl Hop {
    /// Notes a text.
    pub(crate) fn note(&mut self, key: &'static str, text: &str) {
        note(&mut self.0, key, text.to_owned());
    }

    /// Notes a number.
    pub(crate) fn count(&mut self, key: &'static str, number: u64) {
        note(&mut self.0, key, number as i64);
    }

    /// Returns the identity of the trace, as 32 hexadecimal digits.
    pub(crate) fn trace(&self) -> CompactString {
        trace_id_of(&self.0)
    }
}

/// Returns whether the flags of a trace context say that the request is traced.
fn is_traced(context: &[u8]) -> bool {
    let digits = context.get(FLAGS_AT..FLAGS_AT + 2);
    let flags = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    let flags = flags.and_then(|flags| u8::from_str_radix(flags, 16).ok());
    flags.is_some_and(|flags| flags & TRACED != 0)
}

fn is_context(name: &FieldName) -> bool {
    name.is(TRACE_PARENT) || name.is(TRACE_STATE)
}

/// Takes the trace context out of `headers`.
fn take_context(headers: &mut Headers) -> Headers {
    headers
        .extract_if(.., |(name, _)| is_context(name))
        .collect()
}

/// Adds the trace context of `map` to `headers`.
fn add_context(headers: &mut Headers, map: &HeaderMap) {
    let filled = map.iter().filter(|(_, value)| !value.as_bytes().is_empty());
    headers.extend(filled.map(|(name, value)| {
        let name = FieldName::of(name.as_str());
        (name, ByteBuf::from(value.as_bytes().to_vec()))
    }));
}
