//! What a backend server writes down of each request, one line of JSON each.

use std::fs;
use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A step of a request at a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Its head has been read and is for this backend server.
    Reached {
        /// The method.
        method: CompactString,
        /// The path with its query.
        path: CompactString,
        /// The caller's service, as the request says.
        caller: Option<CompactString>,
        /// The deadline, as the request says.
        deadline_ms: Option<u64>,
    },
    /// It was refused and never runs.
    Refused,
    /// It runs from now on and takes so many milliseconds.
    Started(u64),
    /// Its whole body has been read.
    Body(CompactString),
    /// Its answer has a flaw, so that it may not arrive.
    Flawed,
    /// Its run has ended with this status.
    Answered(u16),
    /// Its connection closed before the run had ended.
    Cancelled,
    /// It asks for the health of the backend server; it has neither identity nor number.
    Probed,
    /// What the backend server's answers say of it from now on; no request.
    Says {
        /// The limit, in thousandths of a request a second.
        limit: Option<u32>,
        /// Whether it leaves.
        leaving: bool,
    },
}

/// A line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, in Unix milliseconds.
    pub at_ms: u64,
    /// The backend server.
    pub server: CompactString,
    /// The service of the backend server.
    pub service: CompactString,
    /// The arrival's number at this backend server.
    pub arrival: u64,
    /// The identity of the client's attempt.
    pub id: CompactString,
    /// What happened.
    pub step: Step,
}

/// Returns the time of day in Unix milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Reads a record; a last line that a crash cut short is left out.
///
/// # Errors
///
/// Returns the error of the file, or that of a broken line before the last.
pub fn read_record(path: &Path) -> io::Result<Vec<Entry>> {
    let text = fs::read_to_string(path)?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let entries = whole.lines().map(serde_json::from_str);
    entries.collect::<Result<_, _>>().map_err(io::Error::other)
}
