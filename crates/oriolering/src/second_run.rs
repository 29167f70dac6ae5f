//! Decides whether to start a second run of an idempotent request that is still running.
//!
//! The backend server that runs a request may become several times slower meanwhile, or stop
//! responding. A second run on another backend server is worth its cost only if it ends in time
//! and the first one does not.

/// The ratio of elapsed to expected time above which a backend server counts as unresponsive, in
/// percent.
const UNRESPONSIVE_PERCENT: u64 = 350;
/// The expected remaining duration of a slowdown, in milliseconds: half of the time for which a
/// noisy neighbour slows a backend server down.
const SLOWDOWN_MS: u64 = 150;
/// The minimum time by which a second run must be expected to end sooner, in milliseconds.
const MIN_GAIN_MS: u64 = 20;

/// The progress of a running request, and the estimates for a second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEstimate {
    /// How long the request has been running, in milliseconds.
    pub elapsed_ms: u64,
    /// The work that is done, in milliseconds at the usual speed.
    pub done_ms: u64,
    /// The total work of the request, in milliseconds at the usual speed.
    pub work_ms: u64,
    /// The current duration of work at its backend server, in percent of the usual duration.
    pub slowdown_percent: u64,
    /// The expected duration of a second run on another backend server, in milliseconds.
    pub elsewhere_ms: u64,
    /// The time left to meet the latency target, in milliseconds.
    pub aim_ms: u64,
    /// The time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl RunEstimate {
    /// Returns how much longer the run is expected to take, in milliseconds.
    fn expected_remaining_ms(self) -> u64 {
        let done = self.done_ms.min(self.work_ms * 9 / 10);
        let rest = self.work_ms - done;
        let slow = rest * self.slowdown_percent / 100;
        slow.min(SLOWDOWN_MS + rest)
    }

    /// Returns the least duration to assume for a second run, in milliseconds.
    ///
    /// Unless the backend server of the first run is unresponsive, the work takes at least as long as
    /// the first run has taken so far, so a second run with less time left would be wasted.
    fn least_elsewhere_ms(self) -> u64 {
        self.elsewhere_ms.max(self.done_ms)
    }

    /// Returns whether the run has taken so long that a response may never arrive.
    fn is_unresponsive(self) -> bool {
        let expected = self.work_ms * self.slowdown_percent.max(100) / 100;
        self.elapsed_ms * 100 > expected * UNRESPONSIVE_PERCENT
    }
}

/// Returns whether a second run is expected to respond in time while the first one is not.
pub fn should_start_second_run(run: RunEstimate) -> bool {
    if run.least_elsewhere_ms() >= run.remaining_ms {
        return false;
    }
    if run.is_unresponsive() {
        return true;
    }
    let remaining = run.expected_remaining_ms();
    let in_time = run.elsewhere_ms <= run.aim_ms;
    in_time && remaining > run.aim_ms && run.elsewhere_ms + MIN_GAIN_MS < remaining
}
