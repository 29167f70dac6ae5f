//! The whole set of base and overlays.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde_json::Value;

use crate::CallerLimits;
use crate::config::bundle::check_size;
use crate::config::check::{Check, Role, check_parts, check_required};
use crate::config::effective::{Builder, Overlay};
use crate::config::fault::Fault;
use crate::config::field::{Field, fields};
use crate::config::nearest::nearest;
use crate::config::node::{Entry, Node};
use crate::config::reader::{self, join};
use crate::config::shape::{Form, Shape, relax, schema};
use crate::config::{
    Bundle, Location, Problems, RouteFields, ServiceSettings, SiteSettings, base::Base,
};

/// The name of the base file in problems.
pub(crate) const BASE_FILE: &str = "base.jsonc";

/// The most services of a set.
const MAX_SERVICES: u64 = 500;

/// The most routes of a set: two for each service.
const MAX_ROUTES: u64 = 1_000;

/// The most overlays of a set.
const MAX_SITES: u64 = 64;

/// A valid set of base and overlays.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsSet {
    base: SiteSettings,
    sites: BTreeMap<CompactString, SiteSettings>,
}

impl SettingsSet {
    /// Reads and checks the base and every overlay. The verdict depends on the bundle alone,
    /// so it is the same at every node.
    ///
    /// # Errors
    ///
    /// Returns the problems of all files when there are any.
    pub fn parse(bundle: &Bundle) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        check_size(bundle.to_json().len(), &mut problems);
        check_sites(bundle.overlays.len() as u64, &mut problems);
        if !problems.is_empty() {
            return Err(problems);
        }
        let shape = Shape::of::<Base>();
        let base = read_base(&bundle.base, &shape, &mut problems);
        let mut overlays = Vec::new();
        for (site, text) in &bundle.overlays {
            let overlay = read_overlay(site, text, &shape, base.as_ref(), &mut problems);
            overlays.extend(overlay);
        }
        let Some(base) = base else {
            return problems.into_result(Self::empty());
        };
        let mut builder = Builder::new(base, problems);
        let sites = overlays
            .iter()
            .map(|o| (o.site.clone(), builder.site(o)))
            .collect();
        let base = builder.base();
        builder.problems.into_result(Self { base, sites })
    }

    /// Returns the effective settings of a site; a site without an overlay has the base's.
    pub fn site(&self, site: &str) -> SiteSettings {
        self.sites.get(site).unwrap_or(&self.base).clone()
    }

    /// Returns the settings of every site without an overlay.
    pub fn base(&self) -> &SiteSettings {
        &self.base
    }

    /// Returns the sites that have an overlay, in the order of their names.
    pub fn sites(&self) -> impl Iterator<Item = &str> {
        self.sites.keys().map(CompactString::as_str)
    }

    /// Returns the fields of a service, which `defaults` has too, in the order of their paths.
    pub fn service_fields() -> Vec<Field> {
        fields(&Shape::of::<ServiceSettings>())
    }

    /// Returns the fields of a route, in the order of their paths.
    pub fn route_fields() -> Vec<Field> {
        fields(&Shape::of::<RouteFields>())
    }

    /// Returns the fields of the bounds on callers, in the order of their paths.
    pub fn caller_fields() -> Vec<Field> {
        fields(&Shape::of::<CallerLimits>())
    }

    /// Returns the JSON schema of the base file.
    pub fn base_schema() -> Value {
        schema::<Base>().to_value()
    }

    /// Returns the JSON schema of a route.
    pub fn route_schema() -> Value {
        schema::<RouteFields>().to_value()
    }

    /// Returns the JSON schema of the bounds on callers.
    pub fn caller_schema() -> Value {
        schema::<CallerLimits>().to_value()
    }

    /// Returns the JSON schema of an overlay, in which every field may be left out or null.
    pub fn overlay_schema() -> Value {
        let mut schema = Self::base_schema();
        relax(&mut schema);
        schema
    }

    fn empty() -> Self {
        Self {
            base: SiteSettings::default(),
            sites: BTreeMap::new(),
        }
    }
}

