//! How one attempt at a backend server ended.

/// The end of an attempt that [`Chooser::pick`](crate::Chooser::pick) started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The backend server answered well.
    Served {
        /// The time from the pick to the answer, in microseconds.
        latency_us: u64,
    },
    /// The backend server answered with an error or broke the answer off.
    Failed {
        /// The time from the pick to the failure, in microseconds.
        latency_us: u64,
    },
    /// The gate refused the request as not run.
    Refused,
    /// Nothing came back in time, or the gate could not be reached.
    NoResponse,
    /// The caller or a faster attempt cancelled it.
    Cancelled,
}
