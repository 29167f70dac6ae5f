//! The shape that settings must have, derived from the JSON schema of their types.

use compact_str::CompactString;
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, Schema};
use serde_json::Value;

/// The longest host name that DNS allows, in bytes.
const HOST_MAX: usize = 253;

/// The accepted values of a settings field, and its documentation.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub(crate) kind: ShapeKind,
    /// What the field does, in one or two sentences.
    pub(crate) description: String,
    /// The name of the field as used in a sentence, such as "queue wait".
    pub(crate) title: Option<String>,
    pub(crate) unit: Option<CompactString>,
    pub(crate) default: Option<Value>,
    pub(crate) required: bool,
}

/// The kinds of values that a field accepts.
#[derive(Clone, Debug)]
pub(crate) enum ShapeKind {
    Object(Vec<(CompactString, Shape)>),
    Map(Box<Shape>),
    Array(Box<Shape>),
    Integer { min: u64, max: u64 },
    Bool,
    Enum(Vec<CompactString>),
    String(Format),
}

/// The formats of strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// A name of a service, site, zone, region or instance.
    Name,
    /// A path of an HTTP request.
    Path,
    /// A prefix of paths, which begins and ends with a slash.
    Prefix,
    /// A host without a port.
    Host,
    /// A lower-case header name.
    Header,
    /// An IP address with a port.
    Address,
    /// Any string.
    Any,
}

/// Returns the JSON schema of a type, with all subschemas inlined.
pub(crate) fn schema<T: JsonSchema>() -> Schema {
    let settings = SchemaSettings::draft2020_12().with(|s| s.inline_subschemas = true);
    settings.into_generator().into_root_schema_for::<T>()
}

/// Makes every field of a schema optional, and every field with a default nullable.
pub(crate) fn make_optional(schema: &mut Value) {
    let Some(object) = schema.as_object_mut() else {
        return;
    };
    let required = object.remove("required").unwrap_or_default();
    object.remove("default");
    if let Some(items) = object.get_mut("items") {
        make_optional(items);
    }
    if let Some(inner) = object.get_mut("additionalProperties") {
        make_optional(inner);
        if inner.is_object() && inner["type"] != "object" {
            allow_null(inner);
        }
    }
    let Some(fields) = object.get_mut("properties").and_then(Value::as_object_mut) else {
        return;
    };
    for (key, field) in fields {
        make_optional(field);
        let is_required = required
            .as_array()
            .is_some_and(|r| r.iter().any(|k| k == key));
        if !is_required && !is_map_of_objects(field) {
            allow_null(field);
        }
    }
}

fn allow_null(schema: &mut Value) {
    let inner = schema.take();
    *schema = serde_json::json!({"anyOf": [inner, {"type": "null"}]});
}

/// Returns whether a schema is that of a map of objects, which a site cannot remove.
fn is_map_of_objects(schema: &Value) -> bool {
    schema["additionalProperties"]["type"] == "object"
}

impl Shape {
    /// Returns the shape of a type.
    pub(crate) fn of<T: JsonSchema>() -> Self {
        Self::from_schema(schema::<T>().as_value(), false)
    }

    fn from_schema(schema: &Value, required: bool) -> Self {
        let text = |key: &str| schema.get(key).and_then(Value::as_str);
        Self {
            kind: ShapeKind::from_schema(schema),
            description: text("description").unwrap_or_default().replace('\n', " "),
            title: text("x-title").map(str::to_owned),
            unit: text("x-unit").map(CompactString::from),
            default: schema.get("default").cloned(),
            required,
        }
    }

    /// Returns whether the value is a map of objects, which a site cannot remove.
    pub(crate) fn is_map_of_objects(&self) -> bool {
        matches!(&self.kind, ShapeKind::Map(inner) if matches!(inner.kind, ShapeKind::Object(_)))
    }

    /// Returns the shape of the values of a map, or of the items of a list.
    pub(crate) fn element(&self) -> Option<&Self> {
        match &self.kind {
            ShapeKind::Map(inner) | ShapeKind::Array(inner) => Some(inner),
            ShapeKind::Object(_)
            | ShapeKind::Integer { .. }
            | ShapeKind::Bool
            | ShapeKind::Enum(_)
            | ShapeKind::String(_) => None,
        }
    }

    /// Returns the shape of a field of an object.
    pub(crate) fn field(&self, key: &str) -> Option<&Self> {
        let ShapeKind::Object(fields) = &self.kind else {
            return None;
        };
        fields.iter().find(|(k, _)| k == key).map(|(_, s)| s)
    }
}

