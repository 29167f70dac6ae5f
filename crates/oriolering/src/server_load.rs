//! The load that a backend server reports.

use serde::{Deserialize, Serialize};

/// The load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The current duration of work as a percentage of its usual duration.
    pub work_percent: u32,
}
