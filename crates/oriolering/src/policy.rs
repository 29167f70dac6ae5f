//! The policy by which an ingress chooses a backend server.

use serde::{Deserialize, Serialize};

/// How an ingress chooses among the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[cfg_attr(feature = "config", derive(schemars::JsonSchema))]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Weighs requests in flight, latency and the age of the load hints.
    #[default]
    Adaptive,
    /// Draws a backend server at random.
    Random,
    /// Takes the backend servers in turn.
    RoundRobin,
    /// Takes the backend server with the fewest requests in flight from this ingress.
    LeastInFlight,
    /// Draws two backend servers and takes the less loaded one.
    TwoChoices,
}
