//! The form of the base file and of an overlay.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::CallerLimits;
use crate::config::{RouteFields, ServiceSettings};

/// The base file: all services, what they have in common, and the routes to them. An overlay has the same form
/// and holds only what differs at its site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Base {
    /// The schema by which an editor checks the file; the system does not read it.
    #[serde(default, rename = "$schema")]
    pub(crate) schema: Option<String>,
    /// The settings of every service that does not set them itself.
    #[serde(default)]
    pub(crate) defaults: ServiceSettings,
    /// The services by name.
    pub(crate) services: BTreeMap<String, ServiceSettings>,
    /// The routes by name, which lead requests to services.
    #[serde(default)]
    pub(crate) routes: BTreeMap<String, RouteFields>,
    /// The bounds on callers.
    #[serde(default)]
    pub(crate) callers: CallerLimits,
}
