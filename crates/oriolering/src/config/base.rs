//! The structure of the base file and of overlays.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::CallerLimits;
use crate::config::{RouteFields, ServiceSettings};

/// The base file: all services, their defaults, and the routes to them. An overlay has the same structure
/// and holds only what differs at its site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Base {
    /// The JSON schema by which an editor checks the file; the system ignores it.
    #[serde(default, rename = "$schema")]
    pub(crate) schema: Option<String>,
    /// The settings that apply to every service that does not set them itself.
    #[serde(default)]
    pub(crate) defaults: ServiceSettings,
    /// The services, by name.
    pub(crate) services: BTreeMap<String, ServiceSettings>,
    /// The routes, by name, that assign requests to services.
    #[serde(default)]
    pub(crate) routes: BTreeMap<String, RouteFields>,
    /// The limits on callers.
    #[serde(default)]
    pub(crate) callers: CallerLimits,
}
