//! Which route takes a request, and what set each of its fields.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::{Value, json};

use crate::Route;
use crate::config::node::Node;
use crate::config::reader::{self, join};
use crate::config::settings_set::{BASE_FILE, overlay_file};
use crate::config::{Bundle, Location, Problems, RouteFields, SettingsSet};

/// The route of a request, and where each of its fields is set.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch {
    /// The route.
    pub route: Route,
    /// The fields in the order of their paths; each weight of the split is one.
    pub fields: Vec<FieldOrigin>,
}

/// A field of a route and what set it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldOrigin {
    /// The path of the field within the route.
    pub path: CompactString,
    /// The value in force.
    pub value: Value,
    /// The unit of the value, or nothing.
    pub unit: CompactString,
    /// Where it is set; `None` for a default.
    #[serde(rename = "place", serialize_with = "place_text")]
    pub location: Option<Location>,
}

/// Returns the route that takes the requests to a host and path at a site; without a site, or
/// with one that has no overlay, the base is asked alone.
///
/// # Errors
///
/// Returns the problems of the set when there are any.
pub fn find_route(
    bundle: &Bundle,
    site: Option<&str>,
    host: &str,
    path: &str,
) -> Result<Option<RouteMatch>, Problems> {
    let set = SettingsSet::parse(bundle)?;
    let settings = site.map_or_else(|| set.base().clone(), |site| set.site(site));
    let table = settings.route_table(0);
    let Some((_, route)) = table.find(host, path) else {
        return Ok(None);
    };
    let merged = merged(bundle, site)?;
    let node = merged.at(&join("routes", &route.name));
    Ok(Some(RouteMatch {
        route: route.clone(),
        fields: origins(route, node),
    }))
}

/// Returns the base with the overlay of a site laid over it.
fn merged(bundle: &Bundle, site: Option<&str>) -> Result<Node, Problems> {
    let mut problems = Problems::default();
    let base = reader::read(BASE_FILE, &bundle.base, &mut problems);
    let overlay = site.and_then(|site| Some((site, bundle.overlays.get(site)?)));
    let overlay =
        overlay.and_then(|(site, text)| reader::read(&overlay_file(site), text, &mut problems));
    let Some(mut base) = problems.into_result(base)? else {
        return Ok(Node::empty(Location::whole(BASE_FILE)));
    };
    if let Some(overlay) = overlay {
        base.merge(&overlay);
    }
    Ok(base)
}

fn origins(route: &Route, node: Option<&Node>) -> Vec<FieldOrigin> {
    let values = json!(RouteFields::from(route));
    let origin = |path: &str, value: &Value, unit: &CompactString| FieldOrigin {
        path: path.into(),
        value: value.clone(),
        unit: unit.clone(),
        location: node.and_then(|n| n.at(path)).map(|n| n.location.clone()),
    };
    let mut all = Vec::new();
    for field in SettingsSet::route_fields() {
        let value = &values[field.path.as_str()];
        let Some(parts) = value.as_object() else {
            all.push(origin(&field.path, value, &field.unit));
            continue;
        };
        for (key, value) in parts {
            all.push(origin(&join(&field.path, key), value, &field.unit));
        }
    }
    all
}

fn place_text<S: serde::Serializer>(location: &Option<Location>, to: S) -> Result<S::Ok, S::Error> {
    location.as_ref().map(Location::to_string).serialize(to)
}
