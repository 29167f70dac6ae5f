//! The effective settings of one site.

use crate::config::ServiceSettings;
use crate::{CallerLimits, Route, RouteSet, RouteTable, RoutedService, ServiceKey};

/// The effective settings of all services and routes at one site.
///
/// The services have the order of the base file, which is the same at every site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteSettings {
    /// The services; a [`ServiceKey`] is an index into them.
    pub services: Vec<ServiceSettings>,
    /// The routes, in the order of the base file.
    pub routes: Vec<Route>,
    /// The limits on callers.
    pub callers: CallerLimits,
}

impl SiteSettings {
    /// Returns the key of the service named `name`.
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        let index = self.services.iter().position(|s| s.name == name)?;
        Some(ServiceKey(index as u32))
    }

    /// Returns a service.
    ///
    /// # Panics
    ///
    /// Panics if the key comes from other settings and is out of range here.
    pub fn service(&self, key: ServiceKey) -> &ServiceSettings {
        &self.services[key.0 as usize]
    }

    /// Returns the routing table with the given version.
    pub fn route_table(&self, version: u64) -> RouteTable {
        RouteTable::new(RouteSet {
            version,
            routes: self.routes.clone(),
            services: self.services.iter().map(routed).collect(),
            limits: self.callers,
        })
    }
}

/// Returns the settings of a service that the routing table needs.
fn routed(service: &ServiceSettings) -> RoutedService {
    RoutedService {
        name: service.name.clone(),
        health_path: service.measure.health_path.clone(),
        connections: service.connections,
        slow_start: None,
    }
}
