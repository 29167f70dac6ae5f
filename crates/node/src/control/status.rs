//! What the control part knows and has spent.

use compact_str::CompactString;
use oriolering::IgnoredCounts;
use serde::Serialize;

/// A revision that failed validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Rejected {
    /// The platform's revision.
    pub revision: u64,
    /// What is wrong and how to mend it.
    pub reason: CompactString,
}

/// Counts of control events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlCounts {
    /// Reads of the platform's service.
    pub reads: u64,
    /// Reads that failed.
    pub read_errors: u64,
    /// Exchanges with peers that failed.
    pub peer_errors: u64,
    /// Messages refused because the sender is not in the platform's list.
    pub strangers: u64,
    /// Messages that broke a limit.
    pub invalid: u64,
    /// Exchanges left out to stay in the budget.
    pub shed_sync: u64,
    /// Quarantine messages left out to stay in the budget.
    pub shed_gossip: u64,
    /// Pulls that were put off to stay in the budget.
    pub delayed: u64,
}

/// A snapshot of the control part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// The revision of the configuration in force; zero when there is none.
    pub revision: u64,
    /// The time since it came into force, in milliseconds.
    pub revision_age: u64,
    /// The revision of the list of instances in force.
    pub list_revision: u64,
    /// The time since it came into force, in milliseconds.
    pub list_age: u64,
    /// Members in the list.
    pub members: usize,
    /// Members heard lately, by way of peers or directly.
    pub heard: usize,
    /// Availability zones of which no member was heard lately.
    pub silent_zones: Vec<CompactString>,
    /// Whether this node is leaving.
    pub leaving: bool,
    /// Whether this node reads the platform's service for its availability zone.
    pub reader: bool,
    /// Configurations that were not put in force.
    pub ignored: IgnoredCounts,
    /// Lists of instances that were not put in force.
    pub list_ignored: IgnoredCounts,
    /// The last revisions that failed validation.
    pub rejected: Vec<Rejected>,
    /// Quarantines known from peers.
    pub quarantines: usize,
    /// Bytes received.
    pub received_bytes: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Processor time used, in microseconds.
    pub cpu_us: u64,
    /// What is left of the control budget, in percent.
    pub budget_percent: u64,
    /// Counts of events.
    pub counts: ControlCounts,
}
