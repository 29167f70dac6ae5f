//! Merges the base and an overlay into the effective settings of a site.

use std::collections::HashSet;

use compact_str::CompactString;

use crate::config::fault::Fault;
use crate::config::json_node::{Entry, JsonNode};
use crate::config::reader::join_path;
use crate::config::route_builder::RouteBuilder;
use crate::config::rules::RuleChecker;
use crate::config::settings_set::BASE_FILE;
use crate::config::{Problems, ServiceSettings, SiteSettings};
use crate::{CallerLimits, Route};

/// The overlay of one site.
pub(crate) struct Overlay {
    pub(crate) site: CompactString,
    pub(crate) file: String,
    pub(crate) node: JsonNode,
}

/// Builds the effective settings of all sites that share one base.
///
/// Values that already have problems are left out, so that the rules between the other fields
/// can still be checked.
pub(crate) struct SettingsBuilder {
    base: JsonNode,
    base_faults: HashSet<CompactString>,
    pub(crate) problems: Problems,
}

impl SettingsBuilder {
    pub(crate) fn new(mut base: JsonNode, problems: Problems) -> Self {
        let base_faults = problems.faulty_paths(BASE_FILE);
        base.prune("", &|path| base_faults.contains(path));
        Self {
            base,
            base_faults,
            problems,
        }
    }

    /// Returns the settings of the sites without an overlay.
    pub(crate) fn build_base(&mut self) -> SiteSettings {
        let merged = self.base.clone();
        self.build_settings(&merged, None, HashSet::new())
    }

    /// Returns the settings of a site with an overlay.
    pub(crate) fn build_site(&mut self, overlay: &Overlay) -> SiteSettings {
        if self.problems.is_full() {
            return SiteSettings::default();
        }
        let faults = self.problems.faulty_paths(&overlay.file);
        let mut over = overlay.node.clone();
        over.prune("", &|path| faults.contains(path));
        let mut merged = self.base.clone();
        if !faults.contains("") {
            merged.merge(&over);
        }
        self.build_settings(&merged, Some(&over), faults)
    }

    fn build_settings(
        &mut self,
        merged: &JsonNode,
        overlay: Option<&JsonNode>,
        mut faults: HashSet<CompactString>,
    ) -> SiteSettings {
        faults.extend(self.base_faults.iter().cloned());
        let entries = merged.get("services").map_or(&[][..], JsonNode::entries);
        let services = entries
            .iter()
            .filter_map(|entry| self.build_service(merged, entry, &faults))
            .collect();
        SiteSettings {
            services,
            routes: self.build_routes(merged, overlay, &faults),
            callers: self.build_callers(merged),
        }
    }

    /// Returns the routes of a site.
    fn build_routes(
        &mut self,
        merged: &JsonNode,
        overlay: Option<&JsonNode>,
        faults: &HashSet<CompactString>,
    ) -> Vec<Route> {
        let entries = merged.get("routes").map_or(&[][..], JsonNode::entries);
        let mut builder = RouteBuilder::new(merged, overlay, faults, &mut self.problems);
        entries.iter().filter_map(|e| builder.build(e)).collect()
    }

    /// Returns the limits on callers; a field that is not set has its default.
    fn build_callers(&mut self, merged: &JsonNode) -> CallerLimits {
        let Some(node) = merged.get("callers") else {
            return CallerLimits::default();
        };
        serde_json::from_value(node.to_json()).unwrap_or_else(|e| {
            let detail = e.to_string();
            self.problems
                .push(&node.location, "callers", Fault::Syntax { detail });
            CallerLimits::default()
        })
    }

    fn build_service(
        &mut self,
        merged: &JsonNode,
        entry: &Entry,
        faults: &HashSet<CompactString>,
    ) -> Option<ServiceSettings> {
        if self.problems.is_full() {
            return None;
        }
        let path = join_path("services", &entry.key);
        let mut node = JsonNode::empty(entry.location.clone());
        if let Some(defaults) = merged.get("defaults") {
            node.merge(defaults);
        }
        node.merge(&entry.value);
        let mut service: ServiceSettings = match serde_json::from_value(node.to_json()) {
            Ok(service) => service,
            Err(e) => {
                let detail = e.to_string();
                self.problems
                    .push(&entry.location, &path, Fault::Syntax { detail });
                return None;
            }
        };
        service.name = entry.key.clone();
        let is_faulty = |field: &str| {
            let paths = [join_path(&path, field), join_path("defaults", field)];
            paths.iter().any(|path| is_within(faults, path))
        };
        let mut rules = RuleChecker {
            node: &node,
            path: &path,
            is_faulty: &is_faulty,
            base: BASE_FILE,
            problems: &mut self.problems,
        };
        rules.check_service(&service);
        Some(service)
    }
}

/// Returns whether `faults` contains `path` or the path of an enclosing object.
pub(crate) fn is_within(faults: &HashSet<CompactString>, path: &str) -> bool {
    let ends = path.match_indices('.').map(|(i, _)| i);
    ends.chain([path.len()])
        .any(|end| faults.contains(&path[..end]))
}
