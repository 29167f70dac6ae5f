//! The effective settings of all services at one site.

use crate::ServiceKey;
use crate::config::Service;

/// The effective settings of all services at one site.
///
/// The services stand in the order of the base file, which is the same at every site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The services; a [`ServiceKey`] is an index into them.
    pub services: Vec<Service>,
}

impl Settings {
    /// Returns the key of the service called `name`.
    pub fn key(&self, name: &str) -> Option<ServiceKey> {
        let index = self.services.iter().position(|s| s.name == name)?;
        Some(ServiceKey(index as u32))
    }

    /// Returns a service.
    ///
    /// # Panics
    ///
    /// Panics when the key comes from other settings and is out of range here.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0 as usize]
    }
}
