//! The record that a backend server publishes about itself.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts new work.
    Ready,
    /// It finishes its current work and then stops.
    Draining,
}

/// The entry of one backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// The id of this process of the backend server; a restart gets a new one.
    pub id: CompactString,
    /// The service that it belongs to.
    pub service: CompactString,
    /// The address it listens on; the IP address is that of its instance.
    pub address: SocketAddr,
    /// The availability zone of its instance.
    pub zone: CompactString,
    /// The number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// The remaining time of its slow start, in milliseconds.
    pub cold_ms: u64,
    /// The sequence number of this report since the start of the process.
    pub sequence: u64,
    /// The start of the process in Unix milliseconds, if it is published.
    pub born: Option<u64>,
}
