//! What a backend server says of its load.

use serde::{Deserialize, Serialize};

/// The load of a backend server as it tells it with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that it runs at once.
    pub slots: u32,
    /// How long work takes now, as a percentage of its usual duration.
    pub work_percent: u32,
}
