//! Checks and builds the routes of one site.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use serde_json::{Value, json};

use crate::Route;
use crate::config::effective::is_within;
use crate::config::fault::Fault;
use crate::config::json_node::{Entry, JsonNode};
use crate::config::nearest::nearest;
use crate::config::reader::join_path;
use crate::config::rules::RuleChecker;
use crate::config::settings_set::BASE_FILE;
use crate::config::{Location, Problems, RouteFields};

/// Checks and builds the routes of one site.
pub(crate) struct RouteBuilder<'a> {
    /// The services of the base.
    services: &'a [Entry],
    /// The overlay of the site, if it has one.
    overlay: Option<&'a JsonNode>,
    /// The paths whose values are faulty; rules about them are skipped.
    faults: &'a HashSet<CompactString>,
    problems: &'a mut Problems,
    /// The routes built so far, by host and prefix.
    declared: HashMap<[CompactString; 2], DeclaredRoute>,
}

/// A route that uses a host and prefix.
struct DeclaredRoute {
    name: CompactString,
    location: Location,
}

impl<'a> RouteBuilder<'a> {
    pub(crate) fn new(
        merged: &'a JsonNode,
        overlay: Option<&'a JsonNode>,
        faults: &'a HashSet<CompactString>,
        problems: &'a mut Problems,
    ) -> Self {
        Self {
            services: merged.get("services").map_or(&[][..], JsonNode::entries),
            overlay,
            faults,
            problems,
            declared: HashMap::new(),
        }
    }

    /// Reports every rule that a route violates, and returns the route.
    pub(crate) fn build(&mut self, entry: &Entry) -> Option<Route> {
        if self.problems.is_full() {
            return None;
        }
        let path = join_path("routes", &entry.key);
        let mut json = entry.value.to_json();
        fill_required(&mut json);
        let fields: RouteFields = match serde_json::from_value(json) {
            Ok(fields) => fields,
            Err(e) => {
                let detail = e.to_string();
                self.problems
                    .push(&entry.location, &path, Fault::Syntax { detail });
                return None;
            }
        };
        let route = fields.into_route(entry.key.clone());
        self.check_split(entry, &path);
        self.check_latency(entry, &path, &route);
        self.check_unique(entry, &path, &route);
        Some(route)
    }

    /// Requires at least one service, and that all services are in the base.
    fn check_split(&mut self, entry: &Entry, path: &str) {
        let path = join_path(path, "split");
        let Some(split) = entry.value.get("split") else {
            return;
        };
        if split.entries().is_empty() && !self.has_fault_at_or_below(&path) {
            let remedy = "name a service and its weight, such as \"rack\": 1";
            let overlaid = self.overlay.and_then(|overlay| overlay.at(&path));
            let location = &overlaid.unwrap_or(split).location;
            self.problems.push(location, &path, Fault::Empty { remedy });
        }
        for part in split.entries() {
            let is_known = self.services.iter().any(|s| s.key == part.key);
            if is_known || is_within(self.faults, &join_path("services", &part.key)) {
                continue;
            }
            let suggestion = nearest(&part.key, self.services.iter().map(|s| s.key.as_str()));
            let path = join_path(&path, &part.key);
            self.problems
                .push(&part.location, &path, Fault::UnknownService { suggestion });
        }
    }

    fn check_latency(&mut self, entry: &Entry, path: &str, route: &Route) {
        let faults = self.faults;
        let is_faulty = |field: &str| is_within(faults, &join_path(path, field));
        let mut rules = RuleChecker {
            node: &entry.value,
            path,
            is_faulty: &is_faulty,
            base: BASE_FILE,
            problems: self.problems,
        };
        rules.require_at_most(("aim_ms", route.aim_ms), ("timeout_ms", route.timeout_ms));
    }

    /// Requires that no other route has the same host and prefix. Of two equal routes, the problem
    /// is reported for the one that the overlay sets, or else for the later one.
    fn check_unique(&mut self, entry: &Entry, path: &str, route: &Route) {
        let fields = ["prefix", "host"];
        let nodes = fields.map(|field| entry.value.get(field));
        let is_faulty = |field: &str| is_within(self.faults, &join_path(path, field));
        let [Some(prefix), Some(host)] = nodes else {
            return;
        };
        if fields.into_iter().any(is_faulty) {
            return;
        }
        let location = match is_overlaid(&host.location) && !is_overlaid(&prefix.location) {
            true => host.location.clone(),
            false => prefix.location.clone(),
        };
        let key = [route.host.clone(), route.prefix.clone()];
        let own = DeclaredRoute {
            name: route.name.clone(),
            location,
        };
        let Some(other) = self.declared.get(&key) else {
            self.declared.insert(key, own);
            return;
        };
        let (reported, other) = match is_overlaid(&other.location) && !is_overlaid(&own.location) {
            true => (other, &own),
            false => (&own, other),
        };
        let fault = Fault::Conflict {
            found: route.prefix.to_string(),
            other: format!(
                "{} has the same prefix for the host {}",
                other.name, route.host
            ),
            remedy: "change the host or prefix of one of them, or remove one from the base",
        };
        let path = join_path(&join_path("routes", &reported.name), "prefix");
        self.problems.push(&reported.location, &path, fault);
    }

    /// Returns whether a value at or below a path is faulty.
    fn has_fault_at_or_below(&self, path: &str) -> bool {
        let below = |fault: &CompactString| {
            let rest = fault.strip_prefix(path);
            rest.is_some_and(|rest| rest.starts_with('.'))
        };
        is_within(self.faults, path) || self.faults.iter().any(below)
    }
}

fn is_overlaid(location: &Location) -> bool {
    location.file != BASE_FILE
}

/// Adds placeholders for missing required fields, which are already reported, so that the rules
/// between the other fields can still be checked.
fn fill_required(route: &mut Value) {
    let Some(fields) = route.as_object_mut() else {
        return;
    };
    let absent = [
        ("host", json!("")),
        ("prefix", json!("/")),
        ("kind", json!("idempotent")),
        ("split", json!({})),
    ];
    for (key, value) in absent {
        fields.entry(key).or_insert(value);
    }
}
