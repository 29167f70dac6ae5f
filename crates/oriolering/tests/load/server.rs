//! A simulated backend server whose speed changes during its runs.

use std::collections::BTreeMap;

/// The units of work done in a millisecond at the usual speed.
const UNITS_PER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Run {
    left: u64,
    since: u64,
}

/// A backend server that works at its usual speed or slower.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    percent: u32,
    runs: BTreeMap<usize, Run>,
}

impl Server {
    pub(crate) fn new() -> Self {
        Self {
            percent: 100,
            runs: BTreeMap::new(),
        }
    }

    /// Returns the current processing time as a percentage of the usual.
    pub(crate) fn percent(&self) -> u32 {
        self.percent
    }

    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }

    /// Starts a run; returns when it ends at the current speed.
    pub(crate) fn start(&mut self, now: u64, call: usize, work_ms: u64) -> u64 {
        let left = work_ms * UNITS_PER_MS;
        self.runs.insert(call, Run { left, since: now });
        self.end_time_of(&Run { left, since: now })
    }

    /// Removes a run; returns whether it existed.
    pub(crate) fn stop(&mut self, call: usize) -> bool {
        self.runs.remove(&call).is_some()
    }

    /// Returns when a run ends at the current speed.
    pub(crate) fn end_time(&self, call: usize) -> Option<u64> {
        self.runs.get(&call).map(|run| self.end_time_of(run))
    }

    /// Changes the speed; returns the new end times of all runs.
    pub(crate) fn set_percent(&mut self, now: u64, percent: u32) -> Vec<(usize, u64)> {
        let speed = self.speed();
        for run in self.runs.values_mut() {
            run.left = run.left.saturating_sub((now - run.since) * speed);
            run.since = now;
        }
        self.percent = percent;
        let runs = self.runs.iter();
        runs.map(|(call, run)| (*call, self.end_time_of(run)))
            .collect()
    }

    fn speed(&self) -> u64 {
        UNITS_PER_MS * 100 / u64::from(self.percent)
    }

    fn end_time_of(&self, run: &Run) -> u64 {
        run.since + run.left.div_ceil(self.speed())
    }
}
