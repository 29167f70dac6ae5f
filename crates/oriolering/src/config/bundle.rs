//! The one value that an operator publishes.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::config::check::{Check, Role, check_required};
use crate::config::fault::Fault;
use crate::config::reader;
use crate::config::shape::Shape;
use crate::config::{Location, Problems};

/// The largest value that the platform's configuration service holds.
pub const MAX_BUNDLE_BYTES: usize = 1_000_000;

/// The name of the published value in problems.
const FILE: &str = "bundle";

/// The base file and the overlay of each site, as one published value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The text of the base file.
    pub base: String,
    /// The text of the overlay of each site; a site without one has the base's settings.
    #[serde(default)]
    #[schemars(with = "BTreeMap<String, String>")]
    pub overlays: BTreeMap<CompactString, String>,
}

impl Bundle {
    /// Reads the published value. The files in it are read by [`SettingsSet::parse`](super::SettingsSet::parse).
    ///
    /// # Errors
    ///
    /// Returns the problems when the value is above [`MAX_BUNDLE_BYTES`] or is no bundle.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        check_size(text.len(), &mut problems);
        if !problems.is_empty() {
            return Err(problems);
        }
        let Some(node) = reader::read(FILE, text, &mut problems) else {
            return Err(problems);
        };
        let shape = Shape::of::<Self>();
        let mut check = Check {
            role: Role::Base,
            problems: &mut problems,
        };
        check.value(&node, &shape, "");
        check_required(&node, &shape, false, &mut problems);
        let bundle = problems.into_result(node.to_json())?;
        serde_json::from_value(bundle).map_err(|e| Problems::unreadable(FILE, &e))
    }

    /// Writes the value to publish.
    pub fn to_json(&self) -> String {
        let overlays: serde_json::Value = self
            .overlays
            .iter()
            .map(|(site, text)| (site.to_string(), text.clone().into()))
            .collect::<serde_json::Map<_, _>>()
            .into();
        serde_json::json!({"base": self.base, "overlays": overlays}).to_string()
    }
}

/// Reports a value that the platform's configuration service could not hold.
pub(crate) fn check_size(bytes: usize, problems: &mut Problems) {
    if bytes > MAX_BUNDLE_BYTES {
        let limit = MAX_BUNDLE_BYTES;
        problems.push(&Location::whole(FILE), "", Fault::Size { bytes, limit });
    }
}
