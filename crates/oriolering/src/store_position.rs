//! A position in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A position in the history of the platform's store: an era, and a revision within it.
///
/// The store may come back from a copy. Its revisions then go back to that of the copy and are
/// given out again, and its era rises by one. Any position of a later era is therefore newer than
/// any position of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era: how often the store has come back from a copy, or zero if that is not known.
    pub era: u64,
    /// The revision within the era; zero before anything is known.
    pub revision: u64,
}

impl StorePosition {
    /// Returns the position at a revision of an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether anything is known at this position.
    pub fn is_known(self) -> bool {
        self.revision > 0
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl Serialize for StorePosition {
    /// Writes `era:revision` in text formats, and two numbers in binary ones.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => (self.era, self.revision).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for StorePosition {
    /// Reads the two numbers of binary formats; the text form is only written.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (era, revision) = Deserialize::deserialize(deserializer)?;
        Ok(Self { era, revision })
    }
}
