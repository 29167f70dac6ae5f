//! The order of published values by the platform's revision.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::section::Digest;

/// A published value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedValue {
    /// The platform's revision.
    pub revision: u64,
    /// The whole value.
    pub text: Arc<str>,
}

/// The revision and content digest that stand for a published value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The platform's revision; zero before any value is known.
    pub revision: u64,
    /// The digest of the whole value.
    pub root: Digest,
}

/// How an offered value stands to the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionOrder {
    /// The offer has a higher revision.
    Newer,
    /// The offer is the value in force.
    Same,
    /// The offer has a lower revision.
    Older,
    /// The offer has the revision in force with different content.
    Conflict,
}

impl Head {
    /// Returns how `offer` stands to `self`.
    pub fn compare(&self, offer: &Self) -> RevisionOrder {
        if offer.revision > self.revision {
            return RevisionOrder::Newer;
        }
        if offer.revision < self.revision {
            return RevisionOrder::Older;
        }
        if offer.root == self.root {
            return RevisionOrder::Same;
        }
        RevisionOrder::Conflict
    }
}

/// The counts of offers that were not put in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IgnoredCounts {
    /// Offers with a revision below the one in force.
    pub older: u64,
    /// Offers with the revision in force and different content.
    pub conflicts: u64,
    /// Offers that failed validation.
    pub invalid: u64,
}
