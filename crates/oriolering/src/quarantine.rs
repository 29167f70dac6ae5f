//! Quarantine of requests that crash the backend servers which run them.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis};

use Verdict::{Quarantined, Suspect};

/// The time in which a finished run keeps a request from being suspected.
const FINISHED_MS: u64 = 10_000;
/// The number of finished runs that are remembered.
const FINISHED: usize = 1_024;
/// The number of entries that are exported at once.
const EXPORT_MAX: usize = 64;

/// The settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// The number of requests that are kept, suspects included.
    pub capacity: u32,
    /// How long a request is quarantined, in milliseconds.
    pub quarantine_ms: u64,
    /// How long a request stays suspect after a crash, in milliseconds.
    pub suspect_ms: u64,
}

/// The identity of one crash of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation of the gate that saw it.
    pub gate: Incarnation,
    /// The number of the crash at that gate.
    pub number: u32,
}

/// Whether a request was in flight at one crash, or at two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was in flight at one crash, and is still run.
    Suspect,
    /// It was in flight at two crashes, and is refused.
    Quarantined,
}

/// What one node tells another about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The last crash at which the request was in flight.
    pub crash: Crash,
    /// How the request is treated.
    pub verdict: Verdict,
    /// How long the entry is still valid, in milliseconds.
    pub remaining: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    fingerprint: u64,
    crash: Crash,
    verdict: Verdict,
    until: Millis,
    local: bool,
}

/// A bounded table of the requests that were in flight when backend servers crashed.
///
/// A request in flight at one crash is a suspect until it finishes a run somewhere; one in
/// flight at a second crash is quarantined for a while. A finished run ends either, since the
/// request then does not crash each backend server that runs it. Only a node that saw a crash of a
/// request passes its entry on, and no import prolongs an entry, so that none outlives its
/// time by going round.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    gate: Incarnation,
    crashes: u32,
    entries: Vec<Entry>,
    finished: Vec<(u64, Millis)>,
}

impl Quarantine {
    /// Returns an empty table of the gate with this incarnation.
    pub fn new(settings: QuarantineSettings, gate: Incarnation) -> Self {
        Self {
            settings,
            gate,
            crashes: 0,
            entries: Vec::new(),
            finished: vec![(0, Millis(0)); FINISHED],
        }
    }

    /// Changes the settings; entries keep the time that they were given.
    pub fn update(&mut self, settings: QuarantineSettings) {
        self.settings = settings;
    }

    /// Records that the backend server crashed while the requests of `suspects` ran.
    ///
    /// A fingerprint of zero stands for none. Returns the number of requests that are
    /// quarantined by this crash.
    pub fn record_crash(&mut self, now: Millis, suspects: &[u64]) -> usize {
        self.crashes = self.crashes.wrapping_add(1);
        let crash = Crash {
            gate: self.gate,
            number: self.crashes,
        };
        let mut count = 0;
        for fingerprint in suspects {
            count += usize::from(self.record(now, *fingerprint, crash));
        }
        count
    }

    /// Records that a request finished a run, which clears it.
    ///
    /// Returns whether it was suspect or quarantined.
    pub fn record_finish(&mut self, now: Millis, fingerprint: u64) -> bool {
        if fingerprint == 0 {
            return false;
        }
        self.finished[slot(fingerprint)] = (fingerprint, now);
        match self.position(fingerprint) {
            Some(index) => self.entries.swap_remove(index).until > now,
            None => false,
        }
    }

    /// Returns how long a request is still quarantined, in milliseconds.
    pub fn remaining_ms(&self, now: Millis, fingerprint: u64) -> Option<u64> {
        let entry = self.get(now, fingerprint)?;
        match entry.verdict {
            Suspect => None,
            Quarantined => Some(entry.until.since(now)),
        }
    }

    /// Returns whether a request was in flight at a crash and has not been cleared.
    ///
    /// Such a request is not sent again after another failure, not even an idempotent one.
    pub fn is_suspect(&self, now: Millis, fingerprint: u64) -> bool {
        self.get(now, fingerprint).is_some()
    }

    /// Returns the valid entries of crashes that this node saw, quarantined ones first.
    pub fn export(&self, now: Millis) -> Vec<QuarantineEntry> {
        let valid = self.entries.iter().filter(|e| e.local && e.until > now);
        let mut entries: Vec<QuarantineEntry> = valid
            .map(|entry| QuarantineEntry {
                fingerprint: entry.fingerprint,
                crash: entry.crash,
                verdict: entry.verdict,
                remaining: u32::try_from(entry.until.since(now)).unwrap_or(u32::MAX),
            })
            .collect();
        entries.sort_by_key(|entry| (entry.verdict == Suspect, entry.fingerprint));
        entries.truncate(EXPORT_MAX);
        entries
    }

    /// Takes over what a peer exported; at most the usual number and time of entries.
    ///
    /// Entries of crashes that are known already change nothing. Returns the requests among
    /// them that have finished a run here lately, of which the peer does not know.
    pub fn import(&mut self, now: Millis, entries: &[QuarantineEntry]) -> Vec<u64> {
        let mut innocent = Vec::new();
        for entry in entries.iter().take(EXPORT_MAX) {
            if entry.fingerprint == 0 {
                continue;
            }
            match self.finished_lately(now, entry.fingerprint) {
                true => innocent.push(entry.fingerprint),
                false => self.adopt(now, entry),
            }
        }
        innocent
    }

    /// Returns the number of entries, valid or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a crash seen here to a request, and returns whether that quarantines it.
    fn record(&mut self, now: Millis, fingerprint: u64, crash: Crash) -> bool {
        if fingerprint == 0 || self.finished_lately(now, fingerprint) {
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
            until: now + ms,
            local: true,
        };
        self.put(now, entry);
        verdict == Quarantined
    }

    /// Takes over the entry of a peer, unless the request is quarantined already.
    fn adopt(&mut self, now: Millis, entry: &QuarantineEntry) {
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
            until: now + ms,
            local: known.is_some_and(|known| known.local),
        };
        self.put(now, entry);
    }

    /// Stores an entry in place of an old one, an ended one or the one that ends first.
    fn put(&mut self, now: Millis, entry: Entry) {
        if let Some(index) = self.position(entry.fingerprint) {
            self.entries[index] = entry;
            return;
        }
        let capacity = self.settings.capacity.max(1) as usize;
        if self.entries.len() >= capacity {
            self.entries.retain(|entry| entry.until > now);
        }
        while self.entries.len() >= capacity {
            self.evict();
        }
        self.entries.push(entry);
    }

    /// Drops the suspect that ends first, or a quarantined request when there is none.
    fn evict(&mut self) {
        let entries = self.entries.iter().enumerate();
        let first = entries.min_by_key(|(_, e)| (e.verdict == Quarantined, e.until));
        if let Some((index, _)) = first {
            self.entries.swap_remove(index);
        }
    }

    fn get(&self, now: Millis, fingerprint: u64) -> Option<&Entry> {
        let entry = &self.entries[self.position(fingerprint)?];
        (entry.until > now).then_some(entry)
    }

    fn position(&self, fingerprint: u64) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.fingerprint == fingerprint)
    }

    fn finished_lately(&self, now: Millis, fingerprint: u64) -> bool {
        let (last, at) = self.finished[slot(fingerprint)];
        last == fingerprint && now.since(at) < FINISHED_MS
    }
}

fn slot(fingerprint: u64) -> usize {
    (fingerprint % FINISHED as u64) as usize
}
