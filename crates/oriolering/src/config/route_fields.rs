//! The fields of a route as they stand in a file.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};

use crate::{Route, RouteKind, WeightedService};

/// The largest weight of a service in a split; a ten-thousandth is a finer share than can be
/// told apart within a day.
const WEIGHT_MAX: u32 = 10_000;

/// A route as a file has it, under its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteFields {
    /// The host that requests name, whatever its port.
    #[schemars(with = "String", extend("x-form" = "host", "x-title" = "host"))]
    pub host: CompactString,
    /// The beginning of the paths; of several that fit the longest takes the request.
    #[schemars(with = "String", pattern(r"^/([^?#]*/)?$"), extend("x-form" = "prefix", "x-title" = "prefix"))]
    pub prefix: CompactString,
    /// What may be repeated. It goes before the `idempotent` methods of the services.
    #[schemars(extend("x-title" = "kind"))]
    pub kind: RouteKind,
    /// The services that take the requests, each with its weight relative to the others.
    #[schemars(schema_with = "split_schema")]
    pub split: BTreeMap<CompactString, u32>,
    /// The longest time until the final answer.
    #[serde(default = "timeout_ms")]
    #[schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "timeout"))]
    pub timeout_ms: u64,
    /// The target latency: the time within which an answer is worth most to the caller.
    #[serde(default = "aim_ms")]
    #[schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "target latency"))]
    pub aim_ms: u64,
    /// The most backend servers that one request may be sent to, the first one included.
    #[serde(default = "attempts")]
    #[schemars(range(min = 1, max = 10), extend("x-unit" = "attempts", "x-title" = "attempt limit"))]
    pub attempts: u32,
    /// The rank among other requests; 0 is the highest.
    #[serde(default)]
    #[schemars(range(max = 255), extend("x-unit" = "rank", "x-title" = "priority"))]
    pub priority: u8,
}

impl RouteFields {
    /// Returns the route for the decisions.
    pub fn into_route(self, name: CompactString) -> Route {
        let parts = self.split.into_iter();
        Route {
            name,
            host: self.host,
            prefix: self.prefix,
            kind: self.kind,
            timeout_ms: self.timeout_ms,
            aim_ms: self.aim_ms,
            attempts: self.attempts,
            priority: self.priority,
            parts: parts
                .map(|(service, weight)| WeightedService { service, weight })
                .collect(),
        }
    }
}

impl From<&Route> for RouteFields {
    fn from(route: &Route) -> Self {
        let parts = route.parts.iter();
        Self {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            kind: route.kind,
            split: parts.map(|p| (p.service.clone(), p.weight)).collect(),
            timeout_ms: route.timeout_ms,
            aim_ms: route.aim_ms,
            attempts: route.attempts,
            priority: route.priority,
        }
    }
}

fn timeout_ms() -> u64 {
    2_000
}

fn aim_ms() -> u64 {
    200
}

fn attempts() -> u32 {
    3
}

fn split_schema(_: &mut SchemaGenerator) -> Schema {
    json_schema!({
        "type": "object",
        "x-title": "split",
        "x-unit": "weight",
        "minProperties": 1,
        "additionalProperties": { "type": "integer", "minimum": 1, "maximum": WEIGHT_MAX },
    })
}
