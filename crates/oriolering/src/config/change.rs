//! The differences between two sets by their effect.

use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use smallvec::SmallVec;

use crate::config::shape::{Kind, Shape};
use crate::config::{RouteFields, ServiceSettings, SettingsSet, SiteSettings};
use crate::{CallerLimits, Route};

/// One difference of the effective settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Where the difference is in force.
    pub scope: Scope,
    /// What the difference is of.
    #[serde(flatten)]
    pub subject: Subject,
    /// The path of the field; empty when a service or route as a whole came or went.
    pub path: CompactString,
    /// What changes.
    pub effect: Effect,
}

/// Where a difference is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// At every site.
    Everywhere,
    /// At the sites without an overlay.
    Elsewhere,
    /// At these sites.
    Sites(SmallVec<[CompactString; 4]>),
}

/// What a difference is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A service.
    Service(CompactString),
    /// A route.
    Route(CompactString),
    /// The bounds on callers.
    Callers,
}

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The service or route is new.
    Added,
    /// The service or route is gone.
    Removed,
    /// A field has another value.
    Field {
        /// The name of the field in a sentence.
        title: String,
        /// The unit of the values, or nothing.
        unit: CompactString,
        /// The value before.
        old: Value,
        /// The value after.
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
                if let (Some(old), Some(new)) = (only_key(old), only_key(new))
                    && old != new
                {
                    return write!(f, "{scope}, {subject} moves from {old} to {new}");
                }
                let verb = verb(old, new);
                let unit = suffix(unit);
                let [old, new] = [plain(old), plain(new)];
                write!(
                    f,
                    "{scope}, {subject}'s {title} {verb} from {old}{unit} to {new}{unit}"
                )
            }
        }
    }
}

impl Subject {
    /// Returns the word for what it is.
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

/// Returns how the effective settings differ at each site, in the order of services and
/// fields. Texts that differ without an effect give no change.
pub fn diff(old: &SettingsSet, new: &SettingsSet) -> Vec<Change> {
    let shape = Shapes::new();
    let sites: BTreeSet<&str> = old.sites().chain(new.sites()).collect();
    let elsewhere = changes(old.base(), new.base(), &shape);
    let mut grouped: Vec<Group> = Vec::new();
    for site in &sites {
        for step in changes(&old.site(site), &new.site(site), &shape) {
            add(&mut grouped, step, Some((*site).into()));
        }
    }
    for step in elsewhere {
        add(&mut grouped, step, None);
    }
    grouped.sort_by(|a, b| a.step.rank().cmp(&b.step.rank()));
    let finish = |group: Group| group.into_changes(sites.len());
    grouped.into_iter().flat_map(finish).collect()
}

/// A difference before it is known at which sites it is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Step {
    subject: Subject,
    path: CompactString,
    effect: Effect,
}

impl Step {
    fn rank(&self) -> (&Subject, &str) {
        (&self.subject, &self.path)
    }
}

/// A difference with all places where it is in force.
struct Group {
    step: Step,
    sites: SmallVec<[CompactString; 4]>,
    elsewhere: bool,
}

impl Group {
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
        let step = self.step;
        let change = |scope| Change {
            scope,
            subject: step.subject.clone(),
            path: step.path.clone(),
            effect: step.effect.clone(),
        };
        scopes.into_iter().map(change).collect()
    }
}

