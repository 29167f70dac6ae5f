//! Small `Copy` keys of services, backend servers, availability zones, sessions and calls.

use serde::{Deserialize, Serialize};

/// The index of a service in the active configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

/// The index of a backend server in the arena of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u32);

/// The index of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneKey(pub u32);

/// A random number drawn at each start of a process, which identifies that run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The identity of a session that a gate opened for an ingress.
///
/// Numbers are never reused within a gate's incarnation, so calls of an evicted session are refused
/// for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation of the gate that opened the session.
    pub gate: Incarnation,
    /// The number of the session within that incarnation.
    pub number: u64,
}

impl Grant {
    /// Formats the identity as two hexadecimal numbers joined by a dot.
    pub fn encode(self) -> String {
        format!("{:x}.{:x}", self.gate.0, self.number)
    }

    /// Parses the output of [`Self::encode`]; any other text gives `None`.
    pub fn decode(text: &str) -> Option<Self> {
        let (gate, number) = text.split_once('.')?;
        Some(Self {
            gate: Incarnation(parse_hex(gate)?),
            number: parse_hex(number)?,
        })
    }
}

/// The identity of one attempt of a call between an ingress and a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The session that the attempt belongs to.
    pub grant: Grant,
    /// The sequence number within the session, counted from one.
    pub seq: u64,
}

impl CallId {
    /// Formats the identity as three hexadecimal numbers joined by dots.
    pub fn encode(self) -> String {
        format!(
            "{:x}.{:x}.{:x}",
            self.grant.gate.0, self.grant.number, self.seq
        )
    }

    /// Parses the output of [`Self::encode`]; any other text gives `None`.
    pub fn decode(text: &str) -> Option<Self> {
        let (grant, seq) = text.rsplit_once('.')?;
        Some(Self {
            grant: Grant::decode(grant)?,
            seq: parse_hex(seq)?,
        })
    }
}

/// Parses one to sixteen hexadecimal digits without a sign.
fn parse_hex(text: &str) -> Option<u64> {
    if !text.bytes().all(|c| c.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
