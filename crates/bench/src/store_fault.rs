//! The faults that the stand-in for the platform's store can be told to show.

use serde::{Deserialize, Serialize};

/// What the store does with each read; one that is set replaces the one before it.
///
/// A watch that waits meets it at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreFault {
    /// Answers as it should.
    #[default]
    None,
    /// Accepts connections and never answers on them.
    Silent,
    /// Answers 503 without reading anything.
    Unavailable,
    /// Answers 429 without reading anything.
    Limited {
        /// When to read again, in milliseconds; told in seconds with a fraction.
        #[serde(default)]
        retry_after_ms: Option<u64>,
    },
    /// Resets open connections at once, and new ones once they carry a request.
    Reset,
    /// Answers late.
    Slow {
        /// The delay of each answer in milliseconds.
        delay_ms: u64,
    },
    /// Counts the read and loses its answer.
    Lost,
}
