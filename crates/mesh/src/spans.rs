//! The spans of traced requests: one at the ingress and one at each gate that was offered them.
//!
//! A request is traced if its caller's trace context says so; of the requests without a trace
//! context, a few are sampled by their identity. The context is passed to the gate and on to the
//! backend server in the W3C header, so a gate traces the same requests as the ingress.

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

/// The most spans that a node records per second, whatever callers ask for. A span costs some
/// microseconds, so all of them take about a ten-thousandth of a processor.
const MAX_SPANS_PER_S: u32 = 32;
/// The offset of the flags in a `traceparent` header.
const FLAGS_OFFSET: usize = 53;
/// The flag of a sampled request.
const SAMPLED_FLAG: u8 = 1;

/// Records the spans of a node, and keeps the recent ones.
pub(crate) struct SpanRecorder {
    node: CompactString,
    counts: Arc<Counts>,
    /// Created with the first span, so that a node without spans has no cost.
    traces: OnceCell<Traces>,
    spans_left: Cell<u32>,
}

impl SpanRecorder {
    /// Creates the recorder of the node with this name.
    pub(crate) fn new(node: &str, counts: &Arc<Counts>) -> Self {
        Self {
            node: node.into(),
            counts: Arc::clone(counts),
            traces: OnceCell::new(),
            spans_left: Cell::new(MAX_SPANS_PER_S),
        }
    }

    /// Starts the span of a request, and sets it as the parent span in `headers`.
    ///
    /// Returns `None` for a request that is not traced, and leaves its headers as they are. A
    /// request without a trace context is traced if it is `sampled`.
    pub(crate) fn start(
        &self,
        name: &'static str,
        headers: &mut Headers,
        sampled: bool,
    ) -> Option<ActiveSpan> {
        let parent = headers.iter().find(|(name, _)| name.is(TRACE_PARENT));
        if !parent.map_or(sampled, |(_, value)| is_sampled(value)) {
            return None;
        }
        let Some(left) = self.spans_left.get().checked_sub(1) else {
            self.counts.spans_dropped.add(1);
            return None;
        };
        self.spans_left.set(left);
        self.counts.spans.add(1);
        let traces = self.traces.get_or_init(|| Traces::new(&self.node));
        let mut map = headers::to_map(&remove_trace_context(headers));
        let span = traces.incoming(name, &map);
        traces.write(&span, &mut map);
        add_trace_context(headers, &map);
        Some(ActiveSpan(Box::new(span)))
    }

    /// Resets the span budget; called once per second.
    pub(crate) fn reset_budget(&self) {
        self.spans_left.set(MAX_SPANS_PER_S);
    }

    /// Returns the kept spans of a trace, oldest first.
    pub(crate) fn find(&self, trace: &str) -> Vec<SpanRecord> {
        let traces = self.traces.get();
        traces.map_or_else(Vec::new, |traces| traces.find(trace))
    }
}

/// A span in progress; it ends when it is dropped.
pub(crate) struct ActiveSpan(Box<oriolering_traces::Span>);

impl ActiveSpan {
    /// Sets a text attribute.
    pub(crate) fn set_text(&mut self, key: &'static str, text: &str) {
        note(&mut self.0, key, text.to_owned());
    }

    /// Sets a numeric attribute.
    pub(crate) fn set_number(&mut self, key: &'static str, number: u64) {
        note(&mut self.0, key, number as i64);
    }

    /// Returns the identity of the trace, as 32 hexadecimal digits.
    pub(crate) fn trace_id(&self) -> CompactString {
        trace_id_of(&self.0)
    }
}

/// Returns whether the flags of a trace context mark the request as sampled.
fn is_sampled(context: &[u8]) -> bool {
    let digits = context.get(FLAGS_OFFSET..FLAGS_OFFSET + 2);
    let flags = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    let flags = flags.and_then(|flags| u8::from_str_radix(flags, 16).ok());
    flags.is_some_and(|flags| flags & SAMPLED_FLAG != 0)
}

fn is_trace_context(name: &FieldName) -> bool {
    name.is(TRACE_PARENT) || name.is(TRACE_STATE)
}

/// Removes the trace context from `headers` and returns it.
fn remove_trace_context(headers: &mut Headers) -> Headers {
    headers
        .extract_if(.., |(name, _)| is_trace_context(name))
        .collect()
}

/// Adds the trace context of `map` to `headers`.
fn add_trace_context(headers: &mut Headers, map: &HeaderMap) {
    let filled = map.iter().filter(|(_, value)| !value.as_bytes().is_empty());
    headers.extend(filled.map(|(name, value)| {
        let name = FieldName::of(name.as_str());
        (name, ByteBuf::from(value.as_bytes().to_vec()))
    }));
}
