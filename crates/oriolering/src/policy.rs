//! The policies of choosing a backend server and their settings.

use serde::{Deserialize, Serialize};

use crate::keys::ZoneKey;

/// How an ingress chooses among the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[cfg_attr(feature = "config", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Requests in flight first and latency second, from hints and from what was seen here.
    #[default]
    Adaptive,
    /// Any backend server with equal chance.
    Random,
    /// One after the other.
    RoundRobin,
    /// The fewest requests in flight from this ingress.
    LeastInFlight,
    /// The better of two random ones by requests in flight from this ingress.
    TwoChoices,
}

/// The settings of a [`Chooser`](crate::Chooser).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceSettings {
    /// The policy in force.
    pub policy: Policy,
    /// The most backend servers that this ingress uses; zero means all.
    pub subset_size: u32,
    /// The milliseconds over which a new or recovered backend server gets its full share.
    pub ramp_ms: u64,
    /// The availability zone of this ingress.
    pub zone: ZoneKey,
    /// The hash of the node's and the service's names, which decides the subset.
    pub node_hash: u64,
}
