//! Request tracing with the W3C trace context, for both kinds of nodes.
//!
//! [`Traces`] creates OpenTelemetry spans and keeps the most recent ones in memory, from where
//! the node serves them to operators. Spans are not exported to another service.

mod record;
mod traces;

pub use opentelemetry_sdk::trace::Span;
pub use record::SpanRecord;
pub use traces::{TRACE_PARENT, TRACE_STATE, Traces, note, trace_id_of};
