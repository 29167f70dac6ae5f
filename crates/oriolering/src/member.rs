//! One instance, as described by the platform's list and by its peers.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A backend server and the node next to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The id of the instance in the platform's list.
    pub id: CompactString,
    /// The service that the backend server belongs to.
    pub service: CompactString,
    /// The availability zone.
    pub zone: CompactString,
    /// The region of the availability zone.
    pub region: CompactString,
    /// The address where the node accepts requests from callers.
    pub ingress: SocketAddr,
    /// The address where the node accepts requests from other nodes for its backend server.
    pub gate: SocketAddr,
    /// The address where the node accepts control connections from its peers.
    pub control: SocketAddr,
    /// Whether the instance no longer accepts new work.
    pub leaving: bool,
    /// The incarnation of the node, once it is known from gossip.
    pub incarnation: Option<Incarnation>,
}
