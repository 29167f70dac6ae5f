//! The reference documentation of the settings fields.

use compact_str::CompactString;
use serde_json::Value;

use crate::config::reader::join_path;
use crate::config::shape::{Shape, ShapeKind};

/// One field, as described in the reference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The path of the field.
    pub path: CompactString,
    /// The type of its values.
    pub kind: &'static str,
    /// The unit of its values; empty when they have none.
    pub unit: CompactString,
    /// The default as written in a file; empty for a field that must be set.
    pub default: String,
    /// The accepted values.
    pub limits: String,
    /// What the field does.
    pub description: String,
}

impl Field {
    /// Returns the command-line flag that sets this field of a process, such as `--drain-ms`.
    pub fn flag(&self) -> String {
        flag_name(&self.path)
    }
}

/// Returns the command-line flag that sets a field of a process.
pub(crate) fn flag_name(path: &str) -> String {
    format!("--{}", path.replace('_', "-"))
}

/// Returns the fields of a shape; nested fields have their full paths.
pub(crate) fn fields(shape: &Shape) -> Vec<Field> {
    let mut all = Vec::new();
    collect(shape, "", &mut all);
    all
}

fn collect(shape: &Shape, path: &str, all: &mut Vec<Field>) {
    let ShapeKind::Object(fields) = &shape.kind else {
        all.push(describe(shape, path));
        return;
    };
    for (key, field) in fields {
        collect(field, &join_path(path, key), all);
    }
}

fn describe(shape: &Shape, path: &str) -> Field {
    Field {
        path: path.into(),
        kind: type_name(&shape.kind),
        unit: shape.unit.clone().unwrap_or_default(),
        default: shape.default.as_ref().map_or(String::new(), default_text),
        limits: accepted_values(&shape.kind),
        description: shape.description.clone(),
    }
}

fn type_name(kind: &ShapeKind) -> &'static str {
    match kind {
        ShapeKind::Object(_) | ShapeKind::Map(_) => "object",
        ShapeKind::Array(_) => "list",
        ShapeKind::Integer { .. } => "whole number",
        ShapeKind::Bool => "true or false",
        ShapeKind::Enum(_) => "choice",
        ShapeKind::String(_) => "text",
    }
}

fn default_text(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Bool(_) | Value::Number(_) | Value::String(_) => value.to_string(),
        Value::Array(_) | Value::Object(_) => value.to_string().replace(',', ", "),
    }
}

fn accepted_values(kind: &ShapeKind) -> String {
    match kind {
        ShapeKind::Object(_) => String::new(),
        ShapeKind::Map(inner) | ShapeKind::Array(inner) => accepted_values(&inner.kind),
        ShapeKind::Integer { min, max } => format!("{min} to {max}"),
        ShapeKind::Bool => String::new(),
        ShapeKind::Enum(allowed) => allowed.join(", "),
        ShapeKind::String(format) => format.expected().to_owned(),
    }
}
