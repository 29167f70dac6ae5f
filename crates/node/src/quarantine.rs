//! Requests that are refused because backend servers died running them.

use std::collections::HashMap;

use oriolering::{Millis, QuarantineEntry};

const MAX_ENTRIES: usize = 256;

/// Suspects and quarantined requests by fingerprint.
#[derive(Debug)]
pub(crate) struct Quarantine {
    duration: u64,
    suspects: HashMap<u64, Millis>,
    until: HashMap<u64, Millis>,
}

impl Quarantine {
    /// Returns an empty table whose entries last `duration` milliseconds.
    pub(crate) fn new(duration: u64) -> Self {
        Self {
            duration,
            suspects: HashMap::new(),
            until: HashMap::new(),
        }
    }

    /// Sets how long new entries last.
    pub(crate) fn set_duration(&mut self, duration: u64) {
        self.duration = duration;
    }

    /// Returns the milliseconds for which a request is still refused.
    pub(crate) fn left(&self, now: Millis, fingerprint: u64) -> Option<u32> {
        let until = self.until.get(&fingerprint)?;
        let left = until.since(now);
        (left > 0).then_some(left as u32)
    }

    /// Notes a death and the requests that were running; a second death quarantines.
    pub(crate) fn crashed(&mut self, now: Millis, suspects: &[u64]) {
        self.forget(now);
        for fingerprint in suspects.iter().copied().filter(|f| *f != 0) {
            if self.suspects.remove(&fingerprint).is_some() {
                self.until.insert(fingerprint, now + self.duration);
            } else if self.suspects.len() < MAX_ENTRIES {
                self.suspects.insert(fingerprint, now);
            }
        }
    }

    /// Clears a suspect that finished a run.
    pub(crate) fn cleared(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Takes up entries of peers; a longer time in force stays.
    pub(crate) fn adopt(&mut self, now: Millis, entries: &[QuarantineEntry]) {
        self.forget(now);
        for entry in entries.iter().take(MAX_ENTRIES) {
            let until = self.until.entry(entry.fingerprint).or_default();
            *until = (*until).max(now + u64::from(entry.left_ms));
        }
    }

    /// Walks the entries in force.
    pub(crate) fn entries(&self, now: Millis) -> impl Iterator<Item = QuarantineEntry> + '_ {
        self.until.iter().filter_map(move |(fingerprint, until)| {
            let left = until.since(now);
            (left > 0).then_some(QuarantineEntry {
                fingerprint: *fingerprint,
                left_ms: left as u32,
            })
        })
    }

    fn forget(&mut self, now: Millis) {
        let duration = self.duration;
        self.suspects.retain(|_, at| now.since(*at) < duration);
        self.until.retain(|_, until| until.since(now) > 0);
    }
}
