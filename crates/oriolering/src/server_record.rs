//! What a backend server publishes of itself.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It finishes its work and leaves.
    Draining,
}

/// The entry of one backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// The identity of this run of the backend server.
    pub id: CompactString,
    /// The service that it belongs to.
    pub service: CompactString,
    /// Where it listens; the IP address is that of its instance.
    pub address: SocketAddr,
    /// The availability zone of its instance.
    pub zone: CompactString,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// The number of its reports in this run.
    pub sequence: u64,
    /// The start of this run in Unix milliseconds, where it is published.
    pub born: Option<u64>,
}
