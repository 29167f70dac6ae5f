//! The faults that a stand-in backend server can be told to show.

use serde::{Deserialize, Serialize};

/// The faults in force; a posted set replaces the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Multiplies each service time.
    pub straggle: f64,
    /// Answers 500 at once.
    pub fail_fast: bool,
    /// Answers 503 without running the request.
    pub shed: bool,
    /// Reports this many running requests instead of the true number.
    pub lie: Option<u32>,
    /// Reports the load as it was up to this many milliseconds ago.
    pub lag_ms: u64,
    /// Stops the whole process once for this many milliseconds.
    pub freeze_ms: u64,
    /// Multiplies service times at first, falling to one within `cold_ms`.
    pub cold: f64,
    /// How long the cold start lasts.
    pub cold_ms: u64,
    /// Reports bad health.
    pub drain: bool,
    /// Cuts each answer after this many bytes of its body.
    pub cut_bytes: Option<u64>,
    /// Pauses all running requests for 50 ms this many times in 100 seconds.
    pub noisy: u32,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            straggle: 1.0,
            fail_fast: false,
            shed: false,
            lie: None,
            lag_ms: 0,
            freeze_ms: 0,
            cold: 1.0,
            cold_ms: 0,
            drain: false,
            cut_bytes: None,
            noisy: 0,
        }
    }
}

impl Fault {
    /// Returns the factor on a service time `age_ms` after the fault came into force.
    pub(crate) fn factor(&self, age_ms: u64) -> f64 {
        if age_ms >= self.cold_ms {
            return self.straggle;
        }
        let left = (self.cold_ms - age_ms) as f64 / self.cold_ms as f64;
        self.straggle * (1.0 + (self.cold - 1.0) * left)
    }
}
