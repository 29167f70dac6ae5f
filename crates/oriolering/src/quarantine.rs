//! Quarantine of requests that crash the backend servers that run them.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis};

use Verdict::{Quarantined, Suspect};

/// How long after a finished run a request cannot become suspect, in milliseconds.
const FINISHED_MS: u64 = 10_000;
/// The number of slots for recently finished requests.
const FINISHED_SLOTS: usize = 1_024;
/// The maximum number of entries in one export or import.
const EXPORT_MAX: usize = 64;

/// The settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// The maximum number of entries, suspects included.
    pub capacity: u32,
    /// How long a request is quarantined, in milliseconds.
    pub quarantine_ms: u64,
    /// How long a request remains suspect after a crash, in milliseconds.
    pub suspect_ms: u64,
}

/// The identity of one crash of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation of the gate that observed the crash.
    pub gate: Incarnation,
    /// The sequence number of the crash at that gate.
    pub number: u32,
}

/// How a request is treated, depending on whether it was in flight at one crash or at two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request was in flight at one crash, and may still run.
    Suspect,
    /// The request was in flight at two crashes, and is refused.
    Quarantined,
}

/// A quarantine entry that nodes exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The latest crash at which the request was in flight.
    pub crash: Crash,
    /// How the request is treated.
    pub verdict: Verdict,
    /// The remaining time for which the entry is valid, in milliseconds.
    pub remaining: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    fingerprint: u64,
    crash: Crash,
    verdict: Verdict,
    expires: Millis,
    local: bool,
}

/// A bounded table of the requests that were in flight when backend servers crashed.
///
/// A request in flight at one crash is suspect until it finishes a run somewhere; a request in
/// flight at a second crash is quarantined for a limited time. A finished run clears both, since it
/// shows that the request does not crash every backend server that runs it. Only a node that
/// observed a crash of a request exports its entry, and importing an entry does not extend it, so
/// entries cannot outlive their time by circulating between nodes.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    gate: Incarnation,
    crashes: u32,
    entries: Vec<Entry>,
    finished: Vec<(u64, Millis)>,
}

impl Quarantine {
    /// Returns an empty table for the gate with this incarnation.
    pub fn new(settings: QuarantineSettings, gate: Incarnation) -> Self {
        Self {
            settings,
            gate,
            crashes: 0,
            entries: Vec::new(),
            finished: vec![(0, Millis(0)); FINISHED_SLOTS],
        }
    }

    /// Changes the settings; existing entries keep their expiry.
    pub fn update(&mut self, settings: QuarantineSettings) {
        self.settings = settings;
    }

    /// Records that the backend server crashed while the requests in `suspects` were running.
    ///
    /// A fingerprint of zero means that a request has none. Returns the number of requests that
    /// this crash caused to be quarantined.
    pub fn record_crash(&mut self, now: Millis, suspects: &[u64]) -> usize {
        self.crashes = self.crashes.wrapping_add(1);
        let crash = Crash {
            gate: self.gate,
            number: self.crashes,
        };
        let mut count = 0;
        for fingerprint in suspects {
            count += usize::from(self.add_crash(now, *fingerprint, crash));
        }
        count
    }

    /// Records that a request finished a run, which clears its entry.
    ///
    /// Returns whether it was suspect or quarantined.
    pub fn record_finish(&mut self, now: Millis, fingerprint: u64) -> bool {
        if fingerprint == 0 {
            return false;
        }
        self.finished[slot(fingerprint)] = (fingerprint, now);
        match self.position(fingerprint) {
            Some(index) => self.entries.swap_remove(index).expires > now,
            None => false,
        }
    }

    /// Returns the remaining quarantine time of a request in milliseconds, or `None` if it is not
    /// quarantined.
    pub fn remaining_ms(&self, now: Millis, fingerprint: u64) -> Option<u64> {
        let entry = self.get(now, fingerprint)?;
        match entry.verdict {
            Suspect => None,
            Quarantined => Some(entry.expires.since(now)),
        }
    }

    /// Returns whether a request was in flight at a crash and has not been cleared.
    ///
    /// Such a request is not retried after another failure, even if it is idempotent.
    pub fn is_suspect(&self, now: Millis, fingerprint: u64) -> bool {
        self.get(now, fingerprint).is_some()
    }

