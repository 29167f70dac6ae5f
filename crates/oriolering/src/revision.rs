//! Orders published values by the platform's revision.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::section::Digest;

/// A published value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedValue {
    /// The revision in the platform's store.
    pub revision: u64,
    /// The whole value.
    pub text: Arc<str>,
}

/// The revision and content digest that identify a published value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision in the platform's store; zero before any value is known.
    pub revision: u64,
    /// The digest of the whole value.
    pub root: Digest,
}

/// How an offered value compares with the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionOrder {
    /// The offer has a higher revision.
    Newer,
    /// The offer is the current value.
    Same,
    /// The offer has a lower revision.
    Older,
    /// The offer has the current revision but different content.
    Conflict,
}

impl Head {
    /// Compares `offer` with `self`.
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

/// Counters of offers that did not become the current value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct IgnoredCounts {
    /// Offers with a revision below the current one.
    pub older: u64,
    /// Offers with the current revision but different content.
    pub conflicts: u64,
    /// Offers that failed validation.
    pub invalid: u64,
}
