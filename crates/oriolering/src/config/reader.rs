//! Parses JSON with comments into a tree of values with their source locations.

use std::collections::HashMap;

use compact_str::CompactString;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::config::fault::Fault;
use crate::config::json_node::{Entry, JsonKind, JsonNode};
use crate::config::{Location, Problems};

/// The deepest accepted nesting.
const MAX_DEPTH: usize = 16;

/// Parses a file. Comments and trailing commas are allowed; the rest must be plain JSON.
///
/// Faults are added to `problems`; returns `None` when the text has no readable value.
pub(crate) fn read(file: &str, text: &str, problems: &mut Problems) -> Option<JsonNode> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options());
    let value = match parsed {
        Ok(parsed) => parsed.value,
        Err(e) => {
            let location = Location {
                file: file.into(),
                line: e.line_display() as u32,
                column: e.column_display() as u32,
            };
            let detail = e.kind().to_string();
            problems.push(&location, "", Fault::Syntax { detail });
            return None;
        }
    };
    let Some(value) = value else {
        let detail = "it is empty".to_owned();
        problems.push(&Location::whole(file), "", Fault::Syntax { detail });
        return None;
    };
    let mut reader = Reader {
        file,
        text,
        cursor: Cursor::default(),
        problems,
    };
    reader.read_node(&value, "", 0)
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    cursor: Cursor,
    problems: &'a mut Problems,
}

impl Reader<'_> {
    fn read_node(&mut self, value: &Value<'_>, path: &str, depth: usize) -> Option<JsonNode> {
        let location = self.location(value.start());
        if depth >= MAX_DEPTH {
            self.problems
                .push(&location, path, Fault::TooDeep { limit: MAX_DEPTH });
            return None;
        }
        let kind = match value {
            Value::NullKeyword(_) => JsonKind::Null,
            Value::BooleanLit(lit) => JsonKind::Bool(lit.value),
            Value::NumberLit(lit) => JsonKind::Number(lit.value.into()),
            Value::StringLit(lit) => JsonKind::String(lit.value.clone().into_owned()),
            Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                let nodes =
                    items.map(|(i, v)| self.read_node(v, &format!("{path}[{i}]"), depth + 1));
                JsonKind::Array(nodes.collect::<Vec<_>>().into_iter().flatten().collect())
            }
            Value::Object(object) => JsonKind::Object(self.read_entries(object, path, depth)),
        };
        Some(JsonNode { location, kind })
    }

    /// Reads the entries of an object; of a duplicate key the first entry is kept.
    fn read_entries(&mut self, object: &Object<'_>, path: &str, depth: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut lines = HashMap::new();
        for prop in &object.properties {
            let key = CompactString::from(prop.name.as_str());
            let path = join_path(path, &key);
            let location = self.location(prop.start());
            if let Some(line) = lines.get(&key) {
                let fault = Fault::Duplicate { line: *line };
                self.problems.push(&location, &path, fault);
                continue;
            }
            lines.insert(key.clone(), location.line);
            entries.extend(self.read_entry(prop, key, location, &path, depth));
        }
        entries
    }

    fn read_entry(
        &mut self,
        prop: &ObjectProp<'_>,
        key: CompactString,
        location: Location,
        path: &str,
        depth: usize,
    ) -> Option<Entry> {
        let value = self.read_node(&prop.value, path, depth + 1)?;
        Some(Entry {
            key,
            location,
            value,
        })
    }

    fn location(&mut self, offset: usize) -> Location {
        self.cursor.advance(self.text, offset);
        Location {
            file: self.file.into(),
            line: self.cursor.line + 1,
            column: self.cursor.column + 1,
        }
    }
}

/// A position that only moves forwards through a text, so that each character is counted once.
#[derive(Default)]
struct Cursor {
    offset: usize,
    line: u32,
    column: u32,
}

impl Cursor {
    /// Moves to `offset`; values must be read in the order of the text.
    fn advance(&mut self, text: &str, offset: usize) {
        let passed = text.get(self.offset..offset).unwrap_or_default();
        for c in passed.chars() {
            self.column += 1;
            if c == '\n' {
                self.line += 1;
                self.column = 0;
            }
        }
        self.offset = offset;
    }
}

/// Appends a key to a dot-separated path.
pub(crate) fn join_path(path: &str, key: &str) -> CompactString {
    if path.is_empty() {
        return key.into();
    }
    compact_str::format_compact!("{path}.{key}")
}
