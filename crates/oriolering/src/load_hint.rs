//! The load report that a gate attaches to its responses.

use serde::{Deserialize, Serialize};

/// The load of a backend server as reported by its gate with every response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// The number of requests running at the backend server.
    pub running: u32,
    /// The number of requests waiting at the gate.
    pub queued: u32,
    /// The concurrency limit in force at the gate.
    pub limit: u32,
    /// The median service time of recent successful requests, in microseconds.
    pub latency_us: u32,
    /// Whether the gate no longer accepts new requests.
    pub leaving: bool,
}

impl LoadHint {
    /// Formats the report as `running,queued,limit,latency_us,leaving`.
    pub fn encode(self) -> String {
        let leaving = u8::from(self.leaving);
        format!(
            "{},{},{},{},{leaving}",
            self.running, self.queued, self.limit, self.latency_us
        )
    }

    /// Parses the format of [`Self::encode`], or returns `None` for any other text.
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
