//! Finds requests that were handled as no configuration in force allows.

use compact_str::CompactString;

use super::client::Attempt;
use super::journal::Configuration;
use super::judge::{Breach, Case, Rule};

/// A node on a machine that did not run undisturbed has this many times the slack.
const SLOWED_SLACK: u64 = 8;

/// How a request was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handled<'a> {
    By(&'a CompactString),
    NotFound,
}

impl Handled<'_> {
    fn is_allowed(self, prefix: &str, configuration: &Configuration) -> bool {
        match (self, configuration.routes.get(prefix)) {
            (Self::By(service), Some(services)) => services.contains(service),
            (Self::By(_), None) => false,
            (Self::NotFound, services) => services.is_none(),
        }
    }
}

/// Returns the prefix of the route that a path of the soak is on.
pub(crate) fn prefix_of(path: &str) -> &str {
    let end = path[1..].find('/').map_or(path.len(), |end| end + 2);
    &path[..end]
}

pub(crate) fn config_breaches(case: &Case<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for attempt in &case.journal.attempts {
        for (handled, _) in handled(case, attempt) {
            let rule = case.rule_of(attempt, handled);
            breaches.extend(rule.map(|rule| case.breach(rule, attempt)));
        }
    }
    breaches.extend(case.reverted());
    breaches
}

/// Returns how a request was handled, and when that was seen.
fn handled<'a>(case: &Case<'a>, attempt: &Attempt) -> Vec<(Handled<'a>, u64)> {
    let runs = case.journal.runs.get(&attempt.id).into_iter().flatten();
    let started = runs.filter_map(|run| Some((Handled::By(&run.service), run.started_ms?)));
    let mut all: Vec<_> = started.collect();
    let reply = attempt.told.reply();
    if reply.is_some_and(|reply| reply.status == 404 && reply.signed.is_none()) {
        all.push((Handled::NotFound, attempt.ended_ms));
    }
    all
}

impl Case<'_> {
    fn rule_of(&self, attempt: &Attempt, handled: Handled<'_>) -> Option<Rule> {
        let prefix = prefix_of(&attempt.path);
        let known = |c: &&Configuration| c.sent_ms <= attempt.ended_ms;
        let mut ever = self.journal.configurations.iter().filter(known);
        if handled != Handled::NotFound && !ever.any(|c| handled.is_allowed(prefix, c)) {
            return Some(Rule::Route);
        }
        let in_touch = self.entry_in_touch(attempt, attempt.ended_ms);
        let in_force = self.in_force(attempt);
        let allowed = in_force.iter().any(|c| handled.is_allowed(prefix, c));
        // Before the first one is due, a node may know none.
        let due = self
            .journal
            .configurations
            .first()
            .is_some_and(|c| self.is_due(c, attempt));
        (in_touch && due && !allowed).then_some(Rule::Config)
    }

    fn is_due(&self, configuration: &Configuration, attempt: &Attempt) -> bool {
        attempt.sent_ms > configuration.ack_ms + self.bounds.config_apply_ms
    }

    /// Returns the configurations that a node in touch may follow for an attempt.
    fn in_force(&self, attempt: &Attempt) -> Vec<&Configuration> {
        let all = &self.journal.configurations;
        let replaced = |i: usize| {
            all.get(i + 1)
                .is_some_and(|next| self.is_due(next, attempt))
        };
        let current = all
            .iter()
            .enumerate()
            .filter(|(i, c)| c.sent_ms <= attempt.ended_ms && !replaced(*i));
        current.map(|(_, c)| c).collect()
    }

    /// Finds nodes that followed a configuration and then an older one.
    fn reverted(&self) -> Vec<Breach> {
        let mut attempts: Vec<_> = self.journal.attempts.iter().collect();
        attempts.sort_by_key(|attempt| attempt.sent_ms);
        let mut starts = self.journal.starts.clone();
        starts.sort_unstable();
        let mut breaches = Vec::new();
        for (i, &(machine, start_ms)) in starts.iter().enumerate() {
            let next = starts.get(i + 1).filter(|(other, _)| *other == machine);
            let end_ms = next.map_or(u64::MAX, |(_, ms)| *ms);
            let of_node = attempts
                .iter()
                .copied()
                .filter(|a| a.machine == machine && a.sent_ms >= start_ms && a.ended_ms < end_ms);
            breaches.extend(self.reverted_in(of_node));
        }
        breaches
    }

    fn reverted_in<'b>(&self, attempts: impl Iterator<Item = &'b Attempt>) -> Vec<Breach> {
        let mut seen: Vec<(u64, u64)> = Vec::new();
        let mut breaches = Vec::new();
        for attempt in attempts {
            let prefix = prefix_of(&attempt.path);
            let calm = self.entry_in_touch(attempt, attempt.ended_ms);
            let factor = if calm { 1 } else { SLOWED_SLACK };
            let slack_ms = self.bounds.rollback_slack_ms * factor;
            let due = seen
                .iter()
                .filter(|(at_ms, _)| attempt.sent_ms > at_ms + slack_ms);
            let known = due.map(|(_, version)| *version).max().unwrap_or(0);
            for (handled, at_ms) in handled(self, attempt) {
                let all = self.journal.configurations.iter();
                let mut allowing =
                    all.filter(|c| c.sent_ms <= attempt.ended_ms && handled.is_allowed(prefix, c));
                let first = allowing.clone().map(|c| c.version).min();
                if first.is_some() && !allowing.any(|c| c.version >= known) {
                    breaches.push(self.breach(Rule::Reverted, attempt));
                }
                if let (Handled::By(_), Some(version)) = (handled, first) {
                    seen.push((at_ms, version));
                }
            }
        }
        breaches
    }
}
