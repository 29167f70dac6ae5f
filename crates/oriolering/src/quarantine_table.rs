//! The spread of suspects and quarantines between nodes.

use crate::{Millis, QuarantineEntry, Verdict};

/// The most entries that a node holds and passes on.
pub const QUARANTINES_MAX: usize = 256;
/// The longest time that an entry may have left.
pub const QUARANTINE_MAX_MS: u32 = 15 * 60 * 1000;

#[derive(Clone, Copy, Debug)]
struct Held {
    entry: QuarantineEntry,
    end: Millis,
}

/// The entries that a node has heard of, one for each request and crash.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    held: Vec<Held>,
}

impl QuarantineTable {
    /// Takes in an entry and returns whether it says anything new.
    ///
    /// A full table and a time above [`QUARANTINE_MAX_MS`] are refused. A known entry keeps its
    /// first end, so that peers cannot extend a quarantine by passing it round.
    pub fn insert(&mut self, now: Millis, entry: QuarantineEntry) -> bool {
        self.expire(now);
        if entry.remaining == 0 || entry.remaining > QUARANTINE_MAX_MS {
            return false;
        }
        if self.held.len() >= QUARANTINES_MAX || self.knows(&entry) {
            return false;
        }
        let end = now + u64::from(entry.remaining);
        self.held.push(Held { entry, end });
        true
    }

    /// Returns up to `limit` entries, those with the most time left first.
    pub fn entries(&mut self, now: Millis, limit: usize) -> Vec<QuarantineEntry> {
        self.expire(now);
        let mut entries: Vec<_> = self.held.iter().map(|held| held.at(now)).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.remaining));
        entries.truncate(limit);
        entries
    }

    /// Returns whether a held entry says at least as much as `entry`.
    fn knows(&self, entry: &QuarantineEntry) -> bool {
        self.held.iter().any(|held| {
            let known = held.entry;
            let same = known.fingerprint == entry.fingerprint && known.crash == entry.crash;
            same && (known.verdict == entry.verdict || known.verdict == Verdict::Quarantined)
        })
    }

    fn expire(&mut self, now: Millis) {
        self.held.retain(|held| held.end > now);
    }
}

impl Held {
    /// Returns the entry with the time that it has left.
    fn at(&self, now: Millis) -> QuarantineEntry {
        QuarantineEntry {
            remaining: self.end.since(now) as u32,
            ..self.entry
        }
    }
}
