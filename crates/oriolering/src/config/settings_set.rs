//! A complete set of settings: the base and all overlays.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde_json::Value;

use crate::CallerLimits;
use crate::config::bundle::check_size;
use crate::config::check::{Checker, FileRole, check_required, check_required_in_map};
use crate::config::effective::{Overlay, SettingsBuilder};
use crate::config::fault::Fault;
use crate::config::field::{Field, fields};
use crate::config::json_node::{Entry, JsonNode};
use crate::config::nearest::nearest;
use crate::config::reader::{self, join_path};
use crate::config::shape::{Format, Shape, make_optional, schema};
use crate::config::{
    Bundle, Location, Problems, RouteFields, ServiceSettings, SiteSettings, base::Base,
};

/// The file name under which problems of the base are reported.
pub(crate) const BASE_FILE: &str = "base.jsonc";

/// The largest number of services of a set.
const MAX_SERVICES: u64 = 500;

/// The largest number of routes of a set: two for each service.
const MAX_ROUTES: u64 = 1_000;

/// The largest number of overlays of a set.
const MAX_SITES: u64 = 64;

/// The valid settings of a base and its overlays.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsSet {
    base: SiteSettings,
    sites: BTreeMap<CompactString, SiteSettings>,
}

impl SettingsSet {
    /// Parses and checks the base and every overlay. The result depends only on the bundle, so it
    /// is the same at every node.
    ///
    /// # Errors
    ///
    /// Returns the problems of all files if there are any.
    pub fn parse(bundle: &Bundle) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        check_size(bundle.to_json().len(), &mut problems);
        check_site_count(bundle.overlays.len() as u64, &mut problems);
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
        let mut builder = SettingsBuilder::new(base, problems);
        let sites = overlays
            .iter()
            .map(|o| (o.site.clone(), builder.build_site(o)))
            .collect();
        let base = builder.build_base();
        builder.problems.into_result(Self { base, sites })
    }

    /// Returns the effective settings of a site; a site without an overlay uses those of the base.
    pub fn site(&self, site: &str) -> SiteSettings {
        self.sites.get(site).unwrap_or(&self.base).clone()
    }

    /// Returns the settings of the sites without an overlay.
    pub fn base(&self) -> &SiteSettings {
        &self.base
    }

    /// Returns the sites that have an overlay, ordered by name.
    pub fn sites(&self) -> impl Iterator<Item = &str> {
        self.sites.keys().map(CompactString::as_str)
    }

    /// Returns the fields of a service, which are also those of `defaults`, ordered by path.
    pub fn service_fields() -> Vec<Field> {
        fields(&Shape::of::<ServiceSettings>())
    }

    /// Returns the fields of a route, ordered by path.
    pub fn route_fields() -> Vec<Field> {
        fields(&Shape::of::<RouteFields>())
    }

    /// Returns the fields of the limits on callers, ordered by path.
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

    /// Returns the JSON schema of the limits on callers.
    pub fn caller_schema() -> Value {
        schema::<CallerLimits>().to_value()
    }

    /// Returns the JSON schema of an overlay, in which every field may be left out and every field
    /// with a default may be null.
    pub fn overlay_schema() -> Value {
        let mut schema = Self::base_schema();
        make_optional(&mut schema);
        schema
    }

    fn empty() -> Self {
        Self {
            base: SiteSettings::default(),
            sites: BTreeMap::new(),
        }
    }
}

/// Returns the file name under which problems of a site's overlay are reported.
pub(crate) fn overlay_file(site: &str) -> String {
    format!("overlays/{site}.jsonc")
}

fn read_base(text: &str, shape: &Shape, problems: &mut Problems) -> Option<JsonNode> {
    let node = reader::read(BASE_FILE, text, problems)?;
    let mut checker = Checker {
        role: FileRole::Base,
        problems,
    };
    checker.check_value(&node, shape, "");
    check_required(&node, shape, false, problems);
    if let Some(services) = node.get("services") {
        check_service_count(services, problems);
    }
    if let (Some(routes), Some(shape)) = (node.get("routes"), shape.field("routes")) {
        check_route_count(routes, problems);
        check_required_in_map(routes, shape, "routes", problems);
    }
    Some(node)
}

fn check_site_count(count: u64, problems: &mut Problems) {
    if count > MAX_SITES {
        let fault = Fault::TooHigh {
            found: compact_str::format_compact!("a list of {count} sites"),
            maximum: MAX_SITES,
        };
        problems.push(&Location::whole("bundle"), "overlays", fault);
    }
}

fn check_service_count(services: &JsonNode, problems: &mut Problems) {
    let count = services.entries().len() as u64;
    let found = compact_str::format_compact!("a list of {count} services");
    let fault = match count {
        0 => Fault::TooLow { found, minimum: 1 },
        1..=MAX_SERVICES => return,
        _ => Fault::TooHigh {
            found,
            maximum: MAX_SERVICES,
        },
    };
    problems.push(&services.location, "services", fault);
}

fn check_route_count(routes: &JsonNode, problems: &mut Problems) {
    let count = routes.entries().len() as u64;
    if count > MAX_ROUTES {
        let fault = Fault::TooHigh {
            found: compact_str::format_compact!("a list of {count} routes"),
            maximum: MAX_ROUTES,
        };
        problems.push(&routes.location, "routes", fault);
    }
}

fn read_overlay(
    site: &CompactString,
    text: &str,
    shape: &Shape,
    base: Option<&JsonNode>,
    problems: &mut Problems,
) -> Option<Overlay> {
    let file = overlay_file(site);
    if !Format::Name.accepts(site) {
        let fault = Fault::WrongFormat {
            found: site.to_string(),
            expected: Format::Name.expected(),
        };
        problems.push(&Location::whole(&file), "", fault);
    }
    let node = reader::read(&file, text, problems)?;
    let mut checker = Checker {
        role: FileRole::Overlay,
        problems,
    };
    checker.check_value(&node, shape, "");
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

/// Reports the services of an overlay that are not in the base.
fn check_services(overlay: &JsonNode, base: &JsonNode, problems: &mut Problems) {
    if let Some(services) = base.get("services") {
        let fault = |suggestion| Fault::UnknownService { suggestion };
        check_known_names("services", overlay, services.entries(), fault, problems);
    }
}

/// Reports the routes of an overlay that are not in the base.
fn check_routes(overlay: &JsonNode, base: &JsonNode, problems: &mut Problems) {
    let routes = base.get("routes").map_or(&[][..], JsonNode::entries);
    let fault = |suggestion| Fault::UnknownRoute { suggestion };
    check_known_names("routes", overlay, routes, fault, problems);
}

fn check_known_names(
    path: &str,
    overlay: &JsonNode,
    known: &[Entry],
    fault: fn(Option<CompactString>) -> Fault,
    problems: &mut Problems,
) {
    let entries = overlay.get(path).map_or(&[][..], JsonNode::entries);
    for entry in entries {
        if problems.is_full() {
            return;
        }
        if known.iter().any(|e| e.key == entry.key) {
            continue;
        }
        let suggestion = nearest(&entry.key, known.iter().map(|e| e.key.as_str()));
        let path = join_path(path, &entry.key);
        problems.push(&entry.location, &path, fault(suggestion));
    }
}
