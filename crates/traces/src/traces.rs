//! Creates a span for each hop of a request and propagates it in the W3C trace context.

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

/// The header that carries the IDs of the trace and of the parent span.
pub const TRACE_PARENT: &str = "traceparent";
/// The header that carries vendor-specific trace data.
pub const TRACE_STATE: &str = "tracestate";
/// The number of finished spans that a node keeps for operators.
const MAX_SPANS: usize = 4_096;

/// The tracer of a node and a buffer of its most recent spans.
pub struct Traces {
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
    recent: Arc<Mutex<VecDeque<SpanRecord>>>,
    // The provider has to live as long as its tracer.
    _provider: SdkTracerProvider,
}

impl Traces {
    /// Creates the tracer of the node named `id`.
    pub fn new(id: &str) -> Self {
        let recent = Arc::new(Mutex::new(VecDeque::new()));
        let exporter = MemoryExporter {
            node: CompactString::from(id),
            spans: Arc::clone(&recent),
        };
        let provider = SdkTracerProvider::builder()
            .with_simple_exporter(exporter)
            .build();
        Self {
            tracer: provider.tracer("oriolering"),
            propagator: TraceContextPropagator::new(),
            recent,
            _provider: provider,
        }
    }

    /// Starts the server span of a received request, as a child of the span named in `headers`.
    pub fn incoming(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = self.propagator.extract(&HeaderExtractor(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Starts the client span of a request to another process and writes its context to `headers`.
    pub fn outgoing(&self, name: &'static str, parent: &Span, headers: &mut HeaderMap) -> Span {
        let parent = Context::new().with_remote_span_context(parent.span_context().clone());
        let span = self.start(name, SpanKind::Client, &parent);
        self.write(&span, headers);
        span
    }

    /// Writes the context of a span to `headers`, so that the receiver uses it as the parent.
    pub fn write(&self, span: &Span, headers: &mut HeaderMap) {
        let context = Context::new().with_remote_span_context(span.span_context().clone());
        self.propagator
            .inject_context(&context, &mut HeaderInjector(headers));
    }

    /// Returns the buffered spans of a trace, in the order in which they ended.
    pub fn find(&self, trace: &str) -> Vec<SpanRecord> {
        let recent = self.recent.lock();
        recent
            .iter()
            .filter(|span| span.trace == trace)
            .cloned()
            .collect()
    }

    fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        self.tracer.build_with_context(builder, parent)
    }
}

/// Sets an attribute of a span.
pub fn note(span: &mut Span, key: &'static str, value: impl Into<opentelemetry::Value>) {
    span.set_attribute(KeyValue::new(key, value));
}

/// Returns the trace ID of a span, as 32 hexadecimal digits.
pub fn trace_id_of(span: &Span) -> CompactString {
    span.span_context().trace_id().to_compact_string()
}

/// An exporter that keeps the most recent spans in memory.
#[derive(Debug)]
struct MemoryExporter {
    node: CompactString,
    spans: Arc<Mutex<VecDeque<SpanRecord>>>,
}

impl SpanExporter for MemoryExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut spans = self.spans.lock();
        for data in &batch {
            if spans.len() == MAX_SPANS {
                spans.pop_front();
            }
            spans.push_back(SpanRecord::new(&self.node, data));
        }
        Ok(())
    }
}

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::try_from(key);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.0.insert(name, value);
        }
    }
}
