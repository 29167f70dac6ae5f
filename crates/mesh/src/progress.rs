//! The state of a request across its attempts.

use compact_str::CompactString;
use oriolering::Millis;
use smallvec::SmallVec;

use crate::budgets::Reservation;
use crate::frame::Answered;
use crate::trail::AttemptTotals;

/// An attempt whose gate was expected to start it at once.
pub(crate) struct RunningAttempt {
    pub(crate) server: CompactString,
    pub(crate) sent: Millis,
}

/// The state of a request across its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    /// The backend servers that are not to be chosen again.
    pub(crate) tried: SmallVec<[CompactString; 4]>,
    /// How many attempts reached, or may have reached, a backend server.
    pub(crate) sends: u32,
    /// How many gates refused the request.
    pub(crate) refusals: u32,
    /// How many refusals named a better backend server elsewhere as the reason.
    pub(crate) better_elsewhere: u32,
    /// Whether an attempt may have run.
    pub(crate) uncertain: bool,
    /// The retry time for the caller that a gate named last, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    /// Whether the rate limit of a backend server kept the request from running.
    pub(crate) limited: bool,
    /// The remaining quarantine of the request, in milliseconds.
    pub(crate) quarantined_ms: Option<u64>,
    /// The budget reserved for the next attempt, if that is a repeat.
    pub(crate) hold: Option<Reservation>,
    /// The attempt that a backend server is expected to run now.
    pub(crate) running: Option<RunningAttempt>,
    /// The last error response of a backend server that may be forwarded.
    pub(crate) failure: Option<(Answered, Vec<u8>)>,
}

impl Progress {
    /// Records an attempt at a backend server that may have run the request.
    pub(crate) fn add_send(&mut self, server: CompactString) {
        self.sends += 1;
        self.uncertain = true;
        self.tried.push(server);
    }

    /// Returns a summary for the log.
    pub(crate) fn totals(&self) -> AttemptTotals {
        AttemptTotals {
            sends: self.sends,
            refusals: self.refusals,
            uncertain: self.uncertain,
        }
    }
}
