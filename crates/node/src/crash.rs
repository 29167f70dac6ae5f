//! What a node does about requests that backend servers die of.

use oriolering::QuarantineEntry;

use crate::state::Node;

impl Node {
    /// Notes the death of the local backend server and the requests that were running.
    pub(crate) fn crashed(&self, suspects: &[u64]) {
        let now = self.clock.now();
        self.metrics.backend_deaths.add(1, &[]);
        log::warn!(suspects = suspects.len(); "backend server refuses connections");
        let mut quarantine = self.quarantine.lock();
        let count = quarantine.record_crash(now, suspects);
        let entries = quarantine.export(now);
        drop(quarantine);
        if count > 0 {
            log::warn!(requests = count; "requests quarantined after a second death");
        }
        if let Some(control) = self.control() {
            entries.iter().for_each(|entry| control.spread(*entry));
        }
    }

    /// Clears a request that has finished a run.
    pub(crate) fn cleared(&self, fingerprint: u64) {
        let now = self.clock.now();
        self.quarantine.lock().record_finish(now, fingerprint);
    }

    /// Takes up quarantines that peers have spread.
    pub(crate) fn adopt(&self, entries: &[QuarantineEntry]) {
        let now = self.clock.now();
        self.quarantine.lock().import(now, entries);
    }
}
