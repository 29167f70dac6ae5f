//! The log level of a process.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The lowest severity that a process logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system handles by itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions about single calls.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Returns the level as written in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}
