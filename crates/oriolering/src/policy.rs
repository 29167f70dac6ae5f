//! The policies for choosing a backend server and their settings.

use serde::{Deserialize, Serialize};

use crate::keys::ZoneKey;

/// How an ingress chooses among the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[cfg_attr(feature = "config", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Requests in flight first and latency second, as reported and as measured by this ingress.
    #[default]
    Adaptive,
    /// Any backend server with equal probability.
    Random,
    /// Each backend server in turn.
    RoundRobin,
    /// The fewest requests in flight from this ingress.
    LeastInFlight,
    /// Of two random backend servers, the one with fewer requests in flight from this ingress.
    TwoChoices,
}

/// The settings of a [`Chooser`](crate::Chooser).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceSettings {
    /// The policy.
    pub policy: Policy,
    /// The largest number of backend servers that this ingress uses; zero means all.
    pub subset_size: u32,
    /// The time over which a new or recovered backend server ramps up to its full share, in
    /// milliseconds.
    pub ramp_ms: u64,
    /// The availability zone of this ingress.
    pub zone: ZoneKey,
    /// The hash of the node's id, from which the subset is derived.
    pub node_hash: u64,
}
