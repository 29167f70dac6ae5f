//! Reads JSON with comments into a tree of values that know their locations.

use std::collections::HashMap;

use compact_str::CompactString;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::config::fault::Fault;
use crate::config::node::{Entry, Node, Tree};
use crate::config::{Location, Problems};

/// The deepest nesting that is accepted.
const MAX_DEPTH: usize = 16;

/// Reads a file. Comments and trailing commas are allowed; all else is plain JSON.
///
/// Faults of the text go to `problems`; without a readable value the result is `None`.
pub(crate) fn read(file: &str, text: &str, problems: &mut Problems) -> Option<Node> {
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
    reader.node(&value, "", 0)
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
    fn node(&mut self, value: &Value<'_>, path: &str, depth: usize) -> Option<Node> {
        let location = self.location(value.start());
        if depth >= MAX_DEPTH {
            self.problems
                .push(&location, path, Fault::Depth { limit: MAX_DEPTH });
            return None;
        }
        let tree = match value {
            Value::NullKeyword(_) => Tree::Null,
            Value::BooleanLit(lit) => Tree::Bool(lit.value),
            Value::NumberLit(lit) => Tree::Number(lit.value.into()),
            Value::StringLit(lit) => Tree::Text(lit.value.clone().into_owned()),
            Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                let nodes = items.map(|(i, v)| self.node(v, &format!("{path}[{i}]"), depth + 1));
                Tree::List(nodes.collect::<Vec<_>>().into_iter().flatten().collect())
            }
            Value::Object(object) => Tree::Object(self.entries(object, path, depth)),
        };
        Some(Node { location, tree })
    }

    /// Reads the keys of an object; of a key that stands twice the first one is kept.
    fn entries(&mut self, object: &Object<'_>, path: &str, depth: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut lines = HashMap::new();
        for prop in &object.properties {
            let key = CompactString::from(prop.name.as_str());
            let path = join(path, &key);
            let location = self.location(prop.start());
            if let Some(line) = lines.get(&key) {
                let fault = Fault::Duplicate { line: *line };
                self.problems.push(&location, &path, fault);
                continue;
            }
            lines.insert(key.clone(), location.line);
            entries.extend(self.entry(prop, key, location, &path, depth));
        }
        entries
    }

    fn entry(
        &mut self,
        prop: &ObjectProp<'_>,
        key: CompactString,
        location: Location,
        path: &str,
        depth: usize,
    ) -> Option<Entry> {
        let value = self.node(&prop.value, path, depth + 1)?;
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

/// A position that moves through a text, so that a long line is counted only once.
#[derive(Default)]
struct Cursor {
    offset: usize,
    line: u32,
    column: u32,
}

impl Cursor {
    /// Moves to `offset`; values are read in the order in which they stand.
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

/// Appends a key to a path.
pub(crate) fn join(path: &str, key: &str) -> CompactString {
    if path.is_empty() {
        return key.into();
    }
    compact_str::format_compact!("{path}.{key}")
}
