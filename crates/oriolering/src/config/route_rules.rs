//! The rules of the routes of one site.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use serde_json::{Value, json};

use crate::Route;
use crate::config::effective::is_within;
use crate::config::fault::Fault;
use crate::config::nearest::nearest;
use crate::config::node::{Entry, Node};
use crate::config::reader::join;
use crate::config::rules::Rules;
use crate::config::settings_set::BASE_FILE;
use crate::config::{Location, Problems, RouteFields};

/// Checks the routes of one site and builds them.
pub(crate) struct RouteRules<'a> {
    /// The services of the base.
    services: &'a [Entry],
    /// What the overlay of the site sets and removes.
    overlay: Option<&'a Node>,
    /// The paths whose values could not be taken; rules about them are left out.
    faults: &'a HashSet<CompactString>,
    problems: &'a mut Problems,
    /// The routes by host and prefix.
    taken: HashMap<[CompactString; 2], Taken>,
}

/// A route that takes the requests of a host and prefix.
struct Taken {
    name: CompactString,
    location: Location,
}

impl<'a> RouteRules<'a> {
    pub(crate) fn new(
        merged: &'a Node,
        overlay: Option<&'a Node>,
        faults: &'a HashSet<CompactString>,
        problems: &'a mut Problems,
    ) -> Self {
        Self {
            services: merged.get("services").map_or(&[][..], Node::entries),
            overlay,
            faults,
            problems,
            taken: HashMap::new(),
        }
    }

    /// Reports every rule that a route breaks, and returns the route.
    pub(crate) fn route(&mut self, entry: &Entry) -> Option<Route> {
        if self.problems.is_full() {
            return None;
        }
        let path = join("routes", &entry.key);
        let mut json = entry.value.to_json();
        fill(&mut json);
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
        self.check_times(entry, &path, &route);
        self.check_taken(entry, &path, &route);
        Some(route)
    }

    /// Requires one service or more, all of them of the base.
    fn check_split(&mut self, entry: &Entry, path: &str) {
        let path = join(path, "split");
        let Some(split) = entry.value.get("split") else {
            return;
        };
        if split.entries().is_empty() && !self.has_fault_in(&path) {
            let remedy = "name a service and its weight, such as \"rack\": 1";
            let overlaid = self.overlay.and_then(|overlay| overlay.at(&path));
            let location = &overlaid.unwrap_or(split).location;
            self.problems.push(location, &path, Fault::Empty { remedy });
        }
        for part in split.entries() {
            let is_known = self.services.iter().any(|s| s.key == part.key);
            if is_known || is_within(self.faults, &join("services", &part.key)) {
                continue;
            }
            let near = nearest(&part.key, self.services.iter().map(|s| s.key.as_str()));
            let path = join(&path, &part.key);
            self.problems
                .push(&part.location, &path, Fault::Service { near });
        }
    }

    fn check_times(&mut self, entry: &Entry, path: &str, route: &Route) {
        let faults = self.faults;
        let is_faulty = |field: &str| is_within(faults, &join(path, field));
        let mut rules = Rules {
            node: &entry.value,
            path,
            is_faulty: &is_faulty,
            base: BASE_FILE,
            problems: self.problems,
        };
        rules.at_most(("aim_ms", route.aim_ms), ("timeout_ms", route.timeout_ms));
    }

    /// Requires that no other route has the same host and prefix; of two, the one that the
    /// overlay sets is blamed, or else the later one.
    fn check_taken(&mut self, entry: &Entry, path: &str, route: &Route) {
        let fields = ["prefix", "host"];
        let nodes = fields.map(|field| entry.value.get(field));
        let is_faulty = |field: &str| is_within(self.faults, &join(path, field));
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
        let own = Taken {
            name: route.name.clone(),
            location,
        };
        let Some(other) = self.taken.get(&key) else {
            self.taken.insert(key, own);
            return;
        };
        let (blamed, other) = match is_overlaid(&other.location) && !is_overlaid(&own.location) {
            true => (other, &own),
            false => (&own, other),
        };
        let fault = Fault::Conflict {
            found: route.prefix.to_string(),
            other: format!("{} has it too for the host {}", other.name, route.host),
            remedy: "change the host or prefix of one of them, or remove one from the base",
        };
        let path = join(&join("routes", &blamed.name), "prefix");
        self.problems.push(&blamed.location, &path, fault);
    }

    /// Returns whether a value at or below a path could not be taken.
    fn has_fault_in(&self, path: &str) -> bool {
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

/// Adds the fields that must be set and are not, which is reported already, so that the rules
/// between the others are still checked.
fn fill(route: &mut Value) {
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
