//! The source of routes and lists of backend servers.

use std::fmt::{self, Display};
use std::net::IpAddr;

use serde::{Serialize, Serializer};

/// The source of routes or of a list of backend servers; logged as `store`, `node` or the IP
/// address of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// Read from the store by this node.
    Store,
    /// Received from a peer.
    Peer(IpAddr),
    /// Caused by this node itself, such as when a deadline passes.
    Node,
}

impl Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(ip) => ip.fmt(f),
            Self::Node => f.write_str("node"),
        }
    }
}

impl Serialize for Origin {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
