//! The shape that settings must have, taken from the schema of their types.

use compact_str::CompactString;
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, Schema};
use serde_json::Value;

/// The longest host, in bytes; DNS allows no longer name.
const HOST_MAX: usize = 253;

/// What a value of the settings may be, and what it means.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub(crate) kind: Kind,
    /// What the field does, in one or two sentences.
    pub(crate) description: String,
    /// The name of the field in a sentence, such as "queue wait".
    pub(crate) title: Option<String>,
    pub(crate) unit: Option<CompactString>,
    pub(crate) default: Option<Value>,
    pub(crate) required: bool,
}

/// The kinds of values.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Group(Vec<(CompactString, Shape)>),
    Map(Box<Shape>),
    List(Box<Shape>),
    Whole { min: u64, max: u64 },
    Bool,
    Choice(Vec<CompactString>),
    Text(Form),
}

/// The forms of texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// A name of a service, site, zone, region or instance.
    Name,
    /// A path of an HTTP request.
    Path,
    /// The beginning of paths, between slashes.
    Prefix,
    /// A host without a port.
    Host,
    /// A lower-case name of a header.
    Header,
    /// An IP number with a port.
    Address,
    /// Any text.
    Any,
}

/// Returns the JSON schema of a type with all parts in place.
pub(crate) fn schema<T: JsonSchema>() -> Schema {
    let settings = SchemaSettings::draft2020_12().with(|s| s.inline_subschemas = true);
    settings.into_generator().into_root_schema_for::<T>()
}

/// Lets every field of a schema be left out, and every one with a default be null.
pub(crate) fn relax(schema: &mut Value) {
    let Some(object) = schema.as_object_mut() else {
        return;
    };
    let required = object.remove("required").unwrap_or_default();
    object.remove("default");
    if let Some(items) = object.get_mut("items") {
        relax(items);
    }
    if let Some(inner) = object.get_mut("additionalProperties") {
        relax(inner);
        if inner.is_object() && inner["type"] != "object" {
            allow_null(inner);
        }
    }
    let Some(fields) = object.get_mut("properties").and_then(Value::as_object_mut) else {
        return;
    };
    for (key, field) in fields {
        relax(field);
        let is_required = required
            .as_array()
            .is_some_and(|r| r.iter().any(|k| k == key));
        if !is_required && !holds_parts(field) {
            allow_null(field);
        }
    }
}

fn allow_null(schema: &mut Value) {
    let inner = schema.take();
    *schema = serde_json::json!({"anyOf": [inner, {"type": "null"}]});
}

/// Returns whether a schema is that of objects by name, which cannot be removed at a site.
fn holds_parts(schema: &Value) -> bool {
    schema["additionalProperties"]["type"] == "object"
}

impl Shape {
    /// Returns the shape of a type.
    pub(crate) fn of<T: JsonSchema>() -> Self {
        Self::read(schema::<T>().as_value(), false)
    }

    fn read(schema: &Value, required: bool) -> Self {
        let text = |key: &str| schema.get(key).and_then(Value::as_str);
        Self {
            kind: Kind::read(schema),
            description: text("description").unwrap_or_default().replace('\n', " "),
            title: text("x-title").map(str::to_owned),
            unit: text("x-unit").map(CompactString::from),
            default: schema.get("default").cloned(),
            required,
        }
    }

    /// Returns whether the values are objects by name, which cannot be removed at a site.
    pub(crate) fn holds_parts(&self) -> bool {
        matches!(&self.kind, Kind::Map(inner) if matches!(inner.kind, Kind::Group(_)))
    }

    /// Returns the shape of the values by name.
    pub(crate) fn inner(&self) -> Option<&Self> {
        match &self.kind {
            Kind::Map(inner) | Kind::List(inner) => Some(inner),
            Kind::Group(_) | Kind::Whole { .. } | Kind::Bool | Kind::Choice(_) | Kind::Text(_) => {
                None
            }
        }
    }

    /// Returns the field of a group.
    pub(crate) fn field(&self, key: &str) -> Option<&Self> {
        let Kind::Group(fields) = &self.kind else {
            return None;
        };
        fields.iter().find(|(k, _)| k == key).map(|(_, s)| s)
    }
}

impl Kind {
    fn read(schema: &Value) -> Self {
        if let Some(names) = scan_choices(schema) {
            return Self::Choice(names);
        }
        match scan_type(schema) {
            Some("object") => Self::read_object(schema),
            Some("array") => Self::List(Box::new(Shape::read(&schema["items"], false))),
            Some("integer") => Self::Whole {
                min: schema["minimum"].as_u64().unwrap_or(0),
                max: schema["maximum"].as_u64().unwrap_or(u64::MAX),
            },
            Some("boolean") => Self::Bool,
            Some(_) | None => Self::Text(Form::read(schema)),
        }
    }

    fn read_object(schema: &Value) -> Self {
        let Some(properties) = schema["properties"].as_object() else {
            return Self::Map(Box::new(Shape::read(
                &schema["additionalProperties"],
                false,
            )));
        };
        let required = |key: &str| {
            let names = schema["required"].as_array();
            names.is_some_and(|names| names.iter().any(|n| n == key))
        };
        let fields = properties.iter();
        Self::Group(
            fields
                .map(|(key, field)| (key.into(), Shape::read(field, required(key))))
                .collect(),
        )
    }
}

impl Form {
    fn read(schema: &Value) -> Self {
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

    /// Returns the words for what is accepted.
    pub(crate) fn wanted(self) -> &'static str {
        match self {
            Self::Name => "1 to 63 lower-case letters, digits and hyphens, such as caja",
            Self::Header => "a lower-case header name, such as x-customer",
            Self::Address => "an IP number with a port, such as 127.0.0.1:8080 or [::1]:8080",
            Self::Path => "a path of an HTTP request, such as /health",
            Self::Prefix => "a prefix that begins and ends with a slash, such as /stock/",
            Self::Host => "a lower-case host without a port, such as shop.example",
            Self::Any => "a text",
        }
    }

    /// Returns whether a text has this form.
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

/// Returns whether a text is the beginning of paths, which have neither query nor fragment.
fn is_prefix(text: &str) -> bool {
    let plain = |c: u8| c.is_ascii_graphic() && c != b'?' && c != b'#';
    text.starts_with('/') && text.ends_with('/') && text.bytes().all(plain)
}

/// Returns whether a text is one part of a host between dots.
fn is_label(text: &str) -> bool {
    let lower = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'_';
    !text.is_empty() && text.bytes().all(lower)
}

/// Returns the type of a schema; of an optional value the type that is not null.
fn scan_type(schema: &Value) -> Option<&str> {
    match &schema["type"] {
        Value::String(name) => Some(name),
        Value::Array(names) => names
            .iter()
            .filter_map(Value::as_str)
            .find(|n| *n != "null"),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::Object(_) => None,
    }
}

/// Returns the texts among which a value is chosen: constants with a description each, or a
/// plain list.
fn scan_choices(schema: &Value) -> Option<Vec<CompactString>> {
    let described = schema["oneOf"].as_array().into_iter().flatten();
    let described = described.filter_map(|one| one["const"].as_str());
    let listed = schema["enum"].as_array().into_iter().flatten();
    let names = described.chain(listed.filter_map(Value::as_str));
    let names: Vec<CompactString> = names.map(CompactString::from).collect();
    (!names.is_empty()).then_some(names)
}
