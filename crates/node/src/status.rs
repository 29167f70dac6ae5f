//! What a node says about itself.

use std::collections::BTreeMap;

use compact_str::CompactString;
use oriolering::{Explanation, LoadHint, Member, Millis, Policy, Verdict};
use serde::Serialize;

use crate::control::ControlStatus;
use crate::state::Node;

const US_PER_MS: f64 = 1_000.0;

/// The status of a node.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    id: CompactString,
    service: CompactString,
    zone: CompactString,
    region: CompactString,
    ready: bool,
    draining: bool,
    revision: Option<u64>,
    gate: LoadHint,
    budget: BudgetStatus,
    control: Option<ControlStatus>,
    members: Vec<MemberStatus>,
    quarantines: Vec<Quarantined>,
    counters: BTreeMap<String, u64>,
}

/// What may be and has been spent on measuring, in milliseconds of work in one second.
#[derive(Debug, Serialize)]
struct BudgetStatus {
    spent_ms: f64,
    allowed_ms: f64,
}

/// One member as the status lists it.
#[derive(Debug, Serialize)]
struct MemberStatus {
    id: CompactString,
    service: CompactString,
    zone: CompactString,
    state: &'static str,
}

/// One quarantined request.
#[derive(Debug, Serialize)]
struct Quarantined {
    fingerprint: CompactString,
    verdict: Verdict,
    left_ms: u32,
}

/// How a call of a service would be sent.
#[derive(Debug, Serialize)]
pub(crate) struct Explained {
    service: CompactString,
    policy: Policy,
    chosen: Option<CompactString>,
    candidates: Vec<ExplainedServer>,
}

#[derive(Debug, Serialize)]
struct ExplainedServer {
    id: CompactString,
    #[serde(flatten)]
    explanation: Explanation,
}

/// Collects the status of a node.
pub(crate) fn collect(node: &Node) -> Status {
    let now = node.clock.now();
    let members = node.directory.lock().members().iter().map(member).collect();
    let entries = node.quarantine.lock().export(now);
    let quarantines = entries.into_iter().map(quarantined).collect();
    Status {
        id: node.card.id.clone(),
        service: node.card.service.clone(),
        zone: node.card.zone.clone(),
        region: node.card.region.clone(),
        ready: node.is_ready(),
        draining: node.is_draining(),
        revision: node.revision(),
        gate: node.load(),
        budget: budget(node, now),
        control: node.control().map(|control| control.status()),
        members,
        quarantines,
        counters: node.metrics.counters(),
    }
}

fn budget(node: &Node, now: Millis) -> BudgetStatus {
    let budget = node.budget.lock();
    BudgetStatus {
        spent_ms: budget.spent(now) as f64 / US_PER_MS,
        allowed_ms: budget.allowed(now) as f64 / US_PER_MS,
    }
}

fn member(member: &Member) -> MemberStatus {
    MemberStatus {
        id: member.id.clone(),
        service: member.service.clone(),
        zone: member.zone.clone(),
        state: if member.leaving { "leaving" } else { "live" },
    }
}

fn quarantined(entry: oriolering::QuarantineEntry) -> Quarantined {
    Quarantined {
        fingerprint: format!("{:016x}", entry.fingerprint).into(),
        verdict: entry.verdict,
        left_ms: entry.remaining,
    }
}

/// Explains how a call of `service` would be sent now; `None` for an unknown service.
pub(crate) fn explain(node: &Node, service: &str) -> Option<Explained> {
    let now = node.clock.now();
    let mut directory = node.directory.lock();
    let key = directory.service(service)?;
    let explained = directory.explain(now, key)?;
    let chosen = explained.chosen.map(|server| directory.server_id(server));
    let candidates = explained
        .candidates
        .into_iter()
        .map(|explanation| ExplainedServer {
            id: directory.server_id(explanation.server),
            explanation,
        })
        .collect();
    Some(Explained {
        service: service.into(),
        policy: explained.policy,
        chosen,
        candidates,
    })
}
