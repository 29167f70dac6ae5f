//! The differences between the effective settings of two sets.

use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use smallvec::SmallVec;

use crate::config::shape::{Shape, ShapeKind};
use crate::config::{RouteFields, ServiceSettings, SettingsSet, SiteSettings};
use crate::{CallerLimits, Route};

/// One difference between the effective settings of two sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The sites at which the settings differ.
    pub scope: Scope,
    /// The service, route or limit that differs.
    #[serde(flatten)]
    pub subject: Subject,
    /// The path of the field; empty when a whole service or route was added or removed.
    pub path: CompactString,
    /// The kind of difference, with the values.
    pub effect: Effect,
}

/// The sites at which the settings differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Every site.
    Everywhere,
    /// The sites without an overlay.
    Elsewhere,
    /// These sites.
    Sites(SmallVec<[CompactString; 4]>),
}

/// The service, route or limit that differs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A service.
    Service(CompactString),
    /// A route.
    Route(CompactString),
    /// The limits on callers.
    Callers,
}

/// The kind of difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The service or route was added.
    Added,
    /// The service or route was removed.
    Removed,
    /// A field has a different value.
    Field {
        /// The name of the field as used in a sentence.
        title: String,
        /// The unit of the values; empty when they have none.
        unit: CompactString,
        /// The old value.
        old: Value,
        /// The new value.
        new: Value,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [scope, subject] = [&self.scope as &dyn fmt::Display, &self.subject];
        let kind = self.subject.kind();
        match &self.effect {
            Effect::Added => write!(f, "{scope}, {subject} is a new {kind}"),
            Effect::Removed => write!(f, "{scope}, {subject} is no longer a {kind}"),
            Effect::Field {
                title,
                unit,
                old,
                new,
            } => {
                if let (Some(old), Some(new)) = (single_key(old), single_key(new))
                    && old != new
                {
                    return write!(f, "{scope}, {subject} moves from {old} to {new}");
                }
                let verb = verb(old, new);
                let unit = unit_suffix(unit);
                let [old, new] = [display_value(old), display_value(new)];
                write!(
                    f,
                    "{scope}, {subject}'s {title} {verb} from {old}{unit} to {new}{unit}"
                )
            }
        }
    }
}

impl Subject {
    /// Returns the noun for this kind of subject.
    fn kind(&self) -> &'static str {
        match self {
            Self::Service(_) => "service",
            Self::Route(_) => "route",
            Self::Callers => "bound",
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "{name}"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Callers => write!(f, "a caller"),
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Everywhere => write!(f, "everywhere"),
            Self::Elsewhere => write!(f, "at sites without an overlay"),
            Self::Sites(sites) => {
                let names: Vec<String> = sites.iter().map(|s| capitalized(s)).collect();
                match names.split_last() {
                    Some((last, [])) => write!(f, "in {last}"),
                    Some((last, rest)) => write!(f, "in {} and {last}", rest.join(", ")),
                    None => write!(f, "nowhere"),
                }
            }
        }
    }
}

/// Returns the differences between the effective settings of two sets, ordered by subject and
/// field. Files that differ without changing the effective settings give no difference.
pub fn diff(old: &SettingsSet, new: &SettingsSet) -> Vec<Change> {
    let shape = Shapes::new();
    let sites: BTreeSet<&str> = old.sites().chain(new.sites()).collect();
    let elsewhere = differences_at_site(old.base(), new.base(), &shape);
    let mut grouped: Vec<GroupedDifference> = Vec::new();
    for site in &sites {
        for difference in differences_at_site(&old.site(site), &new.site(site), &shape) {
            add_to_group(&mut grouped, difference, Some((*site).into()));
        }
    }
    for difference in elsewhere {
        add_to_group(&mut grouped, difference, None);
    }
    grouped.sort_by(|a, b| a.difference.sort_key().cmp(&b.difference.sort_key()));
    let finish = |group: GroupedDifference| group.into_changes(sites.len());
    grouped.into_iter().flat_map(finish).collect()
}

/// A difference at one site, before equal differences of several sites are grouped.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Difference {
    subject: Subject,
    path: CompactString,
    effect: Effect,
}

impl Difference {
    fn sort_key(&self) -> (&Subject, &str) {
        (&self.subject, &self.path)
    }
}

/// A difference with all the sites at which it occurs; `elsewhere` stands for the sites without
/// an overlay.
struct GroupedDifference {
    difference: Difference,
    sites: SmallVec<[CompactString; 4]>,
    elsewhere: bool,
}

impl GroupedDifference {
    fn into_changes(self, all: usize) -> Vec<Change> {
        let mut scopes = Vec::new();
        if self.elsewhere && self.sites.len() == all {
            scopes.push(Scope::Everywhere);
        } else {
            if !self.sites.is_empty() {
                scopes.push(Scope::Sites(self.sites));
            }
            if self.elsewhere {
                scopes.push(Scope::Elsewhere);
            }
        }
        let difference = self.difference;
        let change = |scope| Change {
            scope,
            subject: difference.subject.clone(),
            path: difference.path.clone(),
            effect: difference.effect.clone(),
        };
        scopes.into_iter().map(change).collect()
    }
}