impl ShapeKind {
    fn from_schema(schema: &Value) -> Self {
        if let Some(names) = enum_values(schema) {
            return Self::Enum(names);
        }
        match type_name(schema) {
            Some("object") => Self::object_from_schema(schema),
            Some("array") => Self::Array(Box::new(Shape::from_schema(&schema["items"], false))),
            Some("integer") => Self::Integer {
                min: schema["minimum"].as_u64().unwrap_or(0),
                max: schema["maximum"].as_u64().unwrap_or(u64::MAX),
            },
            Some("boolean") => Self::Bool,
            Some(_) | None => Self::String(Format::from_schema(schema)),
        }
    }

    fn object_from_schema(schema: &Value) -> Self {
        let Some(properties) = schema["properties"].as_object() else {
            return Self::Map(Box::new(Shape::from_schema(
                &schema["additionalProperties"],
                false,
            )));
        };
        let required = |key: &str| {
            let names = schema["required"].as_array();
            names.is_some_and(|names| names.iter().any(|n| n == key))
        };
        let fields = properties.iter();
        Self::Object(
            fields
                .map(|(key, field)| (key.into(), Shape::from_schema(field, required(key))))
                .collect(),
        )
    }
}

impl Format {
    fn from_schema(schema: &Value) -> Self {
        match schema["x-form"].as_str() {
            Some("name") => Self::Name,
            Some("header") => Self::Header,
            Some("ip-port") => Self::Address,
            Some("path") => Self::Path,
            Some("prefix") => Self::Prefix,
            Some("host") => Self::Host,
            Some(_) | None => Self::Any,
        }
    }

    /// Returns a description of the accepted strings.
    pub(crate) fn expected(self) -> &'static str {
        match self {
            Self::Name => "1 to 63 lower-case letters, digits and hyphens, such as caja",
            Self::Header => "a lower-case header name, such as x-customer",
            Self::Address => "an IP address with a port, such as 127.0.0.1:8080 or [::1]:8080",
            Self::Path => "a path of an HTTP request, such as /health",
            Self::Prefix => "a prefix that begins and ends with a slash, such as /stock/",
            Self::Host => "a lower-case host without a port, such as shop.example",
            Self::Any => "a string",
        }
    }

    /// Returns whether a string has this format.
    pub(crate) fn accepts(self, text: &str) -> bool {
        let lower = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
        match self {
            Self::Name => (1..=63).contains(&text.len()) && text.bytes().all(lower),
            Self::Header => (1..=64).contains(&text.len()) && text.bytes().all(lower),
            Self::Address => text.parse::<std::net::SocketAddr>().is_ok(),
            Self::Path => text.starts_with('/') && text.bytes().all(|c| c.is_ascii_graphic()),
            Self::Prefix => is_prefix(text),
            Self::Host => (1..=HOST_MAX).contains(&text.len()) && text.split('.').all(is_label),
            Self::Any => true,
        }
    }
}

/// Returns whether a string is a path prefix, which has neither a query nor a fragment.
fn is_prefix(text: &str) -> bool {
    let plain = |c: u8| c.is_ascii_graphic() && c != b'?' && c != b'#';
    text.starts_with('/') && text.ends_with('/') && text.bytes().all(plain)
}

/// Returns whether a string is one label of a host name.
fn is_label(text: &str) -> bool {
    let lower = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'_';
    !text.is_empty() && text.bytes().all(lower)
}

/// Returns the type of a schema; for an optional value, the type other than null.
fn type_name(schema: &Value) -> Option<&str> {
    match &schema["type"] {
        Value::String(name) => Some(name),
        Value::Array(names) => names
            .iter()
            .filter_map(Value::as_str)
            .find(|n| *n != "null"),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::Object(_) => None,
    }
}

/// Returns the values of an enumeration: constants with descriptions, or a plain list.
fn enum_values(schema: &Value) -> Option<Vec<CompactString>> {
    let described = schema["oneOf"].as_array().into_iter().flatten();
    let described = described.filter_map(|one| one["const"].as_str());
    let listed = schema["enum"].as_array().into_iter().flatten();
    let names = described.chain(listed.filter_map(Value::as_str));
    let names: Vec<CompactString> = names.map(CompactString::from).collect();
    (!names.is_empty()).then_some(names)
}
