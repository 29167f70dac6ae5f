//! What a node reports about itself. Every field may be missing.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Deserialize;

/// The status of one node.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StatusReport {
    pub(crate) id: Option<CompactString>,
    pub(crate) service: Option<CompactString>,
    pub(crate) zone: Option<CompactString>,
    pub(crate) ready: Option<bool>,
    pub(crate) draining: Option<bool>,
    pub(crate) revision: Option<u64>,
    pub(crate) config_age_ms: Option<u64>,
    pub(crate) gate: Option<GateReport>,
    pub(crate) budget: Option<BudgetReport>,
    pub(crate) control: Option<ControlReport>,
    pub(crate) members: Vec<MemberReport>,
    pub(crate) quarantines: Vec<QuarantineReport>,
    pub(crate) counters: BTreeMap<CompactString, u64>,
}

/// The load of a gate.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct GateReport {
    pub(crate) running: Option<u64>,
    pub(crate) queued: Option<u64>,
    pub(crate) limit: Option<u64>,
    pub(crate) latency_us: Option<u64>,
    pub(crate) leaving: Option<bool>,
}

/// What a node spends on measuring.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct BudgetReport {
    pub(crate) spent_ms: Option<f64>,
    pub(crate) allowed_ms: Option<f64>,
}

/// What a node spends on control, and what its control part knows.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ControlReport {
    pub(crate) revision_age: Option<u64>,
    pub(crate) budget_percent: Option<u64>,
    pub(crate) cpu_percent: Option<f64>,
    pub(crate) rss_mb: Option<f64>,
    pub(crate) bytes_per_s: Option<f64>,
    pub(crate) silent_zones: Vec<CompactString>,
    pub(crate) rejected: Vec<RejectedReport>,
    pub(crate) counts: BTreeMap<CompactString, u64>,
}

/// A revision that a node refused.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RejectedReport {
    pub(crate) revision: u64,
    pub(crate) reason: String,
}

/// What a node knows of another instance.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct MemberReport {
    pub(crate) id: CompactString,
    pub(crate) service: Option<CompactString>,
    pub(crate) zone: Option<CompactString>,
    pub(crate) state: Option<CompactString>,
    pub(crate) heard_ms: Option<u64>,
}

/// A request that was in flight when backend servers crashed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct QuarantineReport {
    pub(crate) fingerprint: CompactString,
    pub(crate) verdict: Option<CompactString>,
    pub(crate) left_ms: Option<u64>,
}

impl StatusReport {
    /// Returns the state of the node in one word.
    pub(crate) fn state(&self) -> &'static str {
        let gate = self.gate.as_ref().and_then(|gate| gate.leaving);
        let leaving = self.draining == Some(true) || gate == Some(true);
        match (leaving, self.ready) {
            (true, _) => "leaving",
            (false, Some(true)) => "ready",
            (false, Some(false)) => "not ready",
            (false, None) => "-",
        }
    }
}
