//! Traces with a span for each hop, in the W3C trace context.

use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use ntex::http::header::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{Span as _, SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter};
use parking_lot::Mutex;

use crate::record::SpanRecord;

/// The header that names the trace and the parent span.
pub const TRACE_PARENT: &str = "traceparent";
/// The header with what other systems add to a trace.
pub const TRACE_STATE: &str = "tracestate";
/// Spans that a node keeps for operators.
const KEPT_SPANS: usize = 4_096;

/// The tracer of a node and the ring of its recent spans.
pub struct Traces {
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
    ring: Arc<Mutex<VecDeque<SpanRecord>>>,
    // The provider must live as long as its tracer.
    _provider: SdkTracerProvider,
}

impl Traces {
    /// Returns the tracer of the node `id`.
    pub fn new(id: &str) -> Self {
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
    pub fn incoming(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = self.propagator.extract(&Incoming(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Starts the span of a request to another process and writes it into `headers`.
    pub fn outgoing(&self, name: &'static str, parent: &Span, headers: &mut HeaderMap) -> Span {
        let parent = Context::new().with_remote_span_context(parent.span_context().clone());
        let span = self.start(name, SpanKind::Client, &parent);
        self.write(&span, headers);
        span
    }

    /// Writes a span into `headers` as the parent of what they lead to.
    pub fn write(&self, span: &Span, headers: &mut HeaderMap) {
        let context = Context::new().with_remote_span_context(span.span_context().clone());
        self.propagator
            .inject_context(&context, &mut Outgoing(headers));
    }

    /// Returns the kept spans of a trace, oldest first.
    pub fn find(&self, trace: &str) -> Vec<SpanRecord> {
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
pub fn note(span: &mut Span, key: &'static str, value: impl Into<opentelemetry::Value>) {
    span.set_attribute(KeyValue::new(key, value));
}

/// Returns the identity of a span's trace, as 32 hexadecimal digits.
pub fn trace_id_of(span: &Span) -> CompactString {
    span.span_context().trace_id().to_compact_string()
}

#[derive(Debug)]
struct Ring {
    node: CompactString,
    spans: Arc<Mutex<VecDeque<SpanRecord>>>,
}

impl SpanExporter for Ring {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut spans = self.spans.lock();
        for data in &batch {
            if spans.len() == KEPT_SPANS {
                spans.pop_front();
            }
            spans.push_back(SpanRecord::new(&self.node, data));
        }
        Ok(())
    }
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
