//! The list of backend servers, merged by position in the store from the reads of several nodes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::evacuations::Evacuations;
use crate::server_entry::ServerEntry;
use crate::{ListUpdate, Millis, ServerRecord, ServerUpdate, StorePosition, ZoneUpdate};

/// How long a tombstone is kept, in milliseconds; longer than any update takes to arrive.
const TOMBSTONE_MS: u64 = 60_000;

/// What became of the list when the store came back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReturn {
    /// The position up to which the list was complete before.
    pub before: StorePosition,
    /// The position of the first complete list after the return.
    pub after: StorePosition,
    /// How many backend servers are missing in the copy and kept in use for now.
    pub kept: usize,
    /// How many backend servers are kept out of use although the copy lists them as ready.
    pub withheld: usize,
    /// How many backend servers were in use before and are not now.
    pub dropped: usize,
}

/// The backend servers listed in the platform's store, and the availability zones that the operator
/// evacuates.
///
/// Of two updates of one entry the one with the later position wins, so the order in which
/// updates arrive does not matter.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    entries: HashMap<CompactString, ServerEntry>,
    evacuations: Evacuations,
    position: StorePosition,
    /// The position after which each removal is known, also of entries that were never listed here.
    removals_from: StorePosition,
    /// The latest era of which entries were applied.
    era: u64,
    changes: u64,
}

