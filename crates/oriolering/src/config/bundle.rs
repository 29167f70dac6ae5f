//! The value that an operator publishes: the base file with all overlays.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::config::check::{Checker, FileRole, check_required};
use crate::config::fault::Fault;
use crate::config::reader;
use crate::config::shape::Shape;
use crate::config::{Location, Problems};

/// The largest value, in bytes, that the platform's configuration service stores.
pub const MAX_BUNDLE_BYTES: usize = 1_000_000;

/// The file name under which problems of the published value are reported.
const FILE: &str = "bundle";

/// The base file and the overlays of all sites, as one published value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The text of the base file.
    pub base: String,
    /// The text of each overlay, by site; a site without an overlay uses the settings of the base.
    #[serde(default)]
    #[schemars(with = "BTreeMap<String, String>")]
    pub overlays: BTreeMap<CompactString, String>,
}

impl Bundle {
    /// Parses the published value. [`SettingsSet::parse`](super::SettingsSet::parse) parses the
    /// files in it.
    ///
    /// # Errors
    ///
    /// Returns the problems when the value exceeds [`MAX_BUNDLE_BYTES`] or is not a bundle.
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
        let mut checker = Checker {
            role: FileRole::Base,
            problems: &mut problems,
        };
        checker.check_value(&node, &shape, "");
        check_required(&node, &shape, false, &mut problems);
        let bundle = problems.into_result(node.to_json())?;
        serde_json::from_value(bundle).map_err(|e| Problems::from_json_error(FILE, &e))
    }

    /// Returns the value to publish, as JSON.
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

/// Reports a value that is too large for the platform's configuration service.
pub(crate) fn check_size(bytes: usize, problems: &mut Problems) {
    if bytes > MAX_BUNDLE_BYTES {
        let limit = MAX_BUNDLE_BYTES;
        problems.push(&Location::whole(FILE), "", Fault::TooLarge { bytes, limit });
    }
}
