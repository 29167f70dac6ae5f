//! What a node does about requests that backend servers die of.

use oriolering::QuarantineEntry;

use crate::state::Node;

impl Node {
    /// Notes the death of the local backend server and the requests that were running.
    pub(crate) fn crashed(&self, suspects: &[u64]) {
        let now = self.clock.now();
        self.metrics.backend_deaths.add(1, &[]);
        log::warn!(suspects = suspects.len(); "backend server refuses connections");
        self.quarantine.lock().crashed(now, suspects);
    }

    /// Clears a request that has finished a run.
    pub(crate) fn cleared(&self, fingerprint: u64) {
        self.quarantine.lock().cleared(fingerprint);
    }

    /// Takes up quarantines that peers have spread.
    pub(crate) fn adopt(&self, entries: &[QuarantineEntry]) {
        let now = self.clock.now();
        self.quarantine.lock().adopt(now, entries);
    }
}
