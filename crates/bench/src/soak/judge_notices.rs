//! Finds requests beyond what backend servers say of themselves in their answers.

use std::collections::HashMap;

use compact_str::{CompactString, format_compact};

use super::client::Attempt;
use super::journal::{Run, Saying};
use super::judge::{Breach, Case, Rule};

/// The span in which the requests of a limited backend server are counted; the rules' figure.
const SPAN_MS: u64 = 4_000;
/// How long a machine that was told may send as before, in milliseconds; the rules' figure.
const TOLD_MS: u64 = 500;
/// The requests that are allowed beside one and a half times the limit; the rules' figure.
const LIMIT_SLACK: f64 = 5.0;

/// What happens to a node that lets it forget what it was told, or not act on it.
const FORGETS: [&str; 5] = ["Kill", "Freeze", "Terminate", "replace", "all killed"];

pub(crate) fn notice_breaches(case: &Case<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (server, sayings) in &case.journal.sayings {
        let ends = sayings.iter().skip(1).map(|next| next.at_ms);
        for (saying, end_ms) in sayings.iter().zip(ends.chain([u64::MAX])) {
            breaches.extend(case.beyond_limit(server, *saying, end_ms));
        }
        let first = sayings.iter().find(|saying| saying.leaving);
        breaches.extend(
            first
                .into_iter()
                .flat_map(|saying| case.after_leaving(server, *saying)),
        );
    }
    breaches
}

impl Case<'_> {
    /// Finds the first span with too many requests from machines that had been told.
    fn beyond_limit(&self, server: &CompactString, saying: Saying, end_ms: u64) -> Option<Breach> {
        let per_s = f64::from(saying.limit?) / 1_000.0;
        let allowed = (1.5 * per_s * SPAN_MS as f64 / 1_000.0 + LIMIT_SLACK) as usize;
        let told = self.told(server, saying.at_ms);
        let mut arrivals = self.arrivals(server, &told);
        arrivals.sort_unstable();
        let judged_ms = saying.at_ms + self.bounds.stable_window_ms;
        let ends = arrivals.iter().enumerate();
        let ends = ends.filter(|(_, ms)| (judged_ms..end_ms).contains(*ms));
        for (i, last_ms) in ends {
            let first = arrivals.partition_point(|ms| ms + SPAN_MS <= *last_ms);
            let count = i + 1 - first;
            if count > allowed && !self.journal.was_frozen(server, arrivals[first], *last_ms) {
                let line = format!("{count} in {SPAN_MS} ms, {allowed} allowed, since {saying:?}");
                return Some(self.notice_breach(Rule::Limit, *last_ms, server, line));
            }
        }
        None
    }

    /// Finds requests that were sent long after their machine had passed on that a backend
    /// server leaves.
    fn after_leaving(&self, server: &CompactString, saying: Saying) -> Vec<Breach> {
        let told = self.told(server, saying.at_ms);
        let mut breaches = Vec::new();
        for attempt in &self.journal.attempts {
            let Some(told_ms) = told.get(&attempt.machine) else {
                continue;
            };
            let late = attempt.sent_ms > told_ms + self.bounds.drain_ms;
            let mut runs = self.journal.runs_of(attempt).iter();
            let reached = runs.find(|run| run.server == *server);
            let Some(run) = reached.filter(|_| late) else {
                continue;
            };
            if !self.may_forget(attempt.machine, *told_ms, run.reached_ms) {
                let line = format!("sent {}, told {told_ms}, {run:?}", attempt.sent_ms);
                breaches.push(self.notice_breach(Rule::Leaving, run.reached_ms, server, line));
            }
        }
        breaches
    }

    /// Returns when each machine first passed on an answer of a backend server to a request that
    /// reached it after a time.
    fn told(&self, server: &str, since_ms: u64) -> HashMap<usize, u64> {
        let mut told: HashMap<usize, u64> = HashMap::new();
        for attempt in &self.journal.attempts {
            if self.answered_by(attempt, server, since_ms) {
                let first = told.entry(attempt.machine).or_insert(attempt.ended_ms);
                *first = attempt.ended_ms.min(*first);
            }
        }
        told
    }

    /// Returns whether an attempt got the answer of this backend server alone.
    fn answered_by(&self, attempt: &Attempt, server: &str, since_ms: u64) -> bool {
        let own = attempt.told.reply().is_some_and(|r| r.signed == Some(true));
        let is_new = |run: &Run| run.server == server && run.reached_ms >= since_ms;
        match self.journal.runs_of(attempt) {
            [run] => own && is_new(run),
            _ => false,
        }
    }

    /// Returns when requests and probes reached a backend server from machines that had been
    /// told.
    fn arrivals(&self, server: &str, told: &HashMap<usize, u64>) -> Vec<u64> {
        let knows = |machine: usize, at_ms: u64| {
            let told_ms = told.get(&machine).filter(|ms| **ms + TOLD_MS <= at_ms);
            told_ms.is_some_and(|ms| !self.may_forget(machine, *ms, at_ms))
        };
        let there = |run: &&Run| run.server == server;
        let mut arrivals = Vec::new();
        for attempt in &self.journal.attempts {
            let runs = self.journal.runs_of(attempt).iter().filter(there);
            let runs = runs.filter(|run| knows(attempt.machine, run.reached_ms));
            arrivals.extend(runs.map(|run| run.reached_ms));
        }
        for (id, runs) in &self.journal.runs {
            let caller = self.journal.caller_of(id);
            let host = caller.and_then(|(run, _)| self.journal.hosts.get(&run.server));
            let Some(machine) = host else {
                continue;
            };
            let runs = runs.iter().filter(there);
            let runs = runs.filter(|run| knows(*machine, run.reached_ms));
            arrivals.extend(runs.map(|run| run.reached_ms));
        }
        let probes = self.journal.probes.get(server).into_iter().flatten();
        if let Some(machine) = self.journal.hosts.get(server) {
            arrivals.extend(probes.filter(|ms| knows(*machine, **ms)));
        }
        arrivals
    }

    /// Returns whether a machine was started again or stood still in a span.
    fn may_forget(&self, machine: usize, from_ms: u64, to_ms: u64) -> bool {
        let mut around = self.journal.disruptions_of(machine, from_ms, to_ms, 0);
        around.any(|d| FORGETS.iter().any(|what| d.what.starts_with(what)))
    }

    fn notice_breach(&self, rule: Rule, at_ms: u64, server: &str, line: String) -> Breach {
        Breach {
            seed: self.journal.seed,
            rule,
            at_ms,
            id: format_compact!("(server {server})"),
            lines: vec![line],
        }
    }
}