    /// Returns the valid entries of crashes that this node observed, quarantined requests first.
    pub fn export(&self, now: Millis) -> Vec<QuarantineEntry> {
        let valid = self.entries.iter().filter(|e| e.local && e.expires > now);
        let mut entries: Vec<QuarantineEntry> = valid
            .map(|entry| QuarantineEntry {
                fingerprint: entry.fingerprint,
                crash: entry.crash,
                verdict: entry.verdict,
                remaining: u32::try_from(entry.expires.since(now)).unwrap_or(u32::MAX),
            })
            .collect();
        entries.sort_by_key(|entry| (entry.verdict == Suspect, entry.fingerprint));
        entries.truncate(EXPORT_MAX);
        entries
    }

    /// Merges the entries that a peer exported, limited to the usual number and duration.
    ///
    /// Entries of crashes that are already known change nothing. Returns the requests among them
    /// that recently finished a run here, which the peer does not know yet.
    pub fn import(&mut self, now: Millis, entries: &[QuarantineEntry]) -> Vec<u64> {
        let mut finished = Vec::new();
        for entry in entries.iter().take(EXPORT_MAX) {
            if entry.fingerprint == 0 {
                continue;
            }
            match self.finished_recently(now, entry.fingerprint) {
                true => finished.push(entry.fingerprint),
                false => self.merge(now, entry),
            }
        }
        finished
    }

    /// Returns the number of entries, including expired ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a crash observed here for a request, and returns whether that quarantines it.
    fn add_crash(&mut self, now: Millis, fingerprint: u64, crash: Crash) -> bool {
        if fingerprint == 0 || self.finished_recently(now, fingerprint) {
            return false;
        }
        let known = self.get(now, fingerprint);
        if known.is_some_and(|entry| entry.crash == crash) {
            return false;
        }
        let (verdict, ms) = match known {
            None => (Suspect, self.settings.suspect_ms),
            Some(_) => (Quarantined, self.settings.quarantine_ms),
        };
        let entry = Entry {
            fingerprint,
            crash,
            verdict,
            expires: now + ms,
            local: true,
        };
        self.insert(now, entry);
        verdict == Quarantined
    }

    /// Merges an entry of a peer, unless the request is already quarantined.
    fn merge(&mut self, now: Millis, entry: &QuarantineEntry) {
        let known = self.get(now, entry.fingerprint).copied();
        let verdict = match known {
            None => entry.verdict,
            Some(known) if known.verdict == Quarantined => return,
            Some(known) if known.crash != entry.crash => Quarantined,
            Some(_) => match entry.verdict {
                Suspect => return,
                Quarantined => Quarantined,
            },
        };
        let remaining = u64::from(entry.remaining);
        let ms = match (entry.verdict, verdict) {
            (Suspect, Suspect) => remaining.min(self.settings.suspect_ms),
            (Suspect, Quarantined) => self.settings.quarantine_ms,
            (Quarantined, _) => remaining.min(self.settings.quarantine_ms),
        };
        let entry = Entry {
            fingerprint: entry.fingerprint,
            crash: entry.crash,
            verdict,
            expires: now + ms,
            local: known.is_some_and(|known| known.local),
        };
        self.insert(now, entry);
    }

    /// Stores an entry; at capacity it evicts expired entries, then the one that expires first.
    fn insert(&mut self, now: Millis, entry: Entry) {
        if let Some(index) = self.position(entry.fingerprint) {
            self.entries[index] = entry;
            return;
        }
        let capacity = self.settings.capacity.max(1) as usize;
        if self.entries.len() >= capacity {
            self.entries.retain(|entry| entry.expires > now);
        }
        while self.entries.len() >= capacity {
            self.evict();
        }
        self.entries.push(entry);
    }

    /// Evicts the suspect that expires first, or a quarantined request if there are no suspects.
    fn evict(&mut self) {
        let entries = self.entries.iter().enumerate();
        let first = entries.min_by_key(|(_, e)| (e.verdict == Quarantined, e.expires));
        if let Some((index, _)) = first {
            self.entries.swap_remove(index);
        }
    }

    fn get(&self, now: Millis, fingerprint: u64) -> Option<&Entry> {
        let entry = &self.entries[self.position(fingerprint)?];
        (entry.expires > now).then_some(entry)
    }

    fn position(&self, fingerprint: u64) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.fingerprint == fingerprint)
    }

    fn finished_recently(&self, now: Millis, fingerprint: u64) -> bool {
        let (last, at) = self.finished[slot(fingerprint)];
        last == fingerprint && now.since(at) < FINISHED_MS
    }
}

fn slot(fingerprint: u64) -> usize {
    (fingerprint % FINISHED_SLOTS as u64) as usize
}
