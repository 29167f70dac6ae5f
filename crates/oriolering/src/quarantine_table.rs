//! The quarantines and suspect requests that nodes pass on to each other.

use crate::{Millis, QuarantineEntry, Verdict};

/// The largest number of entries that a node keeps and passes on.
pub const QUARANTINES_MAX: usize = 256;
/// The longest remaining time of an entry, in milliseconds.
pub const QUARANTINE_MAX_MS: u32 = 15 * 60 * 1000;

#[derive(Clone, Copy, Debug)]
struct TimedEntry {
    entry: QuarantineEntry,
    end: Millis,
}

/// The entries that a node has received from its peers, by request and crash.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    entries: Vec<TimedEntry>,
}

impl QuarantineTable {
    /// Inserts an entry and returns whether it was new.
    ///
    /// An entry is rejected if the table is full or its remaining time is zero or above
    /// [`QUARANTINE_MAX_MS`]. A known entry keeps its first expiry, so that peers cannot extend a
    /// quarantine by passing it on in a cycle.
    pub fn insert(&mut self, now: Millis, entry: QuarantineEntry) -> bool {
        self.expire(now);
        if entry.remaining == 0 || entry.remaining > QUARANTINE_MAX_MS {
            return false;
        }
        if self.entries.len() >= QUARANTINES_MAX || self.covers(&entry) {
            return false;
        }
        let end = now + u64::from(entry.remaining);
        self.entries.push(TimedEntry { entry, end });
        true
    }

    /// Returns up to `limit` entries, longest remaining time first.
    pub fn entries(&mut self, now: Millis, limit: usize) -> Vec<QuarantineEntry> {
        self.expire(now);
        let mut entries: Vec<_> = self.entries.iter().map(|timed| timed.at(now)).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.remaining));
        entries.truncate(limit);
        entries
    }

    /// Returns whether the table has an entry for the same request and crash with the same or a
    /// stronger verdict.
    fn covers(&self, entry: &QuarantineEntry) -> bool {
        self.entries.iter().any(|timed| {
            let known = timed.entry;
            let same = known.fingerprint == entry.fingerprint && known.crash == entry.crash;
            same && (known.verdict == entry.verdict || known.verdict == Verdict::Quarantined)
        })
    }

    fn expire(&mut self, now: Millis) {
        self.entries.retain(|timed| timed.end > now);
    }
}

impl TimedEntry {
    /// Returns the entry with its remaining time at `now`.
    fn at(&self, now: Millis) -> QuarantineEntry {
        QuarantineEntry {
            remaining: self.end.since(now) as u32,
            ..self.entry
        }
    }
}
