//! Structured log lines: one JSON object a line.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// Starts the logger on standard error; the handle must live as long as the process logs.
///
/// # Errors
///
/// Returns an error when the level is not understood or a logger is running already.
pub(crate) fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    logger(level)?.format(line).log_to_stderr().start()
}

/// Takes a line that ends with a line feed, without waiting for the output.
pub type Take = Box<dyn Fn(&[u8]) + Send + Sync>;

/// Starts the logger of a node on a platform, whose lines go where its decisions go.
///
/// # Errors
///
/// Returns an error when the level is not understood or a logger is running already.
pub fn start_with(level: &str, take: Take) -> Result<LoggerHandle, FlexiLoggerError> {
    let writer = Box::new(Queued { take });
    logger(level)?.log_to_writer(writer).start()
}

fn logger(level: &str) -> Result<Logger, FlexiLoggerError> {
    Logger::try_with_str(format!(
        "{level}, ntex=warn, tarpc=warn, opentelemetry=warn"
    ))
}

/// Adds lines to those that wait for the output, so that no caller of the logger waits for it.
struct Queued {
    take: Take,
}

impl LogWriter for Queued {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut text = Vec::new();
        line(&mut text, now, record)?;
        text.push(b'\n');
        (self.take)(&text);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
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
