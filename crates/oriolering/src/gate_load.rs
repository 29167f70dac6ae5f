//! What a gate tells the ingresses of its backend server.

use serde::{Deserialize, Serialize};

/// The load of a backend server as its gate knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait at the gate.
    pub waiting: u32,
    /// The requests that the gate lets run at once.
    pub capacity: u32,
    /// How long work takes now, as a percentage of its usual duration.
    pub work_percent: u32,
    /// Whether new requests are refused, since the node or its backend server leaves or is down.
    pub closed: bool,
}
