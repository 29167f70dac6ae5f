//! Decides whether a failed attempt is repeated, within one budget for retries and hedges.

use crate::clock::Millis;
use crate::outcome::{Cause, Outcome, Refusal};

/// The length of one bucket of the window, in milliseconds.
const BUCKET_MS: u64 = 1000;
/// The number of buckets of the window.
const BUCKETS: usize = 10;
/// The number of retries per window that are allowed however low the traffic is.
const MIN_RETRIES: u64 = 3;

/// A budget for repeated attempts, as a share of the first attempts in a window of ten seconds.
///
/// Failed attempts reduce the budget: when everything fails, repeats do not help, and only the
/// minimum is left, so that requests do not multiply along deep call chains.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    buckets: [Bucket; BUCKETS],
    newest: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first: u64,
    failed: u64,
    repeated: u64,
}

impl RetryBudget {
    /// Returns an empty budget that allows `percent` repeated attempts per hundred first attempts.
    pub fn new(percent: u32, now: Millis) -> Self {
        Self {
            percent: u64::from(percent),
            buckets: [Bucket::default(); BUCKETS],
            newest: now.0 / BUCKET_MS,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self, now: Millis) {
        self.bucket(now).first += 1;
    }

    /// Counts a failed attempt.
    pub fn record_failure(&mut self, now: Millis) {
        self.bucket(now).failed += 1;
    }

    /// Counts a repeated attempt if the budget allows it, and returns whether it does.
    pub fn try_spend(&mut self, now: Millis) -> bool {
        self.bucket(now);
        let first: u64 = self.buckets.iter().map(|b| b.first).sum();
        let failed: u64 = self.buckets.iter().map(|b| b.failed).sum();
        let repeated: u64 = self.buckets.iter().map(|b| b.repeated).sum();
        let min_retries = if self.percent > 0 { MIN_RETRIES } else { 0 };
        let allowed = (first.saturating_sub(failed) * self.percent / 100).max(min_retries);
        if repeated >= allowed {
            return false;
        }
        self.bucket(now).repeated += 1;
        true
    }

    /// Returns the bucket of `now` after clearing the buckets that left the window.
    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let current = (now.0 / BUCKET_MS).max(self.newest);
        let passed = (current - self.newest).min(BUCKETS as u64);
        for step in 1..=passed {
            let i = (self.newest + step) % BUCKETS as u64;
            self.buckets[i as usize] = Bucket::default();
        }
        self.newest = current;
        &mut self.buckets[(current % BUCKETS as u64) as usize]
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The gate refused the attempt; it did not run and never will.
    Refused(Refusal),
    /// No byte of the attempt was sent.
    Unsent,
    /// The attempt may have run.
    MayHaveRun,
    /// The backend server crashed while it ran the attempt.
    Crashed,
}

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryState {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether an earlier attempt may have run.
    pub uncertain: bool,
    /// The number of attempts so far, including the one that failed.
    pub attempts: u32,
    /// The maximum number of attempts that the service allows.
    pub max_attempts: u32,
    /// The number of backend servers that crashed while running the request, including this one.
    pub crashes: u32,
    /// The time until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another backend server.
    Retry,
    /// Report the outcome to the caller.
    Answer(Outcome, Refusal),
}

/// Decides whether a failed attempt is repeated, and charges the repeat to `budget`.
///
/// A request that may have run is repeated only if it is idempotent, and never after a second
/// crash. The caller is told that it did *not run* only if no attempt may have run.
pub fn decide_retry(
    failure: Failure,
    attempt: &RetryState,
    budget: &mut RetryBudget,
    now: Millis,
) -> RetryDecision {
    let answer = answer_for(failure, attempt);
    if !is_exempt(failure) {
        budget.record_failure(now);
    }
    if attempt.attempts >= attempt.max_attempts
        || attempt.remaining_ms == 0
        || !may_repeat(failure, attempt)
    {
        return answer;
    }
    if is_exempt(failure) || budget.try_spend(now) {
        return RetryDecision::Retry;
    }
    answer
}

fn may_repeat(failure: Failure, attempt: &RetryState) -> bool {
    match failure {
        Failure::Unsent => true,
        Failure::Refused(refusal) => match refusal.cause {
            Cause::Full
            | Cause::Leaving
            | Cause::Fenced
            | Cause::Session
            | Cause::Unreachable
            | Cause::Unready => true,
            Cause::Share
            | Cause::Deadline
            | Cause::Quarantined
            | Cause::Cancelled
            | Cause::Invalid => false,
        },
        Failure::MayHaveRun => attempt.idempotent,
        Failure::Crashed => attempt.idempotent && attempt.crashes < 2,
    }
}

/// Returns whether a repeat is exempt from the budget, because the refusal was not for lack of
/// slots.
fn is_exempt(failure: Failure) -> bool {
    match failure {
        Failure::Refused(refusal) => matches!(refusal.cause, Cause::Leaving | Cause::Session),
        Failure::Unsent | Failure::MayHaveRun | Failure::Crashed => false,
    }
}

fn answer_for(failure: Failure, attempt: &RetryState) -> RetryDecision {
    let unreachable = Refusal {
        cause: Cause::Unreachable,
        retry_after: 0,
    };
    let (outcome, refusal) = match failure {
        Failure::Refused(refusal) => (refusal_outcome(refusal.cause), refusal),
        Failure::Unsent => (Outcome::NotRun, unreachable),
        Failure::MayHaveRun | Failure::Crashed => (Outcome::Unknown, unreachable),
    };
    let uncertain = attempt.uncertain || attempt.crashes > 0;
    match outcome {
        Outcome::NotRun if uncertain => RetryDecision::Answer(Outcome::Unknown, refusal),
        Outcome::NotRun | Outcome::Unknown | Outcome::Rejected => {
            RetryDecision::Answer(outcome, refusal)
        }
    }
}

fn refusal_outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Quarantined | Cause::Invalid => Outcome::Rejected,
        Cause::Full
        | Cause::Share
        | Cause::Deadline
        | Cause::Leaving
        | Cause::Fenced
        | Cause::Session
        | Cause::Unreachable
        | Cause::Unready
        | Cause::Cancelled => Outcome::NotRun,
    }
}
