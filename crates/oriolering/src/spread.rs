//! Quarantines that spread from peer to peer, bounded in number and age.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The largest number of quarantines that a node holds.
pub const QUARANTINES_MAX: usize = 256;
/// The longest time that a quarantine may have left.
pub const QUARANTINE_MAX_MS: u32 = 15 * 60 * 1000;

/// A request that no backend server may run for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The time left in milliseconds.
    pub left_ms: u32,
}

/// The quarantines that a node has heard of.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    ends: BTreeMap<u64, Millis>,
}

impl Spread {
    /// Takes in an entry and returns whether it was unknown.
    ///
    /// A full table and a time above [`QUARANTINE_MAX_MS`] are refused. A known entry keeps its
    /// first end, so that peers cannot extend a quarantine by passing it round.
    pub fn insert(&mut self, now: Millis, entry: QuarantineEntry) -> bool {
        self.expire(now);
        if entry.left_ms == 0 || entry.left_ms > QUARANTINE_MAX_MS {
            return false;
        }
        if self.ends.len() >= QUARANTINES_MAX || self.ends.contains_key(&entry.fingerprint) {
            return false;
        }
        let end = now + u64::from(entry.left_ms);
        self.ends.insert(entry.fingerprint, end);
        true
    }

    /// Returns up to `limit` entries, those with the most time left first.
    pub fn entries(&mut self, now: Millis, limit: usize) -> Vec<QuarantineEntry> {
        self.expire(now);
        let mut entries: Vec<_> = self
            .ends
            .iter()
            .map(|(&fingerprint, end)| QuarantineEntry {
                fingerprint,
                left_ms: end.since(now) as u32,
            })
            .collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.left_ms));
        entries.truncate(limit);
        entries
    }

    fn expire(&mut self, now: Millis) {
        self.ends.retain(|_, end| *end > now);
    }
}
