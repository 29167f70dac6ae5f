//! Compares what callers were told with what the backend servers ran.

use std::fmt;

use compact_str::CompactString;
use oriolering::Outcome;

use crate::backend_state::Runs;
use crate::call::{Call, Told};

/// A promise that a call shows broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Breach {
    /// Told "not run", yet it ran.
    RanAfterNotRun,
    /// Ran more than once although it may not be repeated.
    RanTwice,
    /// Got an answer that does not match the request.
    WrongAnswer,
    /// Got an answer although no backend server ran it.
    AnswerWithoutRun,
    /// Got no outcome: the caller had to give up by itself.
    NoOutcome,
}

/// A broken promise with its call.
#[derive(Clone, Debug)]
pub struct Violation {
    /// What was broken.
    pub breach: Breach,
    /// The number of the request.
    pub nonce: CompactString,
    /// What the caller was told.
    pub told: Told,
    /// How often it ran.
    pub runs: u32,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            breach,
            nonce,
            told,
            runs,
        } = self;
        write!(f, "{nonce}: {breach:?}, told {told:?}, ran {runs} times")
    }
}

/// Returns every call that shows a promise broken.
pub fn check_history(calls: &[Call], runs: &Runs) -> Vec<Violation> {
    let check = |call: &Call| {
        let count = runs.runs.get(&call.nonce).copied().unwrap_or(0);
        let breach = breach_of(call, count)?;
        Some(Violation {
            breach,
            nonce: call.nonce.clone(),
            told: call.told,
            runs: count,
        })
    };
    calls.iter().filter_map(check).collect()
}

fn breach_of(call: &Call, runs: u32) -> Option<Breach> {
    if !call.idempotent && runs > 1 {
        return Some(Breach::RanTwice);
    }
    match call.told {
        Told::Refused(Outcome::NotRun, _) if runs > 0 => Some(Breach::RanAfterNotRun),
        Told::Unsent if runs > 0 => Some(Breach::RanAfterNotRun),
        Told::WrongAnswer => Some(Breach::WrongAnswer),
        Told::Answer if runs == 0 => Some(Breach::AnswerWithoutRun),
        Told::GaveUp => Some(Breach::NoOutcome),
        Told::Answer
        | Told::Status(_)
        | Told::Cut
        | Told::Refused(_, _)
        | Told::Unsent
        | Told::Broken => None,
    }
}

/// Adds the runs of one backend server to those of others.
pub fn merge_runs(into: &mut Runs, from: &Runs) {
    for nonce in &from.order {
        into.start(nonce);
    }
}
