//! The load of a backend server as its gate reports it.

use serde::{Deserialize, Serialize};

/// A report of a gate about its backend server; it rides on every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Requests running at the backend server.
    pub running: u32,
    /// Requests waiting at the gate.
    pub queued: u32,
    /// The concurrency limit in force at the gate.
    pub limit: u32,
    /// The median service time of recent successful requests, in microseconds.
    pub latency_us: u32,
    /// Whether the gate has stopped taking new work.
    pub leaving: bool,
}

impl LoadHint {
    /// Writes the report as `running,queued,limit,latency_us,leaving`.
    pub fn encode(self) -> String {
        let leaving = u8::from(self.leaving);
        format!(
            "{},{},{},{},{leaving}",
            self.running, self.queued, self.limit, self.latency_us
        )
    }

    /// Reads a report that [`Self::encode`] wrote; anything else is `None`.
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(|part| part.parse::<u32>().ok());
        let hint = Self {
            running: parts.next()??,
            queued: parts.next()??,
            limit: parts.next()??,
            latency_us: parts.next()??,
            leaving: parts.next()?? == 1,
        };
        match parts.next() {
            Some(_) => None,
            None => Some(hint),
        }
    }
}
