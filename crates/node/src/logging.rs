//! Structured log lines on standard error: one JSON object a line.

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// Starts the logger; the handle must live as long as the process logs.
///
/// # Errors
///
/// Returns an error when the level is not understood or a logger is running already.
pub fn start(level: &str) -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_str(format!(
        "{level}, ntex=warn, tarpc=warn, opentelemetry=warn"
    ))?
    .format(line)
    .log_to_stderr()
    .start()
}

/// Writes one line: time, level, event and the fields of the event.
fn line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), now.format_rfc3339().into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    fields
        .0
        .insert("event".into(), record.args().to_string().into());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    write!(out, "{}", Json::Object(fields.0))
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
