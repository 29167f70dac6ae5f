//! Small `Copy` keys into the arenas of services, backend servers and availability zones.

use serde::{Deserialize, Serialize};

/// The index of a service in the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

/// The index of a backend server in an arena of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u32);

/// The index of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneKey(pub u32);

/// A random number drawn once at each start of a process; equal numbers mean the same run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A session that one gate opened for one ingress.
///
/// Numbers are never used again within a gate's incarnation, so a grant that the gate has
/// dropped stays refused for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation of the gate that opened the session.
    pub gate: Incarnation,
    /// The number of the session within that incarnation.
    pub number: u64,
}

impl Grant {
    /// Writes the session as two hexadecimal numbers joined by a dot.
    pub fn encode(self) -> String {
        format!("{:x}.{:x}", self.gate.0, self.number)
    }

    /// Reads a session that [`Self::encode`] wrote; anything else is `None`.
    pub fn decode(text: &str) -> Option<Self> {
        let (gate, number) = text.split_once('.')?;
        Some(Self {
            gate: Incarnation(scan_hex(gate)?),
            number: scan_hex(number)?,
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
    /// Writes the identity as three hexadecimal numbers joined by dots.
    pub fn encode(self) -> String {
        format!(
            "{:x}.{:x}.{:x}",
            self.grant.gate.0, self.grant.number, self.seq
        )
    }

    /// Reads an identity that [`Self::encode`] wrote; anything else is `None`.
    pub fn decode(text: &str) -> Option<Self> {
        let (grant, seq) = text.rsplit_once('.')?;
        Some(Self {
            grant: Grant::decode(grant)?,
            seq: scan_hex(seq)?,
        })
    }
}

/// Reads one to sixteen hexadecimal digits without a sign.
fn scan_hex(text: &str) -> Option<u64> {
    if !text.bytes().all(|c| c.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
