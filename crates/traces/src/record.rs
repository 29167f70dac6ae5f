//! The record of a finished span, as it is shown to operators.

use std::borrow::Cow;
use std::time::{Duration, SystemTime};

use compact_str::{CompactString, ToCompactString};
use opentelemetry_sdk::trace::SpanData;
use serde::Serialize;

/// A finished span, as a node shows it to operators.
#[derive(Clone, Debug, Serialize)]
pub struct SpanRecord {
    /// The trace ID, as 32 hexadecimal digits.
    pub trace: CompactString,
    /// The span ID, as 16 hexadecimal digits.
    pub span: CompactString,
    /// The ID of the parent span; all zeros for a root span.
    pub parent: CompactString,
    /// The name of the node that recorded the span.
    pub node: CompactString,
    /// The operation that the span covers.
    pub name: Cow<'static, str>,
    /// The start time in microseconds since the Unix epoch, by the wall clock of the node.
    pub start_us: u64,
    /// The duration in microseconds.
    pub took_us: u64,
    /// The attributes of the span, each as `key=value`.
    pub notes: Vec<CompactString>,
}

impl SpanRecord {
    /// Converts a finished span that `node` recorded.
    pub(crate) fn new(node: &CompactString, data: &SpanData) -> Self {
        let epoch = SystemTime::UNIX_EPOCH;
        let start = data.start_time.duration_since(epoch).unwrap_or_default();
        let took = data
            .end_time
            .duration_since(data.start_time)
            .unwrap_or(Duration::ZERO);
        let attributes = data.attributes.iter();
        Self {
            trace: data.span_context.trace_id().to_compact_string(),
            span: data.span_context.span_id().to_compact_string(),
            parent: data.parent_span_id.to_compact_string(),
            node: node.clone(),
            name: data.name.clone(),
            start_us: start.as_micros() as u64,
            took_us: took.as_micros() as u64,
            notes: attributes
                .map(|kv| format!("{}={}", kv.key, kv.value).into())
                .collect(),
        }
    }
}
