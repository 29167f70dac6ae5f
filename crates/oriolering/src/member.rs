//! One instance of the system as the platform's list and its peers describe it.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A backend server and the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the instance in the platform's list.
    pub id: CompactString,
    /// The service that the backend server belongs to.
    pub service: CompactString,
    /// The availability zone.
    pub zone: CompactString,
    /// The region of the availability zone.
    pub region: CompactString,
    /// Where the node accepts callers.
    pub ingress: SocketAddr,
    /// Where the node accepts other nodes' calls for its backend server.
    pub gate: SocketAddr,
    /// Where the node accepts its peers.
    pub control: SocketAddr,
    /// Whether the instance has stopped taking new work.
    pub leaving: bool,
    /// The run of the node, once a peer has heard from it.
    pub incarnation: Option<Incarnation>,
}
