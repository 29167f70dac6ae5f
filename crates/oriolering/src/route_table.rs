//! Looks up the current routes by host and path.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, SlowStart};

/// A service that is the destination of routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// The name of the service.
    pub name: CompactString,
    /// The path of the health endpoint of its backend servers.
    pub health_path: CompactString,
    /// The maximum number of connections to one of its backend servers.
    pub connections: u32,
    /// The slow start of its backend servers, if they have one.
    pub slow_start: Option<SlowStart>,
}

/// One version of the routes, as published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSet {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that the routes refer to.
    pub services: Vec<RoutedService>,
    /// The limits for callers.
    pub limits: CallerLimits,
}

/// The routes of one version, indexed by host and prefix.
#[derive(Clone, Debug)]
pub struct RouteTable {
    set: RouteSet,
    hosts: HashMap<CompactString, HashMap<CompactString, usize>>,
}

impl RouteTable {
    /// Indexes the routes of `set`; of two routes with the same host and prefix, the first one is
    /// used.
    pub fn new(set: RouteSet) -> Self {
        let mut hosts: HashMap<CompactString, HashMap<CompactString, usize>> = HashMap::new();
        for (i, route) in set.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.entry(route.prefix.clone()).or_insert(i);
        }
        Self { set, hosts }
    }

    /// Returns the version of the routes.
    pub fn version(&self) -> u64 {
        self.set.version
    }

    /// Returns the routes as they were published.
    pub fn set(&self) -> &RouteSet {
        &self.set
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.set.limits
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&RoutedService> {
        self.set.services.iter().find(|s| s.name == name)
    }

    /// Returns the route of `host` with the longest prefix of `path`, and its index.
    ///
    /// The host is compared without its port and case, the path without its query.
    pub fn find(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let path = path.split('?').next().unwrap_or(path);
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(&i) = prefixes.get(&path[..=slash]) {
                return Some((i, &self.set.routes[i]));
            }
            end = slash;
        }
        None
    }
}
