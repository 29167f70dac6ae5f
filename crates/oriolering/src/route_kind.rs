//! The kind of a route, which decides whether its requests may be repeated.

use serde::{Deserialize, Serialize};

/// The kind of the requests on a route; nothing else decides whether they may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[cfg_attr(feature = "config", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A request has a large body and runs at most once.
    Upload,
    /// A request has a large response and may run more than once.
    Download,
}

impl RouteKind {
    /// Returns the name of the kind in a route set.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Upload => "upload",
            Self::Download => "download",
        }
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent | Self::Upload => false,
        }
    }
}
