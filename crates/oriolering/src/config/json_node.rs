//! A tree of JSON values with their source locations.

use compact_str::CompactString;
use serde_json::Value;

use crate::config::Location;
use crate::config::reader::join_path;

/// A JSON value and its source location.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct JsonNode {
    pub(crate) location: Location,
    pub(crate) kind: JsonKind,
}

/// The kinds of JSON values. A number keeps its source text, so that its range and form can be
/// checked exactly.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JsonKind {
    Null,
    Bool(bool),
    Number(CompactString),
    String(String),
    Array(Vec<JsonNode>),
    Object(Vec<Entry>),
}

/// One key of an object with its value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: CompactString,
    pub(crate) location: Location,
    pub(crate) value: JsonNode,
}

impl JsonNode {
    /// Returns an object without entries.
    pub(crate) fn empty(location: Location) -> Self {
        Self {
            location,
            kind: JsonKind::Object(Vec::new()),
        }
    }

    /// Returns the entries of an object; other values have none.
    pub(crate) fn entries(&self) -> &[Entry] {
        match &self.kind {
            JsonKind::Object(entries) => entries,
            JsonKind::Null
            | JsonKind::Bool(_)
            | JsonKind::Number(_)
            | JsonKind::String(_)
            | JsonKind::Array(_) => &[],
        }
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&Self> {
        let entry = self.entries().iter().find(|e| e.key == key)?;
        Some(&entry.value)
    }

    /// Returns the value at a path of keys separated by dots.
    pub(crate) fn at(&self, path: &str) -> Option<&Self> {
        path.split('.').try_fold(self, |node, key| node.get(key))
    }

    /// Merges `over` into this value: objects merge by key, null removes a key, and any other value
    /// replaces the old one.
    pub(crate) fn merge(&mut self, over: &Self) {
        let (JsonKind::Object(below), JsonKind::Object(above)) = (&mut self.kind, &over.kind)
        else {
            *self = over.without_nulls();
            return;
        };
        for entry in above {
            let index = below.iter().position(|e| e.key == entry.key);
            match (index, &entry.value.kind) {
                (Some(index), JsonKind::Null) => {
                    below.remove(index);
                }
                (Some(index), _) => below[index].value.merge(&entry.value),
                (None, JsonKind::Null) => {}
                (None, _) => below.push(entry.without_nulls()),
            }
        }
    }

    /// Removes the entries for whose paths `is_faulty` returns true.
    pub(crate) fn prune(&mut self, path: &str, is_faulty: &impl Fn(&str) -> bool) {
        let JsonKind::Object(entries) = &mut self.kind else {
            return;
        };
        entries.retain_mut(|entry| {
            let path = join_path(path, &entry.key);
            entry.value.prune(&path, is_faulty);
            !is_faulty(&path)
        });
    }

    /// Returns a copy without the entries that are null.
    fn without_nulls(&self) -> Self {
        let JsonKind::Object(entries) = &self.kind else {
            return self.clone();
        };
        let kept = entries.iter().filter(|e| e.value.kind != JsonKind::Null);
        Self {
            location: self.location.clone(),
            kind: JsonKind::Object(kept.map(Entry::without_nulls).collect()),
        }
    }

    /// Returns the value as plain JSON, without locations.
    pub(crate) fn to_json(&self) -> Value {
        match &self.kind {
            JsonKind::Null => Value::Null,
            JsonKind::Bool(value) => Value::Bool(*value),
            JsonKind::Number(text) => text.parse().map_or(Value::Null, Value::Number),
            JsonKind::String(text) => Value::String(text.clone()),
            JsonKind::Array(items) => items.iter().map(Self::to_json).collect(),
            JsonKind::Object(entries) => entries
                .iter()
                .map(|e| (e.key.to_string(), e.value.to_json()))
                .collect(),
        }
    }
}

impl Entry {
    fn without_nulls(&self) -> Self {
        Self {
            key: self.key.clone(),
            location: self.location.clone(),
            value: self.value.without_nulls(),
        }
    }
}
