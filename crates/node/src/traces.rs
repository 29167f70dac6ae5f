//! Traces with a span for each hop, in the W3C trace context.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use compact_str::{CompactString, ToCompactString};
use ntex::http::header::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{
    Span as _, SpanId, SpanKind, TraceContextExt, TraceId, Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter};
use parking_lot::Mutex;
use serde::Serialize;

/// Spans that a node keeps for its admin listener.
const KEPT_SPANS: usize = 4_096;

/// One finished span, as the admin listener shows it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SpanRecord {
    /// The trace, as 32 hexadecimal digits.
    trace: CompactString,
    /// The span, as 16 hexadecimal digits.
    span: CompactString,
    /// The parent span; zeros at the root.
    parent: CompactString,
    /// The node that recorded the span.
    node: CompactString,
    /// What was done.
    name: Cow<'static, str>,
    /// The start in microseconds since the epoch of the node's wall clock.
    start_us: u64,
    /// The time taken in microseconds.
    took_us: u64,
    /// What was found out on the way.
    notes: Vec<CompactString>,
}

/// The tracer of a node and the ring of its recent spans.
pub(crate) struct Traces {
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
    ring: Arc<Mutex<VecDeque<SpanRecord>>>,
    // The provider must live as long as its tracer.
    _provider: SdkTracerProvider,
}

impl Traces {
    /// Returns the tracer of the node `id`.
    pub(crate) fn new(id: &str) -> Self {
        let ring = Arc::new(Mutex::new(VecDeque::new()));
        let exporter = Ring {
            node: CompactString::from(id),
            spans: Arc::clone(&ring),
        };
        let provider = SdkTracerProvider::builder()
            .with_simple_exporter(exporter)
            .build();
        Self {
            tracer: provider.tracer("oriolering"),
            propagator: TraceContextPropagator::new(),
            ring,
            _provider: provider,
        }
    }

    /// Starts the span of a request that came in with `headers`.
    pub(crate) fn incoming(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = self.propagator.extract(&Incoming(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Starts the span of a request to another process and writes it into `headers`.
    pub(crate) fn outgoing(
        &self,
        name: &'static str,
        parent: &Span,
        headers: &mut HeaderMap,
    ) -> Span {
        let parent = Context::new().with_remote_span_context(parent.span_context().clone());
        let span = self.start(name, SpanKind::Client, &parent);
        let context = Context::new().with_remote_span_context(span.span_context().clone());
        self.propagator
            .inject_context(&context, &mut Outgoing(headers));
        span
    }

    /// Returns the kept spans of a trace, oldest first.
    pub(crate) fn find(&self, trace: &str) -> Vec<SpanRecord> {
        let ring = self.ring.lock();
        ring.iter()
            .filter(|span| span.trace == trace)
            .cloned()
            .collect()
    }

    fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        self.tracer.build_with_context(builder, parent)
    }
}

/// Adds a note to a span.
pub(crate) fn note(span: &mut Span, key: &'static str, value: impl Into<opentelemetry::Value>) {
    span.set_attribute(KeyValue::new(key, value));
}

#[derive(Debug)]
struct Ring {
    node: CompactString,
    spans: Arc<Mutex<VecDeque<SpanRecord>>>,
}

impl Ring {
    fn record(&self, data: &SpanData) -> SpanRecord {
        let epoch = SystemTime::UNIX_EPOCH;
        let start = data.start_time.duration_since(epoch).unwrap_or_default();
        let took = data
            .end_time
            .duration_since(data.start_time)
            .unwrap_or(Duration::ZERO);
        let notes = data.attributes.iter();
        SpanRecord {
            trace: trace_text(data.span_context.trace_id()),
            span: span_text(data.span_context.span_id()),
            parent: span_text(data.parent_span_id),
            node: self.node.clone(),
            name: data.name.clone(),
            start_us: start.as_micros() as u64,
            took_us: took.as_micros() as u64,
            notes: notes
                .map(|kv| format!("{}={}", kv.key, kv.value).into())
                .collect(),
        }
    }
}

impl SpanExporter for Ring {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut spans = self.spans.lock();
        for data in &batch {
            if spans.len() == KEPT_SPANS {
                spans.pop_front();
            }
            spans.push_back(self.record(data));
        }
        Ok(())
    }
}

fn trace_text(id: TraceId) -> CompactString {
    id.to_compact_string()
}

fn span_text(id: SpanId) -> CompactString {
    id.to_compact_string()
}

struct Incoming<'a>(&'a HeaderMap);

impl Extractor for Incoming<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

struct Outgoing<'a>(&'a mut HeaderMap);

impl Injector for Outgoing<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::try_from(key);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.0.insert(name, value);
        }
    }
}