/// Adds a difference of one site, or of the sites without an overlay.
fn add(groups: &mut Vec<Group>, step: Step, site: Option<CompactString>) {
    let index = groups.iter().position(|g| g.step == step);
    let index = index.unwrap_or_else(|| {
        groups.push(Group {
            step,
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

/// The shapes of all that is compared.
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

/// Returns the differences at one site.
fn changes(old: &SiteSettings, new: &SiteSettings, shapes: &Shapes) -> Vec<Step> {
    let mut steps = Vec::new();
    service_changes(old, new, &shapes.service, &mut steps);
    route_changes(old, new, &shapes.route, &mut steps);
    if old.callers != new.callers {
        let values = [old.callers, new.callers].map(|c| serde_json::json!(c));
        compare(&Subject::Callers, values, &shapes.callers, &mut steps);
    }
    steps
}

fn service_changes(old: &SiteSettings, new: &SiteSettings, shape: &Shape, steps: &mut Vec<Step>) {
    let subject = |s: &ServiceSettings| Subject::Service(s.name.clone());
    for before in &old.services {
        match new.services.iter().find(|s| s.name == before.name) {
            Some(after) if after == before => {}
            Some(after) => {
                let values = [before, after].map(|s| serde_json::json!(s));
                compare(&subject(before), values, shape, steps);
            }
            None => steps.push(whole(subject(before), Effect::Removed)),
        }
    }
    let is_new = |s: &&ServiceSettings| old.service_key(&s.name).is_none();
    let added = new.services.iter().filter(is_new);
    steps.extend(added.map(|s| whole(subject(s), Effect::Added)));
}

fn route_changes(old: &SiteSettings, new: &SiteSettings, shape: &Shape, steps: &mut Vec<Step>) {
    let subject = |r: &Route| Subject::Route(r.name.clone());
    for before in &old.routes {
        match new.routes.iter().find(|r| r.name == before.name) {
            Some(after) if after == before => {}
            Some(after) => {
                let values = [before, after].map(|r| serde_json::json!(RouteFields::from(r)));
                compare(&subject(before), values, shape, steps);
            }
            None => steps.push(whole(subject(before), Effect::Removed)),
        }
    }
    let is_new = |r: &&Route| old.routes.iter().all(|o| o.name != r.name);
    let added = new.routes.iter().filter(is_new);
    steps.extend(added.map(|r| whole(subject(r), Effect::Added)));
}

fn whole(subject: Subject, effect: Effect) -> Step {
    Step {
        subject,
        path: CompactString::default(),
        effect,
    }
}

fn compare(subject: &Subject, values: [Value; 2], shape: &Shape, steps: &mut Vec<Step>) {
    let [old, new] = values;
    let mut found = Vec::new();
    walk(&old, &new, shape, "", &mut found);
    steps.extend(found.into_iter().map(|(path, effect)| Step {
        subject: subject.clone(),
        path,
        effect,
    }));
}

fn walk(
    old: &Value,
    new: &Value,
    shape: &Shape,
    path: &str,
    found: &mut Vec<(CompactString, Effect)>,
) {
    if old == new {
        return;
    }
    let Kind::Group(fields) = &shape.kind else {
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
        let path = super::reader::join(path, key);
        walk(&old[key], &new[key], field, &path, found);
    }
}

fn verb(old: &Value, new: &Value) -> &'static str {
    match (old.as_u64(), new.as_u64()) {
        (Some(old), Some(new)) if new < old => "falls",
        (Some(_), Some(_)) => "rises",
        _ => "changes",
    }
}

/// Returns the key of an object that has one alone.
fn only_key(value: &Value) -> Option<&str> {
    let mut keys = value.as_object()?.keys();
    let key = keys.next()?;
    keys.next().is_none().then_some(key)
}

/// Returns the unit as it follows a number; things that are counted need none.
fn suffix(unit: &str) -> String {
    match unit {
        "ms" | "ms per second" | "bytes" | "percent" => format!(" {unit}"),
        _ => String::new(),
    }
}

/// Returns a value without quotes and brackets.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Bool(value) => value.to_string(),
        Value::Number(value) => value.to_string(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(", "),
        Value::Object(parts) => {
            let parts = parts.iter().map(|(key, value)| format!("{key} {value}"));
            parts.collect::<Vec<_>>().join(", ")
        }
    }
}

/// Returns a name whose first letter is upper case.
fn capitalized(name: &str) -> String {
    let mut chars = name.chars();
    let first = chars.next().map(|c| c.to_uppercase().to_string());
    first.unwrap_or_default() + chars.as_str()
}
