//! The reference of the fields.

use compact_str::CompactString;
use serde_json::Value;

use crate::config::reader::join;
use crate::config::shape::{Kind, Shape};

/// One field as the reference describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The path of the field.
    pub path: CompactString,
    /// The type of its values.
    pub kind: &'static str,
    /// The unit of its values, or nothing.
    pub unit: CompactString,
    /// The default as it stands in a file; nothing for a field that must be set.
    pub default: String,
    /// The values that are accepted.
    pub limits: String,
    /// What the field does.
    pub description: String,
}

impl Field {
    /// Returns the flag that sets the field of a process, such as `--drain-ms`.
    pub fn flag(&self) -> String {
        flag_of(&self.path)
    }
}

/// Returns the flag that sets a field of a process.
pub(crate) fn flag_of(path: &str) -> String {
    format!("--{}", path.replace('_', "-"))
}

/// Returns the fields of a shape, those of groups with their whole paths.
pub(crate) fn fields(shape: &Shape) -> Vec<Field> {
    let mut all = Vec::new();
    collect(shape, "", &mut all);
    all
}

fn collect(shape: &Shape, path: &str, all: &mut Vec<Field>) {
    let Kind::Group(fields) = &shape.kind else {
        all.push(describe(shape, path));
        return;
    };
    for (key, field) in fields {
        collect(field, &join(path, key), all);
    }
}

fn describe(shape: &Shape, path: &str) -> Field {
    Field {
        path: path.into(),
        kind: kind(&shape.kind),
        unit: shape.unit.clone().unwrap_or_default(),
        default: shape.default.as_ref().map_or(String::new(), default),
        limits: limits(&shape.kind),
        description: shape.description.clone(),
    }
}

fn kind(kind: &Kind) -> &'static str {
    match kind {
        Kind::Group(_) | Kind::Map(_) => "object",
        Kind::List(_) => "list",
        Kind::Whole { .. } => "whole number",
        Kind::Bool => "true or false",
        Kind::Choice(_) => "choice",
        Kind::Text(_) => "text",
    }
}

fn default(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Bool(_) | Value::Number(_) | Value::String(_) => value.to_string(),
        Value::Array(_) | Value::Object(_) => value.to_string().replace(',', ", "),
    }
}

fn limits(kind: &Kind) -> String {
    match kind {
        Kind::Group(_) => String::new(),
        Kind::Map(inner) | Kind::List(inner) => limits(&inner.kind),
        Kind::Whole { min, max } => format!("{min} to {max}"),
        Kind::Bool => String::new(),
        Kind::Choice(allowed) => allowed.join(", "),
        Kind::Text(form) => form.wanted().to_owned(),
    }
}