impl ServerList {
    /// Returns the store's position up to which the list is complete.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the era of the list, also while it is incomplete.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns the number of changes to the list so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the listed backend servers, including those that are kept for now.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().filter_map(ServerEntry::live)
    }

    /// Applies an update; returns whether it changed the list.
    ///
    /// An update of an earlier era than that of the list is ignored. An update at the known
    /// position is applied only if it confirms the removal of an entry that is kept for now.
    pub fn apply(&mut self, now: Millis, update: ServerUpdate) -> bool {
        if update.position.era < self.era {
            return false;
        }
        let known = self.entries.get(&update.id);
        let confirms = known.is_some_and(|e| e.is_confirmed_by(&update));
        if !confirms && known.is_some_and(|e| e.position >= update.position) {
            return false;
        }
        let id = update.id.clone();
        self.era = self.era.max(update.position.era);
        let entry = ServerEntry::updated(now, known, update);
        self.entries.insert(id, entry);
        self.changes += 1;
        true
    }

    /// Applies the start or the end of an evacuation; returns whether it changed the list.
    ///
    /// An update of an earlier era than that of the list is ignored.
    pub fn apply_zone(&mut self, update: ZoneUpdate) -> bool {
        if update.position.era < self.era {
            return false;
        }
        self.era = self.era.max(update.position.era);
        let changed = self.evacuations.apply(update);
        self.changes += u64::from(changed);
        changed
    }

    /// Returns whether the operator evacuates an availability zone, so that its backend servers get
    /// no requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.contains(zone)
    }

    /// Returns the evacuated availability zones.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &CompactString> {
        self.evacuations.active()
    }

    /// Returns the listed backend servers; of those with the same address, only the one that
    /// started last, since the earlier one must have ended.
    ///
    /// When many instances lose power and restart, their earlier entries stay listed for seconds,
    /// and requests to them would only be refused.
    pub fn current(&self) -> impl Iterator<Item = &ServerRecord> {
        let mut latest: HashMap<SocketAddr, (u64, StorePosition)> = HashMap::new();
        for (start, record) in self.starts() {
            let known = latest.entry(record.address).or_insert(start);
            *known = start.max(*known);
        }
        self.starts()
            .filter(move |(start, record)| latest.get(&record.address) == Some(start))
            .map(|(_, record)| record)
    }

    /// Returns each listed backend server with its start time, followed by its position to break
    /// ties.
    fn starts(&self) -> impl Iterator<Item = ((u64, StorePosition), &ServerRecord)> {
        let live = self
            .entries
            .values()
            .filter_map(|e| Some((e.position, e.live()?)));
        live.map(|(position, record)| ((record.born.unwrap_or(0), position), record))
    }

    /// Applies a complete read of the list at `position`; entries missing from it were removed.
    ///
    /// If the read is of a later era than the list, the store has come back from a copy. Missing
    /// entries are then kept for a while, since live backend servers are listed again, and entries
    /// that are known to be newer than the copy stay as they were known.
    pub fn replace(
        &mut self,
        now: Millis,
        updates: Vec<ServerUpdate>,
        position: StorePosition,
        lapsed: bool,
    ) -> Option<StoreReturn> {
        let before = self.position;
        let returned = self.is_of_earlier_era(position.era);
        let in_use = self.in_use();
        let lapsed = lapsed || returned;
        let listed = updates.iter().filter(|u| u.record.is_some());
        let listed: HashSet<CompactString> = listed.map(|u| u.id.clone()).collect();
        for update in updates {
            self.apply(now, update);
        }
        for removal in self.removals(&listed, position, lapsed) {
            self.apply(now, removal);
        }
        self.advance(position);
        self.removals_from = self.removals_from.max(position);
        returned.then(|| self.describe_return(before, &in_use))
    }

    /// Applies the evacuations of a complete read at `position`; those missing from it have ended.
    ///
    /// After the store came back from a copy, the evacuations that it holds are in force: an
    /// operator looks there for them.
    pub fn replace_zones(&mut self, updates: &[ZoneUpdate], position: StorePosition) {
        if position.era < self.era {
            return;
        }
        let changed = self.evacuations.replace(updates, position);
        self.changes += u64::from(changed);
    }

    /// Returns whether the list holds anything of an era before this one.
    fn is_of_earlier_era(&self, era: u64) -> bool {
        let mut listed = self.entries.values().filter(|e| e.record.is_some());
        let complete = self.position.is_known() && self.position.era < era;
        complete || listed.any(|e| e.position.era < era)
    }

    /// Returns the removals of the entries that a complete read at `position` does not list.
    fn removals(
        &self,
        listed: &HashSet<CompactString>,
        position: StorePosition,
        lapsed: bool,
    ) -> Vec<ServerUpdate> {
        let missing = self.entries.iter().filter(|(id, e)| {
            e.record.is_some() && e.position <= position && !listed.contains(*id)
        });
        missing
            .map(|(id, _)| ServerUpdate {
                id: id.clone(),
                position,
                record: None,
                lapsed,
                kept: None,
            })
            .collect()
    }

    /// Returns the ids of the listed backend servers.
    fn in_use(&self) -> HashSet<CompactString> {
        self.servers().map(|record| record.id.clone()).collect()
    }

    fn describe_return(
        &self,
        before: StorePosition,
        in_use: &HashSet<CompactString>,
    ) -> StoreReturn {
        let kept = self.entries.values().filter(|e| e.is_kept());
        let now_used = self.in_use();
        StoreReturn {
            before,
            after: self.position,
            kept: kept.clone().filter(|e| e.record.is_none()).count(),
            withheld: kept.filter(|e| e.record.is_some()).count(),
            dropped: in_use.difference(&now_used).count(),
        }
    }

    /// Records that the list is complete up to `position`.
    pub fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
        self.era = self.era.max(position.era);
    }

    /// Ends the belief in earlier knowledge whose time is over, and discards old tombstones.
    ///
    /// Returns whether the list changed.
    pub fn expire(&mut self, now: Millis) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            changed |= entry.expire(now);
        }
        self.discard_tombstones(now);
        self.changes += u64::from(changed);
        changed
    }

    fn discard_tombstones(&mut self, now: Millis) {
        let removals_from = &mut self.removals_from;
        self.entries.retain(|_, entry| {
            let retained = entry.live().is_some() || now.since(entry.changed) < TOMBSTONE_MS;
            if !retained {
                *removals_from = entry.position.max(*removals_from);
            }
            retained
        });
    }

    /// Returns what another list lacks that is complete up to `position`.
    ///
    /// A list does not know the removals from before its last complete read, nor those that it has
    /// discarded. A list that is older than these needs all entries.
    pub fn updates_since(&self, now: Millis, position: StorePosition) -> ListUpdate {
        let whole = position < self.removals_from;
        let newer = self
            .entries
            .iter()
            .filter(|(_, e)| whole || e.position > position);
        ListUpdate {
            position: self.position,
            whole,
            updates: newer.map(|(id, e)| e.to_update(now, id)).collect(),
            zones: self.evacuations.updates_since(position, whole),
        }
    }

    /// Applies what another list has; returns what became of the list if the store had come back
    /// from a copy.
    pub fn merge(&mut self, now: Millis, update: ListUpdate) -> Option<StoreReturn> {
        let ListUpdate {
            position,
            whole,
            updates,
            zones,
        } = update;
        if whole {
            self.replace_zones(&zones, position);
            return self.replace(now, updates, position, false);
        }
        for update in updates {
            self.apply(now, update);
        }
        for zone in zones {
            self.apply_zone(zone);
        }
        self.advance(position);
        None
    }
}
