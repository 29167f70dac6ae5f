//! Requests and their attempts.

use crate::callers::Behavior;

/// The usual processing time of a backend server, as a percentage.
pub(crate) const USUAL_PERCENT: u64 = 100;

/// A request at one gate.
pub(crate) struct Attempt {
    pub(crate) gate: usize,
    /// When the attempt was sent.
    pub(crate) sent: u64,
    /// The estimated processing time at the usual speed, at the time of sending.
    pub(crate) work_ms: u64,
    /// When the ingress last checked the attempt.
    checked: u64,
    /// The estimated work done until the last check, in microseconds.
    done_us: u64,
    /// When the attempt began to run, and the processing time then, as a percentage of the usual.
    started: Option<(u64, u32)>,
}

impl Attempt {
    pub(crate) fn new(gate: usize, sent: u64, work_ms: u64) -> Self {
        Self {
            gate,
            sent,
            work_ms,
            checked: sent,
            done_us: 0,
            started: None,
        }
    }

    /// Adds the work done since the last check; returns the total in milliseconds.
    pub(crate) fn update_progress(&mut self, now: u64, percent: u64) -> u64 {
        let span = now - self.checked;
        self.done_us += span * 1_000 * USUAL_PERCENT / percent.max(USUAL_PERCENT);
        self.checked = now;
        self.done_us / 1_000
    }
}

/// A request of a caller.
pub(crate) struct Call {
    pub(crate) ingress: usize,
    pub(crate) arrived: u64,
    pub(crate) behavior: Behavior,
    /// How many times the caller has sent the request.
    pub(crate) tries: u32,
    /// The time after which the caller may retry that a gate named last, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    /// The gates that have refused the request.
    pub(crate) tried: Vec<usize>,
    pub(crate) refusals: usize,
    /// The attempts in progress.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the request has been sent to a second gate while the first one had it.
    pub(crate) has_second_run: bool,
    pub(crate) ended: bool,
}

impl Call {
    pub(crate) fn new(ingress: usize, arrived: u64, behavior: Behavior, tries: u32) -> Self {
        Self {
            ingress,
            arrived,
            behavior,
            tries,
            retry_after_ms: None,
            tried: Vec::new(),
            refusals: 0,
            attempts: Vec::new(),
            has_second_run: false,
            ended: false,
        }
    }

    /// Returns the attempt at a gate.
    pub(crate) fn attempt(&mut self, gate: usize) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.gate == gate)
    }

    /// Records the refusal of a gate; returns whether no other attempt is in progress.
    pub(crate) fn refused_by(&mut self, gate: usize) -> bool {
        self.attempts.retain(|a| a.gate != gate);
        self.tried.push(gate);
        let ended = self.attempts.is_empty();
        self.refusals += usize::from(ended);
        ended
    }

    /// Records the start of a run.
    pub(crate) fn start(&mut self, gate: usize, now: u64, percent: u32) {
        match self.attempt(gate) {
            Some(attempt) => attempt.started = Some((now, percent)),
            // With the single queue, requests are not sent before they run.
            None => {
                let mut attempt = Attempt::new(gate, now, 0);
                attempt.started = Some((now, percent));
                self.attempts.push(attempt);
            }
        }
    }

    /// Returns when the run at a gate began, and the processing time then as a percentage.
    pub(crate) fn started(&mut self, gate: usize) -> (u64, u32) {
        let started = self.attempt(gate).and_then(|a| a.started);
        started.expect("the attempt is running")
    }
}
