//! The result of one attempt at a backend server.

/// The result of an attempt that [`Chooser::pick`](crate::Chooser::pick) started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The backend server responded successfully.
    Served {
        /// The time from the pick to the response, in microseconds.
        latency_us: u64,
    },
    /// The backend server responded with an error or aborted the response.
    Failed {
        /// The time from the pick to the failure, in microseconds.
        latency_us: u64,
    },
    /// The gate refused the request, which did not run.
    Refused,
    /// No response arrived in time, or the gate was unreachable.
    NoResponse,
    /// The attempt was cancelled by the caller or because another attempt was faster.
    Cancelled,
}
