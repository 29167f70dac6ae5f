//! What an ingress knows of a backend server and why it would or would not choose it.

use compact_str::CompactString;
use serde::Serialize;

use crate::keys::{ServerKey, ZoneKey};
use crate::load::LoadHint;

/// How a backend server stands with one ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// It has free slots.
    Cold,
    /// Its slots are taken.
    Hot,
    /// It is new or recovering, and its share still grows.
    Ramping,
    /// It failed or was slow; it gets only occasional requests.
    Suspect,
    /// It takes no new work.
    Leaving,
}

/// The view of one ingress on one backend server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The backend server.
    pub server: ServerKey,
    /// Whether it is among those that this ingress uses.
    pub subset: bool,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether its availability zone is that of the ingress.
    pub local: bool,
    /// The requests in flight from this ingress.
    pub inflight: u32,
    /// The last report of its gate.
    pub hint: Option<LoadHint>,
    /// The age of that report in milliseconds.
    pub age_ms: Option<u64>,
    /// The mean latency of answers seen here, in microseconds.
    pub latency_us: Option<u64>,
    /// The estimated requests there, from all ingresses.
    pub load: f64,
    /// How it stands.
    pub class: Class,
    /// Why it would or would not be chosen now.
    pub reason: CompactString,
}
