//! Checks a tree of values against the shape that it must have.

use compact_str::CompactString;

use crate::config::fault::Fault;
use crate::config::field::flag_of;
use crate::config::nearest::nearest;
use crate::config::node::{Entry, Node, Tree};
use crate::config::reader::join;
use crate::config::shape::{Form, Kind, Shape};
use crate::config::{Location, Problems, quantity};

/// Which parts of a file may be left out or reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A file that stands by itself: null is refused.
    Base,
    /// A file that is laid over the base: null resets a field.
    Overlay,
}

/// Checks one file; every fault goes to `problems`.
pub(crate) struct Check<'a> {
    pub(crate) role: Role,
    pub(crate) problems: &'a mut Problems,
}

impl Check<'_> {
    /// Checks a value and all below it.
    pub(crate) fn value(&mut self, node: &Node, shape: &Shape, path: &str) {
        match (&shape.kind, &node.tree) {
            (_, Tree::Null) => self.null(node, shape, path),
            (Kind::Group(fields), Tree::Object(entries)) => self.group(entries, fields, path),
            (Kind::Map(inner), Tree::Object(entries)) => self.map(entries, inner, path),
            (Kind::List(inner), Tree::List(items)) => {
                for (i, item) in items.iter().enumerate() {
                    self.value(item, inner, &format!("{path}[{i}]"));
                }
            }
            (Kind::Whole { min, max }, Tree::Number(text)) => {
                self.fault(node, path, scan_range(text, *min, *max, shape));
            }
            (Kind::Whole { .. }, Tree::Text(text)) => {
                self.fault(node, path, Some(number_as_text(text, shape)));
            }
            (Kind::Choice(allowed), Tree::Text(text)) => {
                self.fault(node, path, scan_choice(text, allowed));
            }
            (Kind::Text(form), Tree::Text(text)) => {
                self.fault(node, path, scan_form(text, *form));
            }
            (Kind::Bool, Tree::Bool(_)) => {}
            (_, tree) => self.fault(node, path, Some(wrong_type(tree, shape))),
        }
    }

    fn group(&mut self, entries: &[Entry], fields: &[(CompactString, Shape)], path: &str) {
        for entry in entries {
            if self.problems.is_full() {
                return;
            }
            let path = join(path, &entry.key);
            match fields.iter().find(|(key, _)| *key == entry.key) {
                Some((_, shape)) => self.value(&entry.value, shape, &path),
                None if repeats(&entry.key) && path.starts_with(ROUTES) => {
                    let remedy = "remove it; the kind of a route alone tells what may be repeated, \
                                  and only idempotent allows it";
                    self.problems
                        .push(&entry.location, &path, Fault::Foreign { remedy });
                }
                None => {
                    let near = nearest(&entry.key, fields.iter().map(|(key, _)| key.as_str()));
                    self.problems
                        .push(&entry.location, &path, Fault::Unknown { near });
                }
            }
        }
    }

    fn map(&mut self, entries: &[Entry], inner: &Shape, path: &str) {
        for entry in entries {
            if self.problems.is_full() {
                return;
            }
            let path = join(path, &entry.key);
            if let Some(fault) = scan_form(&entry.key, Form::Name) {
                self.problems.push(&entry.location, &path, fault);
            }
            if let Some(remedy) = self.null_remedy(entry, inner) {
                self.problems
                    .push(&entry.location, &path, Fault::Null { remedy });
                continue;
            }
            self.value(&entry.value, inner, &path);
        }
    }

    /// Returns what to write instead of a null by name, unless it removes the name.
    fn null_remedy(&self, entry: &Entry, inner: &Shape) -> Option<&'static str> {
        if entry.value.tree != Tree::Null {
            return None;
        }
        match (&inner.kind, self.role) {
            (Kind::Group(_), _) => {
                Some("write an object of the fields to change, or remove the name")
            }
            (_, Role::Base) => Some("write a number, or remove the name"),
            (_, Role::Overlay) => None,
        }
    }

    fn null(&mut self, node: &Node, shape: &Shape, path: &str) {
        let is_fixed = shape.required || shape.holds_parts();
        let resets = !path.is_empty() && !path.ends_with(']') && !is_fixed;
        if self.role == Role::Overlay && resets {
            return;
        }
        let remedy = match (is_fixed, self.role) {
            (false, _) => "remove the field to take its default",
            (true, Role::Base) => "write a value; it has no default",
            (true, Role::Overlay) => "leave it out to keep what the base sets",
        };
        self.problems
            .push(&node.location, path, Fault::Null { remedy });
    }

    fn fault(&mut self, node: &Node, path: &str, fault: Option<Fault>) {
        if let Some(fault) = fault {
            self.problems.push(&node.location, path, fault);
        }
    }
}

