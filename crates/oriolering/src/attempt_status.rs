//! What a gate knows about an attempt that a peer inquires about.

use serde::{Deserialize, Serialize};

/// The state of an attempt at the gate that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt has not run and is now refused for good.
    Fenced,
    /// The attempt waits at the gate.
    Queued,
    /// The attempt was dispatched to the backend server and has not ended.
    Running,
    /// The attempt has ended.
    Done,
    /// The gate holds no record of the attempt and cannot say whether it ran.
    Forgotten,
}
