//! The outcome that a caller is told when it gets no response of a backend server.

use serde::{Deserialize, Serialize};

/// The outcome of a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request was not run and never will be; it is safe to retry.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request is invalid or quarantined; retrying does not help.
    Rejected,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Rejected => "rejected",
        }
    }

    /// Parses the value of the outcome header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            "rejected" => Some(Self::Rejected),
            _ => None,
        }
    }
}

/// The reason for which a gate or an ingress refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The queue of the gate is full.
    Full,
    /// The customer has used its share of the queue.
    Share,
    /// The deadline has passed, or would pass before the request could run.
    Deadline,
    /// The backend server is leaving and accepts no new requests.
    Leaving,
    /// The id of the attempt was fenced or has been used before.
    Fenced,
    /// The session is unknown to this gate.
    Session,
    /// The backend server could not be reached, or it shed the request.
    Unreachable,
    /// The request is quarantined because backend servers crashed while running it.
    Quarantined,
    /// The node has no configuration, or the service has no backend server.
    Unready,
    /// The caller closed its connection.
    Cancelled,
    /// The request violates the rules of the protocol or of the service.
    Invalid,
}

impl Cause {
    /// Returns the value of the reason header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Share => "share",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::Fenced => "fenced",
            Self::Session => "session",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
            Self::Unready => "unready",
            Self::Cancelled => "cancelled",
            Self::Invalid => "invalid",
        }
    }

    /// Parses the value of the reason header.
    pub fn parse(text: &str) -> Option<Self> {
        const ALL: [Cause; 11] = [
            Cause::Full,
            Cause::Share,
            Cause::Deadline,
            Cause::Leaving,
            Cause::Fenced,
            Cause::Session,
            Cause::Unreachable,
            Cause::Quarantined,
            Cause::Unready,
            Cause::Cancelled,
            Cause::Invalid,
        ];
        ALL.into_iter().find(|cause| cause.as_str() == text)
    }
}

/// A final refusal of a request that was not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason for the refusal.
    pub cause: Cause,
    /// The delay after which to retry, in milliseconds.
    pub retry_after: u32,
}
