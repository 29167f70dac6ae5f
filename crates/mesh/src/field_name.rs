//! Header names in messages between nodes; the most common names are encoded in two bytes.

use compact_str::CompactString;
use oriolering_platform::HEADERS;
use serde::{Deserialize, Serialize};

/// The common names, which are sent as their index. The index of a name never changes and is never
/// reused, because nodes of different versions link to each other.
const COMMON_NAMES: [&str; 16] = [
    HEADERS.signature,
    HEADERS.request,
    "host",
    "content-type",
    "date",
    "user-agent",
    "accept",
    "accept-encoding",
    "traceparent",
    "tracestate",
    "server",
    "cache-control",
    "authorization",
    "cookie",
    "set-cookie",
    "content-encoding",
];

/// A header name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FieldName {
    /// The index in [`COMMON_NAMES`].
    Common(u8),
    /// Any other name, in lower case.
    Other(CompactString),
}

impl FieldName {
    /// Returns the shortest encoding of a name, which must be in lower case.
    pub(crate) fn of(name: &str) -> Self {
        match COMMON_NAMES.iter().position(|common| *common == name) {
            Some(index) => Self::Common(index as u8),
            None => Self::Other(name.into()),
        }
    }

    /// Returns whether this is the header `name`.
    pub(crate) fn is(&self, name: &str) -> bool {
        self.as_str() == Some(name)
    }

    /// Returns the name, or `None` if its index is unknown to this version.
    pub(crate) fn as_str(&self) -> Option<&str> {
        match self {
            Self::Common(index) => COMMON_NAMES.get(usize::from(*index)).copied(),
            Self::Other(name) => Some(name),
        }
    }
}
