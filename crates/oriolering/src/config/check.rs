//! Checks JSON values against the shape that the settings require.

use compact_str::CompactString;

use crate::config::fault::Fault;
use crate::config::field::flag_name;
use crate::config::json_node::{Entry, JsonKind, JsonNode};
use crate::config::nearest::nearest;
use crate::config::reader::join_path;
use crate::config::shape::{Format, Shape, ShapeKind};
use crate::config::{Location, Problems, quantity};

/// The role of a file, which determines whether null is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileRole {
    /// A file that is complete by itself: null is rejected.
    Base,
    /// A file that is merged over the base: null resets a field to its default.
    Overlay,
}

/// Checks one file and adds every fault to `problems`.
pub(crate) struct Checker<'a> {
    pub(crate) role: FileRole,
    pub(crate) problems: &'a mut Problems,
}

impl Checker<'_> {
    /// Checks a value and everything nested in it.
    pub(crate) fn check_value(&mut self, node: &JsonNode, shape: &Shape, path: &str) {
        match (&shape.kind, &node.kind) {
            (_, JsonKind::Null) => self.check_null(node, shape, path),
            (ShapeKind::Object(fields), JsonKind::Object(entries)) => {
                self.check_object(entries, fields, path)
            }
            (ShapeKind::Map(inner), JsonKind::Object(entries)) => {
                self.check_map(entries, inner, path)
            }
            (ShapeKind::Array(inner), JsonKind::Array(items)) => {
                for (i, item) in items.iter().enumerate() {
                    self.check_value(item, inner, &format!("{path}[{i}]"));
                }
            }
            (ShapeKind::Integer { min, max }, JsonKind::Number(text)) => {
                self.report(node, path, check_range(text, *min, *max, shape));
            }
            (ShapeKind::Integer { .. }, JsonKind::String(text)) => {
                self.report(node, path, Some(string_for_number(text, shape)));
            }
            (ShapeKind::Enum(allowed), JsonKind::String(text)) => {
                self.report(node, path, check_choice(text, allowed));
            }
            (ShapeKind::String(format), JsonKind::String(text)) => {
                self.report(node, path, check_format(text, *format));
            }
            (ShapeKind::Bool, JsonKind::Bool(_)) => {}
            (_, kind) => self.report(node, path, Some(wrong_type(kind, shape))),
        }
    }

    fn check_object(&mut self, entries: &[Entry], fields: &[(CompactString, Shape)], path: &str) {
        for entry in entries {
            if self.problems.is_full() {
                return;
            }
            let path = join_path(path, &entry.key);
            match fields.iter().find(|(key, _)| *key == entry.key) {
                Some((_, shape)) => self.check_value(&entry.value, shape, &path),
                None if marks_repeatable(&entry.key) && path.starts_with(ROUTES_PREFIX) => {
                    let remedy = "remove it; only the kind of a route determines whether its requests \
                                  may be repeated, and only idempotent allows it";
                    self.problems
                        .push(&entry.location, &path, Fault::NotRouteField { remedy });
                }
                None => {
                    let suggestion =
                        nearest(&entry.key, fields.iter().map(|(key, _)| key.as_str()));
                    self.problems
                        .push(&entry.location, &path, Fault::UnknownField { suggestion });
                }
            }
        }
    }

    fn check_map(&mut self, entries: &[Entry], inner: &Shape, path: &str) {
        for entry in entries {
            if self.problems.is_full() {
                return;
            }
            let path = join_path(path, &entry.key);
            if let Some(fault) = check_format(&entry.key, Format::Name) {
                self.problems.push(&entry.location, &path, fault);
            }
            if let Some(remedy) = self.null_remedy(entry, inner) {
                self.problems
                    .push(&entry.location, &path, Fault::UnexpectedNull { remedy });
                continue;
            }
            self.check_value(&entry.value, inner, &path);
        }
    }

    /// Returns the remedy for a null entry of a map, or `None` when the null removes the entry.
    fn null_remedy(&self, entry: &Entry, inner: &Shape) -> Option<&'static str> {
        if entry.value.kind != JsonKind::Null {
            return None;
        }
        match (&inner.kind, self.role) {
            (ShapeKind::Object(_), _) => {
                Some("write an object of the fields to change, or remove the name")
            }
            (_, FileRole::Base) => Some("write a number, or remove the name"),
            (_, FileRole::Overlay) => None,
        }
    }

    fn check_null(&mut self, node: &JsonNode, shape: &Shape, path: &str) {
        let is_fixed = shape.required || shape.is_map_of_objects();
        let resets = !path.is_empty() && !path.ends_with(']') && !is_fixed;
        if self.role == FileRole::Overlay && resets {
            return;
        }
        let remedy = match (is_fixed, self.role) {
            (false, _) => "remove the field to take its default",
            (true, FileRole::Base) => "write a value; it has no default",
            (true, FileRole::Overlay) => "leave it out to keep what the base sets",
        };
        self.problems
            .push(&node.location, path, Fault::UnexpectedNull { remedy });
    }

    fn report(&mut self, node: &JsonNode, path: &str, fault: Option<Fault>) {
        if let Some(fault) = fault {
            self.problems.push(&node.location, path, fault);
        }
    }
}

