//! The whole set of base and overlays.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde_json::Value;

use crate::config::{Bundle, Problem, Problems, Settings};

/// A valid set of base and overlays.
#[derive(Clone, Debug, PartialEq)]
pub struct Set {
    base: Settings,
    sites: BTreeMap<CompactString, Settings>,
}

impl Set {
    /// Reads and checks the base and every overlay.
    ///
    /// # Errors
    ///
    /// Returns all problems of all files.
    pub fn parse(bundle: &Bundle) -> Result<Self, Problems> {
        let base = read(&bundle.base)?;
        let mut sites = BTreeMap::new();
        for (site, text) in &bundle.overlays {
            let mut merged = base.clone();
            merge(&mut merged, read(text)?);
            sites.insert(site.clone(), settings(merged)?);
        }
        Ok(Self {
            base: settings(base)?,
            sites,
        })
    }

    /// Returns the effective settings of a site; a site without an overlay has the base's.
    pub fn site(&self, site: &str) -> Settings {
        self.sites.get(site).unwrap_or(&self.base).clone()
    }

    /// Returns the sites that have an overlay.
    pub fn sites(&self) -> impl Iterator<Item = &str> {
        self.sites.keys().map(CompactString::as_str)
    }
}

fn problem(e: impl ToString) -> Problems {
    Problems(vec![Problem {
        text: e.to_string(),
    }])
}

fn read(text: &str) -> Result<Value, Problems> {
    jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(problem)
}

fn merge(base: &mut Value, over: Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (key, value) in over {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over,
    }
}

fn settings(merged: Value) -> Result<Settings, Problems> {
    let mut services = Vec::new();
    let entries = merged.get("services").and_then(Value::as_object);
    for (name, value) in entries.into_iter().flatten() {
        let mut service: crate::config::Service =
            serde_json::from_value(value.clone()).map_err(problem)?;
        service.name = name.into();
        services.push(service);
    }
    Ok(Settings { services })
}