/// Where the fields of routes begin.
const ROUTES: &str = "routes.";

/// Reports the fields without a default that are missing in objects by name.
pub(crate) fn check_parts(parts: &Node, shape: &Shape, path: &str, problems: &mut Problems) {
    let Some(Kind::Group(fields)) = shape.inner().map(|inner| &inner.kind) else {
        return;
    };
    let required: Vec<&CompactString> = fields
        .iter()
        .filter(|(_, field)| field.required)
        .map(|(key, _)| key)
        .collect();
    for part in parts.entries() {
        let is_object = matches!(part.value.tree, Tree::Object(_));
        let missing = required.iter().filter(|key| part.value.get(key).is_none());
        for key in missing.filter(|_| is_object) {
            let path = join(&join(path, &part.key), key);
            problems.push(&part.location, &path, Fault::Missing { flag: None });
        }
    }
}

/// Returns whether a field of this name would tell that requests may be repeated.
fn repeats(key: &str) -> bool {
    matches!(
        key,
        "idempotent" | "repeatable" | "repeat" | "retry" | "hedge"
    )
}

/// Reports the fields without a default that are missing.
pub(crate) fn check_required(node: &Node, shape: &Shape, flags: bool, problems: &mut Problems) {
    let (Kind::Group(fields), Tree::Object(_)) = (&shape.kind, &node.tree) else {
        return;
    };
    for (key, _) in fields.iter().filter(|(_, field)| field.required) {
        if node.get(key).is_none() {
            let location = Location::whole(&node.location.file);
            let flag = flags.then(|| flag_of(key));
            problems.push(&location, key, Fault::Missing { flag });
        }
    }
}

fn scan_range(text: &str, min: u64, max: u64, shape: &Shape) -> Option<Fault> {
    let found = CompactString::from(text);
    match text.parse::<u64>() {
        Ok(n) if n < min => Some(Fault::Low { found, least: min }),
        Ok(n) if n > max => Some(Fault::High { found, most: max }),
        Ok(_) => None,
        Err(_) if is_digits(text.trim_start_matches('-')) && text.starts_with('-') => {
            Some(Fault::Low { found, least: min })
        }
        Err(_) if is_digits(text) => Some(Fault::High { found, most: max }),
        Err(_) => Some(Fault::Type {
            found: text.to_owned(),
            wanted: wanted(shape),
        }),
    }
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|c| c.is_ascii_digit())
}

fn number_as_text(text: &str, shape: &Shape) -> Fault {
    let unit = shape.unit.clone().unwrap_or_default();
    match quantity::scan_quantity(text, &unit) {
        Some(number) => Fault::Unit {
            found: text.to_owned(),
            number,
            unit,
        },
        None => wrong_type(&Tree::Text(text.to_owned()), shape),
    }
}

fn scan_choice(text: &str, allowed: &[CompactString]) -> Option<Fault> {
    if allowed.iter().any(|a| a == text) {
        return None;
    }
    Some(Fault::Choice {
        found: text.to_owned(),
        near: nearest(text, allowed.iter().map(CompactString::as_str)),
        allowed: allowed.to_vec(),
    })
}

fn scan_form(text: &str, form: Form) -> Option<Fault> {
    if form.accepts(text) {
        return None;
    }
    Some(Fault::Form {
        found: text.to_owned(),
        wanted: form.wanted(),
    })
}

fn wrong_type(tree: &Tree, shape: &Shape) -> Fault {
    let found = match tree {
        Tree::Null => "null".to_owned(),
        Tree::Bool(value) => value.to_string(),
        Tree::Number(text) => text.to_string(),
        Tree::Text(text) => format!("\"{text}\""),
        Tree::List(_) => "a list".to_owned(),
        Tree::Object(_) => "an object".to_owned(),
    };
    Fault::Type {
        found,
        wanted: wanted(shape),
    }
}

/// Returns the words for the kind of value that belongs to a field.
fn wanted(shape: &Shape) -> String {
    match &shape.kind {
        Kind::Group(_) | Kind::Map(_) => "an object in braces".to_owned(),
        Kind::List(_) => "a list in brackets".to_owned(),
        Kind::Whole { min, max } => {
            let unit = shape.unit.as_deref().unwrap_or("units");
            format!("a whole number of {unit} from {min} to {max}")
        }
        Kind::Bool => "true or false".to_owned(),
        Kind::Choice(allowed) => format!("one of {}", allowed.join(", ")),
        Kind::Text(form) => form.wanted().to_owned(),
    }
}