/// The path prefix of the fields of routes.
const ROUTES_PREFIX: &str = "routes.";

/// Reports the fields without a default that are missing in the objects of a map.
pub(crate) fn check_required_in_map(
    parts: &JsonNode,
    shape: &Shape,
    path: &str,
    problems: &mut Problems,
) {
    let Some(ShapeKind::Object(fields)) = shape.element().map(|inner| &inner.kind) else {
        return;
    };
    let required: Vec<&CompactString> = fields
        .iter()
        .filter(|(_, field)| field.required)
        .map(|(key, _)| key)
        .collect();
    for part in parts.entries() {
        let is_object = matches!(part.value.kind, JsonKind::Object(_));
        let missing = required.iter().filter(|key| part.value.get(key).is_none());
        for key in missing.filter(|_| is_object) {
            let path = join_path(&join_path(path, &part.key), key);
            problems.push(&part.location, &path, Fault::Missing { flag: None });
        }
    }
}

/// Returns whether the name suggests that the field marks requests as repeatable.
fn marks_repeatable(key: &str) -> bool {
    matches!(
        key,
        "idempotent" | "repeatable" | "repeat" | "retry" | "hedge"
    )
}

/// Reports the fields without a default that are missing in an object.
pub(crate) fn check_required(node: &JsonNode, shape: &Shape, flags: bool, problems: &mut Problems) {
    let (ShapeKind::Object(fields), JsonKind::Object(_)) = (&shape.kind, &node.kind) else {
        return;
    };
    for (key, _) in fields.iter().filter(|(_, field)| field.required) {
        if node.get(key).is_none() {
            let location = Location::whole(&node.location.file);
            let flag = flags.then(|| flag_name(key));
            problems.push(&location, key, Fault::Missing { flag });
        }
    }
}

fn check_range(text: &str, min: u64, max: u64, shape: &Shape) -> Option<Fault> {
    let found = CompactString::from(text);
    match text.parse::<u64>() {
        Ok(n) if n < min => Some(Fault::TooLow {
            found,
            minimum: min,
        }),
        Ok(n) if n > max => Some(Fault::TooHigh {
            found,
            maximum: max,
        }),
        Ok(_) => None,
        Err(_) if is_digits(text.trim_start_matches('-')) && text.starts_with('-') => {
            Some(Fault::TooLow {
                found,
                minimum: min,
            })
        }
        Err(_) if is_digits(text) => Some(Fault::TooHigh {
            found,
            maximum: max,
        }),
        Err(_) => Some(Fault::WrongType {
            found: text.to_owned(),
            expected: expected_type(shape),
        }),
    }
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|c| c.is_ascii_digit())
}

fn string_for_number(text: &str, shape: &Shape) -> Fault {
    let unit = shape.unit.clone().unwrap_or_default();
    match quantity::parse_quantity(text, &unit) {
        Some(number) => Fault::NumberAsText {
            found: text.to_owned(),
            number,
            unit,
        },
        None => wrong_type(&JsonKind::String(text.to_owned()), shape),
    }
}

fn check_choice(text: &str, allowed: &[CompactString]) -> Option<Fault> {
    if allowed.iter().any(|a| a == text) {
        return None;
    }
    Some(Fault::UnknownValue {
        found: text.to_owned(),
        suggestion: nearest(text, allowed.iter().map(CompactString::as_str)),
        allowed: allowed.to_vec(),
    })
}

fn check_format(text: &str, format: Format) -> Option<Fault> {
    if format.accepts(text) {
        return None;
    }
    Some(Fault::WrongFormat {
        found: text.to_owned(),
        expected: format.expected(),
    })
}

fn wrong_type(kind: &JsonKind, shape: &Shape) -> Fault {
    let found = match kind {
        JsonKind::Null => "null".to_owned(),
        JsonKind::Bool(value) => value.to_string(),
        JsonKind::Number(text) => text.to_string(),
        JsonKind::String(text) => format!("\"{text}\""),
        JsonKind::Array(_) => "a list".to_owned(),
        JsonKind::Object(_) => "an object".to_owned(),
    };
    Fault::WrongType {
        found,
        expected: expected_type(shape),
    }
}

/// Returns a description of the values that a field accepts.
fn expected_type(shape: &Shape) -> String {
    match &shape.kind {
        ShapeKind::Object(_) | ShapeKind::Map(_) => "an object in braces".to_owned(),
        ShapeKind::Array(_) => "a list in brackets".to_owned(),
        ShapeKind::Integer { min, max } => {
            let unit = shape.unit.as_deref().unwrap_or("units");
            format!("a whole number of {unit} from {min} to {max}")
        }
        ShapeKind::Bool => "true or false".to_owned(),
        ShapeKind::Enum(allowed) => format!("one of {}", allowed.join(", ")),
        ShapeKind::String(format) => format.expected().to_owned(),
    }
}
