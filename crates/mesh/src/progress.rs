//! What is known of a request after some attempts.

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::budgets::Reservation;
use crate::frame::Answered;
use crate::trail::AttemptTotals;

/// What is known of a request after some attempts.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) tried: SmallVec<[CompactString; 4]>,
    /// The backend servers that it was sent to.
    pub(crate) sends: u32,
    pub(crate) refusals: u32,
    /// How many of the refusals were for a better backend server.
    pub(crate) better_elsewhere: u32,
    /// Whether an attempt may have run.
    pub(crate) uncertain: bool,
    pub(crate) retry_after_ms: Option<u64>,
    /// Whether a limit that a backend server names left it no turn.
    pub(crate) limited: bool,
    /// For how long a gate quarantines it, in milliseconds.
    pub(crate) quarantined_ms: Option<u64>,
    /// What allows the next attempt, if that is a repeat.
    pub(crate) hold: Option<Reservation>,
    /// The last failure that a backend server answered itself.
    pub(crate) failure: Option<(Answered, Vec<u8>)>,
}

impl Progress {
    /// Notes a backend server that a request was sent to and may have run at.
    pub(crate) fn add_send(&mut self, server: CompactString) {
        self.sends += 1;
        self.uncertain = true;
        self.tried.push(server);
    }

    pub(crate) fn totals(&self) -> AttemptTotals {
        AttemptTotals {
            sends: self.sends,
            refusals: self.refusals,
            uncertain: self.uncertain,
        }
    }
}
