//! The fields of a route, as written in a file.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};

use crate::{Route, RouteKind, WeightedService};

/// The largest weight of a service in a split. Shares finer than a ten-thousandth cannot be
/// distinguished within a day.
const WEIGHT_MAX: u32 = 10_000;

/// The fields of a route, which a file lists under its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteFields {
    /// The host of the requests; the port is ignored.
    #[schemars(with = "String", extend("x-form" = "host", "x-title" = "host"))]
    pub host: CompactString,
    /// The path prefix of the requests; the route with the longest matching prefix is used.
    #[schemars(with = "String", pattern(r"^/([^?#]*/)?$"), extend("x-form" = "prefix", "x-title" = "prefix"))]
    pub prefix: CompactString,
    /// Whether requests may be repeated. It takes precedence over the `idempotent` methods of the services.
    #[schemars(extend("x-title" = "kind"))]
    pub kind: RouteKind,
    /// The services that receive the requests, each with its relative weight.
    #[schemars(schema_with = "split_schema")]
    pub split: BTreeMap<CompactString, u32>,
    /// The longest time until the final response.
    #[serde(default = "timeout_ms")]
    #[schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "timeout"))]
    pub timeout_ms: u64,
    /// The target latency: the time within which a response is most useful to the caller.
    #[serde(default = "aim_ms")]
    #[schemars(range(min = 1, max = 600_000), extend("x-unit" = "ms", "x-title" = "target latency"))]
    pub aim_ms: u64,
    /// The largest number of backend servers that one request may be sent to, including the first.
    #[serde(default = "attempts")]
    #[schemars(range(min = 1, max = 10), extend("x-unit" = "attempts", "x-title" = "attempt limit"))]
    pub attempts: u32,
    /// The priority relative to other requests; 0 is the highest.
    #[serde(default)]
    #[schemars(range(max = 255), extend("x-unit" = "rank", "x-title" = "priority"))]
    pub priority: u8,
}

impl RouteFields {
    /// Converts the fields into a route with the given name.
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
