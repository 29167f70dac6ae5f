//! Puts the status of the control part together.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use oriolering::{MemberList, Millis};

use super::message::{Kind, QUARANTINES_MAX};
use super::state::Shared;
use super::status::ControlStatus;

/// The age up to which a member counts as heard: a base, and more for each member.
const HEARD_BASE_MS: u64 = 30_000;
const HEARD_MEMBER_MS: u64 = 150;

impl Shared {
    /// Returns a snapshot of the control part.
    pub(crate) fn status(&self) -> ControlStatus {
        let now = self.clock.now();
        let reader = self.is_reader(Kind::Configuration);
        let leaving = self.is_leaving();
        let mut state = self.state();
        let [configuration, instances] = Kind::ALL.map(Kind::index);
        let age = heard_age(&state.roster);
        ControlStatus {
            revision: state.relays[configuration].head().revision,
            revision_age: now.since(state.since[configuration]),
            list_revision: state.relays[instances].head().revision,
            list_age: now.since(state.since[instances]),
            members: state.roster.len(),
            heard: state
                .roster
                .heard_within(now, age)
                .filter(|(_, recent)| *recent)
                .count(),
            silent_zones: silent_zones(&state.roster, now, age),
            leaving,
            reader,
            ignored: state.relays[configuration].ignored(),
            list_ignored: state.relays[instances].ignored(),
            rejected: state.rejected.iter().cloned().collect(),
            quarantines: state.spread.entries(now, QUARANTINES_MAX).len(),
            received_bytes: self.usage.received.load(Ordering::Relaxed),
            sent_bytes: self.usage.sent.load(Ordering::Relaxed),
            messages: self.usage.messages.load(Ordering::Relaxed),
            cpu_us: self.usage.cpu_us.load(Ordering::Relaxed),
            budget_percent: state.budget.percent(now),
            counts: state.counts,
        }
    }
}

fn heard_age(roster: &MemberList) -> u64 {
    HEARD_BASE_MS + HEARD_MEMBER_MS * roster.len() as u64
}

/// Returns the availability zones of which no member was heard: more likely cut than dead.
fn silent_zones(roster: &MemberList, now: Millis, age: u64) -> Vec<CompactString> {
    let mut zones: BTreeMap<&str, bool> = BTreeMap::new();
    for (member, recent) in roster.heard_within(now, age) {
        *zones.entry(&member.zone).or_default() |= recent;
    }
    let silent = zones.into_iter().filter(|(_, recent)| !recent);
    silent.map(|(zone, _)| zone.into()).collect()
}
