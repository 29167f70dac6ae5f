//! The status that a gate reports when a peer asks about an attempt.

use serde::{Deserialize, Serialize};

/// The status of an attempt at the gate that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt has not run, and the gate will refuse it from now on.
    Fenced,
    /// The attempt is queued at the gate.
    Queued,
    /// The attempt was dispatched to the backend server and has not ended.
    Running,
    /// The attempt has ended.
    Done,
    /// The gate holds no record of the attempt and cannot say whether it ran.
    Forgotten,
}
