//! Changes of the list of backend servers, as nodes exchange them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{ServerRecord, StorePosition, ZoneUpdate};

/// What a node goes on believing of a backend server although the store says otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptRecord {
    /// The position at which it was written.
    pub position: StorePosition,
    /// The record, or `None` if the backend server was known to be gone.
    pub record: Option<ServerRecord>,
    /// How much longer it is believed, in milliseconds.
    pub left_ms: u64,
}

/// A change of one entry, as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The id of the backend server.
    pub id: CompactString,
    /// The store's position of the change.
    pub position: StorePosition,
    /// The record, or `None` if the entry was removed.
    pub record: Option<ServerRecord>,
    /// Whether it was removed around an outage of the store, so that it may merely have expired.
    pub lapsed: bool,
    /// What the sender believes in place of `record`, if anything.
    pub kept: Option<KeptRecord>,
}

/// What a list of backend servers has that an earlier one lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// The position up to which the list is complete with these changes.
    pub position: StorePosition,
    /// Whether these are all entries, so that those missing here were removed.
    pub whole: bool,
    /// The changed entries.
    pub updates: Vec<ServerUpdate>,
    /// The evacuations that began or ended.
    pub zones: Vec<ZoneUpdate>,
}
