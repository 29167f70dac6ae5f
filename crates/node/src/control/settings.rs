//! What the control part is told at its start.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolering::{AttemptStatus, CallId, Grant, Member, PublishedValue, QuarantineEntry};

/// Decides whether an address may be connected to; tests cut the network with it.
pub type Reach = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// The addresses and timings of the control part.
#[derive(Clone)]
pub struct ControlSettings {
    /// This node, with its incarnation.
    pub me: Member,
    /// The platform's service.
    pub platform: SocketAddr,
    /// The longest random wait before the first read of the platform's service.
    pub start_ms: u64,
    /// The longest random wait of a node that is no reader before it reads a missing
    /// configuration itself.
    pub empty_ms: u64,
    /// The mean time between two exchanges with a random peer.
    pub sync_ms: u64,
    /// How long a watch waits at the platform's service.
    pub watch_ms: u64,
    /// The mean time between two reads of a node that is no reader.
    pub idle_ms: u64,
    /// The number of peers that news is pushed to.
    pub fanout: usize,
    /// The number of readers in each availability zone.
    pub readers: usize,
    /// How long an exchange with a peer may take.
    pub peer_ms: u64,
    /// The bytes that control may send and receive each second.
    pub bytes_rate: u64,
    /// The processor time that control may use each second, in microseconds.
    pub cpu_rate: u64,
    /// Limits the addresses that are connected to; `None` allows all.
    pub reach: Option<Reach>,
}

impl ControlSettings {
    /// Returns settings with the default timings.
    pub fn new(me: Member, platform: SocketAddr) -> Self {
        Self {
            me,
            platform,
            start_ms: 4_000,
            empty_ms: 8_000,
            sync_ms: 2_000,
            watch_ms: 25_000,
            idle_ms: 120_000,
            fanout: 4,
            readers: 3,
            peer_ms: 2_000,
            bytes_rate: 22_000,
            cpu_rate: 17_000,
            reach: None,
        }
    }
}

/// Takes an accepted configuration.
pub type Configured = Box<dyn Fn(Arc<PublishedValue>) + Send + Sync>;
/// Checks a configuration; the error names the remedy.
pub type Validate = Box<dyn Fn(&str) -> Result<(), String> + Send + Sync>;
/// Takes the members.
pub type Members = Box<dyn Fn(Arc<[Member]>) + Send + Sync>;
/// Returns what became of an attempt, fencing it when asked to.
pub type Inquire = Box<dyn Fn(CallId, bool) -> AttemptStatus + Send + Sync>;
/// Takes quarantines.
pub type Quarantined = Box<dyn Fn(&[QuarantineEntry]) + Send + Sync>;

/// What the control part calls in the rest of the node.
///
/// Hooks run on the control part's thread and must not block; `validate` runs on another thread
/// for large values.
pub struct Hooks {
    /// Puts an accepted configuration in force.
    pub configured: Configured,
    /// Checks a configuration; the error names the remedy.
    pub validate: Validate,
    /// Takes the members after each change.
    pub members: Members,
    /// Returns what became of an attempt at this gate, fencing it when asked to.
    pub inquire: Inquire,
    /// Opens a session with this gate.
    pub open: Box<dyn Fn() -> Grant + Send + Sync>,
    /// Returns whether this node is leaving.
    pub leaving: Box<dyn Fn() -> bool + Send + Sync>,
    /// Takes quarantines that were not known before.
    pub quarantined: Quarantined,
}
