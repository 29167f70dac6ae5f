//! Merges base and overlay into the effective settings of a site.

use std::collections::HashSet;

use compact_str::CompactString;

use crate::config::fault::Fault;
use crate::config::node::{Entry, Node};
use crate::config::reader::join;
use crate::config::route_rules::RouteRules;
use crate::config::rules::Rules;
use crate::config::settings_set::BASE_FILE;
use crate::config::{Problems, ServiceSettings, SiteSettings};
use crate::{CallerLimits, Route};

/// The overlay of one site.
pub(crate) struct Overlay {
    pub(crate) site: CompactString,
    pub(crate) file: String,
    pub(crate) node: Node,
}

/// Builds the effective settings of all sites over one base.
///
/// Values that already have problems are left out, so that the rules between the other fields
/// are still checked.
pub(crate) struct Builder {
    base: Node,
    base_faults: HashSet<CompactString>,
    pub(crate) problems: Problems,
}

impl Builder {
    pub(crate) fn new(mut base: Node, problems: Problems) -> Self {
        let base_faults = problems.paths(BASE_FILE);
        base.prune("", &|path| base_faults.contains(path));
        Self {
            base,
            base_faults,
            problems,
        }
    }

    /// Returns the settings of the sites without an overlay.
    pub(crate) fn base(&mut self) -> SiteSettings {
        let merged = self.base.clone();
        self.settings(&merged, None, HashSet::new())
    }

    /// Returns the settings of a site with an overlay.
    pub(crate) fn site(&mut self, overlay: &Overlay) -> SiteSettings {
        if self.problems.is_full() {
            return SiteSettings::default();
        }
        let faults = self.problems.paths(&overlay.file);
        let mut over = overlay.node.clone();
        over.prune("", &|path| faults.contains(path));
        let mut merged = self.base.clone();
        if !faults.contains("") {
            merged.merge(&over);
        }
        self.settings(&merged, Some(&over), faults)
    }

    fn settings(
        &mut self,
        merged: &Node,
        overlay: Option<&Node>,
        mut faults: HashSet<CompactString>,
    ) -> SiteSettings {
        faults.extend(self.base_faults.iter().cloned());
        let entries = merged.get("services").map_or(&[][..], Node::entries);
        let services = entries
            .iter()
            .filter_map(|entry| self.service(merged, entry, &faults))
            .collect();
        SiteSettings {
            services,
            routes: self.routes(merged, overlay, &faults),
            callers: self.callers(merged),
        }
    }

    /// Returns the routes of a site.
    fn routes(
        &mut self,
        merged: &Node,
        overlay: Option<&Node>,
        faults: &HashSet<CompactString>,
    ) -> Vec<Route> {
        let entries = merged.get("routes").map_or(&[][..], Node::entries);
        let mut rules = RouteRules::new(merged, overlay, faults, &mut self.problems);
        entries.iter().filter_map(|e| rules.route(e)).collect()
    }

    /// Returns the bounds on callers; each field that is not set has its default.
    fn callers(&mut self, merged: &Node) -> CallerLimits {
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

    fn service(
        &mut self,
        merged: &Node,
        entry: &Entry,
        faults: &HashSet<CompactString>,
    ) -> Option<ServiceSettings> {
        if self.problems.is_full() {
            return None;
        }
        let path = join("services", &entry.key);
        let mut node = Node::empty(entry.location.clone());
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
            let paths = [join(&path, field), join("defaults", field)];
            paths.iter().any(|path| is_within(faults, path))
        };
        let mut rules = Rules {
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

/// Returns whether `path` or a part of it from the start is among `faults`.
pub(crate) fn is_within(faults: &HashSet<CompactString>, path: &str) -> bool {
    let ends = path.match_indices('.').map(|(i, _)| i);
    ends.chain([path.len()])
        .any(|end| faults.contains(&path[..end]))
}
