//! Routes: which requests a route matches, and how they are handled.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::RouteKind;

/// A service that receives a share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: CompactString,
    /// The weight relative to the other services of the route.
    pub weight: u32,
}

/// Matches the requests of one host whose path starts with a prefix, and configures their
/// handling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: CompactString,
    /// The host, in lower case and without a port.
    pub host: CompactString,
    /// The path prefix; it starts and ends with a slash.
    pub prefix: CompactString,
    /// Which requests may be retried.
    pub kind: RouteKind,
    /// The timeout of a request including all attempts, in milliseconds.
    pub timeout_ms: u64,
    /// The target latency: responses within this time are worth most to the caller, in
    /// milliseconds.
    pub aim_ms: u64,
    /// The maximum number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// The priority over other requests; 0 is the highest.
    pub priority: u8,
    /// The services that receive the requests; at least one.
    pub parts: SmallVec<[WeightedService; 2]>,
}
