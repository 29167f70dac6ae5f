//! A tree of JSON values that know their locations.

use compact_str::CompactString;
use serde_json::Value;

use crate::config::Location;
use crate::config::reader::join;

/// A JSON value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) tree: Tree,
}

/// The kinds of JSON values. A number keeps its text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Tree {
    Null,
    Bool(bool),
    Number(CompactString),
    Text(String),
    List(Vec<Node>),
    Object(Vec<Entry>),
}

/// One key of an object with its value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: CompactString,
    pub(crate) location: Location,
    pub(crate) value: Node,
}

impl Node {
    /// Returns an object without keys.
    pub(crate) fn empty(location: Location) -> Self {
        Self {
            location,
            tree: Tree::Object(Vec::new()),
        }
    }

    /// Returns the keys of an object; other values have none.
    pub(crate) fn entries(&self) -> &[Entry] {
        match &self.tree {
            Tree::Object(entries) => entries,
            Tree::Null | Tree::Bool(_) | Tree::Number(_) | Tree::Text(_) | Tree::List(_) => &[],
        }
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&Self> {
        let entry = self.entries().iter().find(|e| e.key == key)?;
        Some(&entry.value)
    }

    /// Returns the value at a path of keys joined by dots.
    pub(crate) fn at(&self, path: &str) -> Option<&Self> {
        path.split('.').try_fold(self, |node, key| node.get(key))
    }

    /// Lays `over` on top: objects merge by key, null removes a key, all else replaces.
    pub(crate) fn merge(&mut self, over: &Self) {
        let (Tree::Object(below), Tree::Object(above)) = (&mut self.tree, &over.tree) else {
            *self = over.without_nulls();
            return;
        };
        for entry in above {
            let index = below.iter().position(|e| e.key == entry.key);
            match (index, &entry.value.tree) {
                (Some(index), Tree::Null) => {
                    below.remove(index);
                }
                (Some(index), _) => below[index].value.merge(&entry.value),
                (None, Tree::Null) => {}
                (None, _) => below.push(entry.without_nulls()),
            }
        }
    }

    /// Removes the keys whose values have problems, which `is_faulty` tells by their paths.
    pub(crate) fn prune(&mut self, path: &str, is_faulty: &impl Fn(&str) -> bool) {
        let Tree::Object(entries) = &mut self.tree else {
            return;
        };
        entries.retain_mut(|entry| {
            let path = join(path, &entry.key);
            entry.value.prune(&path, is_faulty);
            !is_faulty(&path)
        });
    }

    /// Returns a copy in which no object has a key with null.
    fn without_nulls(&self) -> Self {
        let Tree::Object(entries) = &self.tree else {
            return self.clone();
        };
        let kept = entries.iter().filter(|e| e.value.tree != Tree::Null);
        Self {
            location: self.location.clone(),
            tree: Tree::Object(kept.map(Entry::without_nulls).collect()),
        }
    }

    /// Returns the value without locations.
    pub(crate) fn to_json(&self) -> Value {
        match &self.tree {
            Tree::Null => Value::Null,
            Tree::Bool(value) => Value::Bool(*value),
            Tree::Number(text) => text.parse().map_or(Value::Null, Value::Number),
            Tree::Text(text) => Value::String(text.clone()),
            Tree::List(items) => items.iter().map(Self::to_json).collect(),
            Tree::Object(entries) => entries
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
