//! The one value that an operator publishes.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::{Problem, Problems};

/// The largest value that the platform's configuration service holds.
pub const MAX_BUNDLE_BYTES: usize = 1_000_000;

/// The base file and the overlay of each site, as one published value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The text of the base file.
    pub base: String,
    /// The text of the overlay of each site; a site without one has the base's settings.
    #[serde(default)]
    pub overlays: BTreeMap<CompactString, String>,
}

impl Bundle {
    /// Reads the published value.
    ///
    /// # Errors
    ///
    /// Returns the problem when the value is too large or is no bundle.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        serde_json::from_str(text).map_err(|e| {
            Problems(vec![Problem {
                text: e.to_string(),
            }])
        })
    }
}
