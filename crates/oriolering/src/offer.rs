//! The calls that are offered to a gate, its decisions, and its settings.

use crate::{CallId, Millis, Refusal, Ticket};

/// The settings of a [`Gate`](crate::Gate).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// The initial concurrency limit.
    pub initial: u32,
    /// The lowest concurrency limit.
    pub min: u32,
    /// The highest concurrency limit.
    pub max: u32,
    /// The largest number of calls that may wait.
    pub queue_length: u32,
    /// The longest time that a call may wait, in milliseconds.
    pub queue_wait_ms: u64,
    /// The time over which the limit rises after a restart, in milliseconds.
    pub ramp_ms: u64,
    /// The largest number of open sessions.
    pub sessions: u32,
    /// The largest number of runs of consecutive calls in the same state that are kept for each
    /// session.
    pub max_state_runs: u32,
}

/// A call that an ingress asks a gate to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The id of the attempt.
    pub id: CallId,
    /// The sequence number up to which the caller knows the result of all attempts of the session.
    pub ack: u64,
    /// The hash of the customer key, or zero without one.
    ///
    /// All calls without a key count as one customer.
    pub customer: u64,
    /// The time at which the caller stops waiting.
    pub deadline: Millis,
    /// The fingerprint of the request, or zero without one.
    pub fingerprint: u64,
}

/// The decision of a gate on an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call holds a slot and is not dispatched yet.
    Start(Ticket),
    /// The call waits in the queue; exactly one [`GateEvent`] follows unless it is cancelled.
    Wait(Ticket),
    /// The call is refused and will not be run.
    Refuse(Refusal),
}

/// The decision of a gate on a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// The call holds a slot and is not dispatched yet.
    Start(Ticket),
    /// The call is refused and will not be run, and its ticket is no longer valid.
    Refuse(Ticket, Refusal),
}

/// The result of a dispatched call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The backend server responded.
    Done {
        /// The service time in microseconds.
        latency_us: u32,
    },
    /// The backend server responded with an error or aborted the exchange.
    Failed {
        /// The service time in microseconds.
        latency_us: u32,
    },
    /// No byte was sent to the backend server, so the call was not run.
    NotSent,
    /// The backend server shed the call because of overload.
    Shed,
    /// The exchange ended without a response.
    Lost,
}
