//! Spans of requests in the W3C trace context, for both kinds of nodes.
//!
//! [`Traces`] makes opentelemetry's spans and keeps the recent ones in memory, where the node
//! that made them serves them to operators. Nothing is exported to another service.

mod record;
mod traces;

pub use opentelemetry_sdk::trace::Span;
pub use record::SpanRecord;
pub use traces::{TRACE_PARENT, TRACE_STATE, Traces, note, trace_id_of};