/// Adds a difference at `site`, or at the sites without an overlay, to its group.
fn add_to_group(
    groups: &mut Vec<GroupedDifference>,
    difference: Difference,
    site: Option<CompactString>,
) {
    let index = groups.iter().position(|g| g.difference == difference);
    let index = index.unwrap_or_else(|| {
        groups.push(GroupedDifference {
            difference,
            sites: SmallVec::new(),
            elsewhere: false,
        });
        groups.len() - 1
    });
    match site {
        Some(site) => groups[index].sites.push(site),
        None => groups[index].elsewhere = true,
    }
}

/// The shapes of the values that are compared.
struct Shapes {
    service: Shape,
    route: Shape,
    callers: Shape,
}

impl Shapes {
    fn new() -> Self {
        Self {
            service: Shape::of::<ServiceSettings>(),
            route: Shape::of::<RouteFields>(),
            callers: Shape::of::<CallerLimits>(),
        }
    }
}

/// Returns the differences between the settings of one site.
fn differences_at_site(old: &SiteSettings, new: &SiteSettings, shapes: &Shapes) -> Vec<Difference> {
    let mut differences = Vec::new();
    service_differences(old, new, &shapes.service, &mut differences);
    route_differences(old, new, &shapes.route, &mut differences);
    if old.callers != new.callers {
        let values = [old.callers, new.callers].map(|c| serde_json::json!(c));
        compare(&Subject::Callers, values, &shapes.callers, &mut differences);
    }
    differences
}

fn service_differences(
    old: &SiteSettings,
    new: &SiteSettings,
    shape: &Shape,
    differences: &mut Vec<Difference>,
) {
    let subject = |s: &ServiceSettings| Subject::Service(s.name.clone());
    for before in &old.services {
        match new.services.iter().find(|s| s.name == before.name) {
            Some(after) if after == before => {}
            Some(after) => {
                let values = [before, after].map(|s| serde_json::json!(s));
                compare(&subject(before), values, shape, differences);
            }
            None => differences.push(whole_difference(subject(before), Effect::Removed)),
        }
    }
    let is_new = |s: &&ServiceSettings| old.service_key(&s.name).is_none();
    let added = new.services.iter().filter(is_new);
    differences.extend(added.map(|s| whole_difference(subject(s), Effect::Added)));
}

fn route_differences(
    old: &SiteSettings,
    new: &SiteSettings,
    shape: &Shape,
    differences: &mut Vec<Difference>,
) {
    let subject = |r: &Route| Subject::Route(r.name.clone());
    for before in &old.routes {
        match new.routes.iter().find(|r| r.name == before.name) {
            Some(after) if after == before => {}
            Some(after) => {
                let values = [before, after].map(|r| serde_json::json!(RouteFields::from(r)));
                compare(&subject(before), values, shape, differences);
            }
            None => differences.push(whole_difference(subject(before), Effect::Removed)),
        }
    }
    let is_new = |r: &&Route| old.routes.iter().all(|o| o.name != r.name);
    let added = new.routes.iter().filter(is_new);
    differences.extend(added.map(|r| whole_difference(subject(r), Effect::Added)));
}

fn whole_difference(subject: Subject, effect: Effect) -> Difference {
    Difference {
        subject,
        path: CompactString::default(),
        effect,
    }
}

fn compare(
    subject: &Subject,
    values: [Value; 2],
    shape: &Shape,
    differences: &mut Vec<Difference>,
) {
    let [old, new] = values;
    let mut found = Vec::new();
    compare_fields(&old, &new, shape, "", &mut found);
    differences.extend(found.into_iter().map(|(path, effect)| Difference {
        subject: subject.clone(),
        path,
        effect,
    }));
}

fn compare_fields(
    old: &Value,
    new: &Value,
    shape: &Shape,
    path: &str,
    found: &mut Vec<(CompactString, Effect)>,
) {
    if old == new {
        return;
    }
    let ShapeKind::Object(fields) = &shape.kind else {
        let effect = Effect::Field {
            title: shape.title.clone().unwrap_or_else(|| path.to_owned()),
            unit: shape.unit.clone().unwrap_or_default(),
            old: old.clone(),
            new: new.clone(),
        };
        found.push((path.into(), effect));
        return;
    };
    for (key, field) in fields {
        let key = key.as_str();
        let path = super::reader::join_path(path, key);
        compare_fields(&old[key], &new[key], field, &path, found);
    }
}

fn verb(old: &Value, new: &Value) -> &'static str {
    match (old.as_u64(), new.as_u64()) {
        (Some(old), Some(new)) if new < old => "falls",
        (Some(_), Some(_)) => "rises",
        _ => "changes",
    }
}

/// Returns the key of an object that has exactly one.
fn single_key(value: &Value) -> Option<&str> {
    let mut keys = value.as_object()?.keys();
    let key = keys.next()?;
    keys.next().is_none().then_some(key)
}

/// Returns the unit as a suffix of a number; counted things such as requests have none.
fn unit_suffix(unit: &str) -> String {
    match unit {
        "ms" | "ms per second" | "bytes" | "percent" => format!(" {unit}"),
        _ => String::new(),
    }
}

/// Returns a value without quotes and brackets.
fn display_value(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Bool(value) => value.to_string(),
        Value::Number(value) => value.to_string(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => items
            .iter()
            .map(display_value)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(parts) => {
            let parts = parts.iter().map(|(key, value)| format!("{key} {value}"));
            parts.collect::<Vec<_>>().join(", ")
        }
    }
}

/// Returns a name with its first letter in upper case.
fn capitalized(name: &str) -> String {
    let mut chars = name.chars();
    let first = chars.next().map(|c| c.to_uppercase().to_string());
    first.unwrap_or_default() + chars.as_str()
}
