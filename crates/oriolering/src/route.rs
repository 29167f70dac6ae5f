//! A route: which requests it takes, and how they are treated.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::RouteKind;

/// A service that takes a share of the requests on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: CompactString,
    /// The share relative to the other parts of the route.
    pub weight: u32,
}

/// The requests of one host whose paths begin with a prefix, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: CompactString,
    /// The host, in lower case and without a port.
    pub host: CompactString,
    /// The beginning of the path; it begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most to the caller, in milliseconds.
    pub aim_ms: u64,
    /// The most backend servers that one request may be sent to.
    pub attempts: u32,
    /// The rank among other requests; 0 is the highest.
    pub priority: u8,
    /// The services that take the requests; one or more.
    pub parts: SmallVec<[WeightedService; 2]>,
}
