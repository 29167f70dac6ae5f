//! The list of backend servers, merged by revision from what several nodes have read.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Millis, ServerRecord};

/// How long an entry that vanished around an outage of its source is kept, in milliseconds.
///
/// A live backend server is listed again within two seconds of the source's return.
const LAPSE_MS: u64 = 2_000;
/// How long a removal is remembered, in milliseconds; longer than news are under way.
const REMOVAL_MS: u64 = 60_000;

/// What is known of one entry, as nodes tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The identity of the backend server.
    pub id: CompactString,
    /// The revision of the last change.
    pub revision: u64,
    /// The entry, or none once it was removed.
    pub record: Option<ServerRecord>,
    /// Whether it was removed around an outage, so that it may only have lapsed.
    pub lapsed: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    record: Option<ServerRecord>,
    /// The entry from before a removal that may be a lapse, and the end of its time.
    lapsing: Option<(ServerRecord, Millis)>,
    changed: Millis,
}

impl Entry {
    fn live(&self) -> Option<&ServerRecord> {
        let lapsing = self.lapsing.as_ref().map(|(record, _)| record);
        self.record.as_ref().or(lapsing)
    }
}

/// The backend servers that the platform lists.
///
/// Of two notes about one entry the one with the higher revision holds, so the order in which
/// news arrive does not matter.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    entries: HashMap<CompactString, Entry>,
    revision: u64,
    changes: u64,
}

impl ServerList {
    /// Returns the revision up to which the list is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the backend servers that are listed, lapsing ones included.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().filter_map(Entry::live)
    }

    /// Takes in a note, and returns whether it changed the list.
    pub fn apply(&mut self, now: Millis, note: ServerUpdate) -> bool {
        let known = self.entries.get(&note.id);
        let confirms = known
            .is_some_and(|e| e.revision == note.revision && e.lapsing.is_some() && !note.lapsed);
        if !confirms && known.is_some_and(|e| e.revision >= note.revision) {
            return false;
        }
        let before = known.and_then(Entry::live).cloned();
        let keeps = note.record.is_none() && note.lapsed;
        let lapsing = before.filter(|_| keeps).map(|r| (r, now + LAPSE_MS));
        let entry = Entry {
            revision: note.revision,
            record: note.record,
            lapsing,
            changed: now,
        };
        self.entries.insert(note.id, entry);
        self.changes += 1;
        true
    }

    /// Returns the backend servers that are listed, of those at the same address only the one that
    /// started last: what starts at an address follows what has ended there.
    ///
    /// The load that this answers: many instances lose power and start again. Their earlier
    /// entries stay listed for seconds, and requests for them would only be refused.
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

    /// Returns each listed backend server with its start, and the revision where two are equal.
    fn starts(&self) -> impl Iterator<Item = ((u64, u64), &ServerRecord)> {
        let live = self
            .entries
            .values()
            .filter_map(|e| Some((e.revision, e.live()?)));
        live.map(|(revision, record)| ((record.born.unwrap_or(0), revision), record))
    }

    /// Takes in a complete reading of the list at `revision`; what it lacks was removed.
    pub fn replace(&mut self, now: Millis, notes: Vec<ServerUpdate>, revision: u64, lapsed: bool) {
        let present: Vec<CompactString> = notes.iter().map(|n| n.id.clone()).collect();
        let missing: Vec<CompactString> = self
            .entries
            .iter()
            .filter(|(id, e)| e.record.is_some() && e.revision <= revision && !present.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for note in notes {
            self.apply(now, note);
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

    /// Notes that the list is complete up to `revision`.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Drops entries whose lapse has become final, and forgets old removals.
    ///
    /// Returns whether the list changed.
    pub fn expire(&mut self, now: Millis) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            let over = entry.lapsing.as_ref().is_some_and(|(_, end)| *end <= now);
            if over {
                entry.lapsing = None;
                changed = true;
            }
        }
        self.entries
            .retain(|_, e| e.live().is_some() || now.since(e.changed) < REMOVAL_MS);
        self.changes += u64::from(changed);
        changed
    }

    /// Returns what changed after `revision`.
    pub fn updates_since(&self, revision: u64) -> Vec<ServerUpdate> {
        let newer = self.entries.iter().filter(|(_, e)| e.revision > revision);
        newer
            .map(|(id, e)| ServerUpdate {
                id: id.clone(),
                revision: e.revision,
                record: e.record.clone(),
                lapsed: e.lapsing.is_some(),
            })
            .collect()
    }
}
