//! Whether an idempotent request that still runs is sent to a second backend server.
//!
//! The load that this answers: the backend server that runs a request becomes several times
//! slower in the middle of it, or falls silent. A second run elsewhere is worth its cost only
//! where it ends in time and the first one does not.

/// How much longer than expected a run takes before its backend server counts as silent, in
/// slowdown_percent.
const SILENT_PERCENT: u64 = 350;
/// The time after which a slow pace is expected to have passed, in milliseconds: half of the time
/// for which a noisy neighbour slows a backend server down.
const SLOW_MS: u64 = 150;
/// By how much a second run must be expected to end sooner, in milliseconds.
const GAIN_MS: u64 = 20;

/// A request that runs, and what a second run of it would bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEstimate {
    /// How long it has run, in milliseconds.
    pub elapsed_ms: u64,
    /// How much of its work is done, as milliseconds at the usual pace.
    pub done_ms: u64,
    /// How long it takes at the usual pace, in milliseconds.
    pub work_ms: u64,
    /// How long work takes at its backend server now, as a percentage of the usual duration.
    pub slowdown_percent: u64,
    /// How long a second run is expected to take elsewhere, in milliseconds.
    pub elsewhere_ms: u64,
    /// What is left until its answer is worth less, in milliseconds.
    pub aim_ms: u64,
    /// What is left until its answer is of no use, in milliseconds.
    pub remaining_ms: u64,
}

impl RunEstimate {
    /// Returns how much longer the run is expected to take.
    fn expected_remaining_ms(self) -> u64 {
        let done = self.done_ms.min(self.work_ms * 9 / 10);
        let rest = self.work_ms - done;
        let slow = rest * self.slowdown_percent / 100;
        slow.min(SLOW_MS + rest)
    }

    /// Returns whether the run takes so long that its answer may never come.
    fn is_silent(self) -> bool {
        let expected = self.work_ms * self.slowdown_percent.max(100) / 100;
        self.elapsed_ms * 100 > expected * SILENT_PERCENT
    }
}

/// Returns whether a second run brings an answer in time that the first one does not.
pub fn should_start_second_run(run: RunEstimate) -> bool {
    if run.elsewhere_ms >= run.remaining_ms {
        return false;
    }
    if run.is_silent() {
        return true;
    }
    let remaining = run.expected_remaining_ms();
    let in_time = run.elsewhere_ms <= run.aim_ms;
    in_time && remaining > run.aim_ms && run.elsewhere_ms + GAIN_MS < remaining
}
