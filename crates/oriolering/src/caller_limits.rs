//! Limits on what callers may send, and on how long they may take.

use serde::{Deserialize, Serialize};

/// The limits on what a caller may send, and on the time that it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "config", derive(schemars::JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    #[cfg_attr(feature = "config", schemars(range(min = 256, max = 1_048_576), extend("x-unit" = "bytes", "x-title" = "header limit")))]
    pub header_bytes: u64,
    /// The maximum size of a request body.
    #[cfg_attr(feature = "config", schemars(range(max = 1_073_741_824), extend("x-unit" = "bytes", "x-title" = "body limit")))]
    pub body_bytes: u64,
    /// The maximum time until a request head has arrived.
    #[cfg_attr(feature = "config", schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "header timeout")))]
    pub header_ms: u64,
    /// The maximum time that a connection may be idle.
    #[cfg_attr(feature = "config", schemars(range(min = 1, max = 86_400_000), extend("x-unit" = "ms", "x-title" = "idle timeout")))]
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_ms: 5_000,
            idle_ms: 60_000,
        }
    }
}
