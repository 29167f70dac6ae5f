//! What a gate is offered and what it decides.

use crate::{CallId, Millis, Refusal, Ticket};

/// The settings of a [`Gate`](crate::Gate).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// The concurrency limit to start with.
    pub initial: u32,
    /// The lowest concurrency limit.
    pub min: u32,
    /// The highest concurrency limit.
    pub max: u32,
    /// The number of calls that may wait.
    pub queue_length: u32,
    /// The longest time that a call waits, in milliseconds.
    pub queue_wait_ms: u64,
    /// The time in which the limit rises after a restart, in milliseconds.
    pub ramp_ms: u64,
    /// The number of sessions that may be open.
    pub sessions: u32,
    /// The number of runs of equal states of neighbouring calls that are kept for each session.
    pub max_state_runs: u32,
}

/// A call that an ingress asks a gate to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The identity of the attempt.
    pub id: CallId,
    /// The sequence number up to which every attempt of the session is settled.
    pub ack: u64,
    /// A hash of the customer key; calls with zero, that is without a key, count as one customer.
    pub customer: u64,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The fingerprint of the request, or zero without one.
    pub fingerprint: u64,
}

/// What a gate decides about an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call holds a slot and is not dispatched yet.
    Start(Ticket),
    /// The call waits; exactly one [`GateEvent`] follows unless it is cancelled.
    Wait(Ticket),
    /// The call is refused for good.
    Refuse(Refusal),
}

/// What became of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// The call holds a slot and is not dispatched yet.
    Start(Ticket),
    /// The call is refused for good, and its ticket is not valid any more.
    Refuse(Ticket, Refusal),
}

/// How the run of a dispatched call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The backend server answered.
    Done {
        /// The service time in microseconds.
        latency_us: u32,
    },
    /// The backend server answered with an error of its own, or broke the exchange off.
    Failed {
        /// The service time in microseconds.
        latency_us: u32,
    },
    /// No byte reached the backend server, so the call was not run.
    NotSent,
    /// The backend server shed the call.
    Shed,
    /// The exchange ended without an answer.
    Lost,
}