/// Returns the name of a site's overlay in problems.
pub(crate) fn overlay_file(site: &str) -> String {
    format!("overlays/{site}.jsonc")
}

fn read_base(text: &str, shape: &Shape, problems: &mut Problems) -> Option<Node> {
    let node = reader::read(BASE_FILE, text, problems)?;
    let mut check = Check {
        role: Role::Base,
        problems,
    };
    check.value(&node, shape, "");
    check_required(&node, shape, false, problems);
    if let Some(services) = node.get("services") {
        check_count(services, problems);
    }
    if let (Some(routes), Some(shape)) = (node.get("routes"), shape.field("routes")) {
        check_route_count(routes, problems);
        check_parts(routes, shape, "routes", problems);
    }
    Some(node)
}

fn check_sites(count: u64, problems: &mut Problems) {
    if count > MAX_SITES {
        let fault = Fault::High {
            found: compact_str::format_compact!("a list of {count} sites"),
            most: MAX_SITES,
        };
        problems.push(&Location::whole("bundle"), "overlays", fault);
    }
}

fn check_count(services: &Node, problems: &mut Problems) {
    let count = services.entries().len() as u64;
    let found = compact_str::format_compact!("a list of {count} services");
    let fault = match count {
        0 => Fault::Low { found, least: 1 },
        1..=MAX_SERVICES => return,
        _ => Fault::High {
            found,
            most: MAX_SERVICES,
        },
    };
    problems.push(&services.location, "services", fault);
}

fn check_route_count(routes: &Node, problems: &mut Problems) {
    let count = routes.entries().len() as u64;
    if count > MAX_ROUTES {
        let fault = Fault::High {
            found: compact_str::format_compact!("a list of {count} routes"),
            most: MAX_ROUTES,
        };
        problems.push(&routes.location, "routes", fault);
    }
}

fn read_overlay(
    site: &CompactString,
    text: &str,
    shape: &Shape,
    base: Option<&Node>,
    problems: &mut Problems,
) -> Option<Overlay> {
    let file = overlay_file(site);
    if !Form::Name.accepts(site) {
        let fault = Fault::Form {
            found: site.to_string(),
            wanted: Form::Name.wanted(),
        };
        problems.push(&Location::whole(&file), "", fault);
    }
    let node = reader::read(&file, text, problems)?;
    let mut check = Check {
        role: Role::Overlay,
        problems,
    };
    check.value(&node, shape, "");
    if let Some(base) = base {
        check_services(&node, base, problems);
        check_routes(&node, base, problems);
    }
    Some(Overlay {
        site: site.clone(),
        file,
        node,
    })
}

/// Reports the services of an overlay that the base lacks.
fn check_services(overlay: &Node, base: &Node, problems: &mut Problems) {
    if let Some(services) = base.get("services") {
        let fault = |near| Fault::Service { near };
        check_names("services", overlay, services.entries(), fault, problems);
    }
}

/// Reports the routes of an overlay that the base lacks.
fn check_routes(overlay: &Node, base: &Node, problems: &mut Problems) {
    let routes = base.get("routes").map_or(&[][..], Node::entries);
    let fault = |near| Fault::Route { near };
    check_names("routes", overlay, routes, fault, problems);
}

fn check_names(
    path: &str,
    overlay: &Node,
    known: &[Entry],
    fault: fn(Option<CompactString>) -> Fault,
    problems: &mut Problems,
) {
    let entries = overlay.get(path).map_or(&[][..], Node::entries);
    for entry in entries {
        if problems.is_full() {
            return;
        }
        if known.iter().any(|e| e.key == entry.key) {
            continue;
        }
        let near = nearest(&entry.key, known.iter().map(|e| e.key.as_str()));
        let path = join(path, &entry.key);
        problems.push(&entry.location, &path, fault(near));
    }
}
