//! The list of backend servers, merged by revision from the reads of several nodes.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Millis, ServerRecord};

/// How long an entry that disappeared around an outage of the store is kept, in milliseconds.
///
/// A live backend server is listed again within two seconds after the store is back.
const LAPSE_MS: u64 = 2_000;
/// How long a tombstone is kept, in milliseconds; longer than any update takes to arrive.
const TOMBSTONE_MS: u64 = 60_000;

/// A change of one entry, as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The id of the backend server.
    pub id: CompactString,
    /// The store's revision of the change.
    pub revision: u64,
    /// The record, or `None` if the entry was removed.
    pub record: Option<ServerRecord>,
    /// Whether it was removed around an outage of the store, so that it may merely have expired.
    pub lapsed: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    record: Option<ServerRecord>,
    /// The record from before a removal that may merely be an expiry, and until when it is kept.
    retained: Option<(ServerRecord, Millis)>,
    changed: Millis,
}

impl Entry {
    /// Returns the record to use, if the entry is still listed.
    fn live(&self) -> Option<&ServerRecord> {
        let retained = self.retained.as_ref().map(|(record, _)| record);
        self.record.as_ref().or(retained)
    }
}

/// The backend servers listed in the platform's store.
///
/// Of two updates of one entry the one with the higher revision wins, so the order in which
/// updates arrive does not matter.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    entries: HashMap<CompactString, Entry>,
    revision: u64,
    changes: u64,
}

impl ServerList {
    /// Returns the store's revision up to which the list is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of changes to the list so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the listed backend servers, including those that are kept after a lapse.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().filter_map(Entry::live)
    }

    /// Applies an update; returns whether it changed the list.
    ///
    /// An update at the known revision is applied only if it confirms the removal of an entry
    /// that is kept after a lapse.
    pub fn apply(&mut self, now: Millis, update: ServerUpdate) -> bool {
        let known = self.entries.get(&update.id);
        let confirms = known.is_some_and(|e| {
            e.revision == update.revision && e.retained.is_some() && !update.lapsed
        });
        if !confirms && known.is_some_and(|e| e.revision >= update.revision) {
            return false;
        }
        let before = known.and_then(Entry::live).cloned();
        let is_kept = update.record.is_none() && update.lapsed;
        let retained = before.filter(|_| is_kept).map(|r| (r, now + LAPSE_MS));
        let entry = Entry {
            revision: update.revision,
            record: update.record,
            retained,
            changed: now,
        };
        self.entries.insert(update.id, entry);
        self.changes += 1;
        true
    }

    /// Returns the listed backend servers; of those with the same address, only the one that
    /// started last, since the earlier one must have ended.
    ///
    /// When many instances lose power and restart, their earlier entries stay listed for seconds,
    /// and requests to them would only be refused.
    pub fn current(&self) -> impl Iterator<Item = &ServerRecord> {
        let mut latest: HashMap<SocketAddr, (u64, u64)> = HashMap::new();
        for (start, record) in self.starts() {
            let known = latest.entry(record.address).or_insert(start);
            *known = start.max(*known);
        }
        self.starts()
            .filter(move |(start, record)| latest.get(&record.address) == Some(start))
            .map(|(_, record)| record)
    }

    /// Returns each listed backend server with its start time, followed by its revision to break
    /// ties.
    fn starts(&self) -> impl Iterator<Item = ((u64, u64), &ServerRecord)> {
        let live = self
            .entries
            .values()
            .filter_map(|e| Some((e.revision, e.live()?)));
        live.map(|(revision, record)| ((record.born.unwrap_or(0), revision), record))
    }

    /// Applies a complete read of the list at `revision`; entries missing from it were removed.
    pub fn replace(
        &mut self,
        now: Millis,
        updates: Vec<ServerUpdate>,
        revision: u64,
        lapsed: bool,
    ) {
        let present: Vec<CompactString> = updates.iter().map(|u| u.id.clone()).collect();
        let missing: Vec<CompactString> = self
            .entries
            .iter()
            .filter(|(id, e)| e.record.is_some() && e.revision <= revision && !present.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for update in updates {
            self.apply(now, update);
        }
        for id in missing {
            let record = None;
            self.apply(
                now,
                ServerUpdate {
                    id,
                    revision,
                    record,
                    lapsed,
                },
            );
        }
        self.advance(revision);
    }

    /// Records that the list is complete up to `revision`.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Drops entries that were kept after a lapse and are not listed again in time, and discards
    /// old tombstones.
    ///
    /// Returns whether the list changed.
    pub fn expire(&mut self, now: Millis) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            let expired = entry.retained.as_ref().is_some_and(|(_, end)| *end <= now);
            if expired {
                entry.retained = None;
                changed = true;
            }
        }
        self.entries
            .retain(|_, e| e.live().is_some() || now.since(e.changed) < TOMBSTONE_MS);
        self.changes += u64::from(changed);
        changed
    }

    /// Returns the updates after `revision`.
    pub fn updates_since(&self, revision: u64) -> Vec<ServerUpdate> {
        let newer = self.entries.iter().filter(|(_, e)| e.revision > revision);
        newer
            .map(|(id, e)| ServerUpdate {
                id: id.clone(),
                revision: e.revision,
                record: e.record.clone(),
                lapsed: e.retained.is_some(),
            })
            .collect()
    }
}
