//! The messages between the control parts of nodes.

use compact_str::CompactString;
use oriolering::{
    AttemptStatus, CallId, Digest, Grant, Head, MemberUpdate, QuarantineEntry, Section,
};
use serde::{Deserialize, Serialize};

/// The largest frame of a message.
pub(crate) const FRAME_BYTES: usize = 512 << 10;
/// The largest content of the sections in one answer.
pub(crate) const ANSWER_BYTES: usize = 256 << 10;
/// The largest number of notes in a beat.
pub(crate) const NOTES_MAX: usize = 64;
/// The largest number of quarantines in a beat.
pub(crate) const QUARANTINES_MAX: usize = 32;
/// The largest number of digests in a request for sections.
pub(crate) const DIGESTS_MAX: usize = 128;
/// The longest name of a member.
pub(crate) const ID_BYTES: usize = 128;

/// The kinds of values that are relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// The configuration that operators publish.
    Configuration,
    /// The platform's list of instances.
    Instances,
}

impl Kind {
    /// Both kinds, in the order of their indices.
    pub(crate) const ALL: [Self; 2] = [Self::Configuration, Self::Instances];

    /// Returns the index into arrays with one element for each kind.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// What a node tells a peer in each exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Beat {
    /// The values in force at the sender, by [`Kind::index`].
    pub(crate) heads: [Head; 2],
    /// Notes about members, the sender first.
    pub(crate) notes: Vec<MemberUpdate>,
    /// Quarantines that the sender knows.
    pub(crate) quarantines: Vec<QuarantineEntry>,
}

impl Beat {
    /// Returns whether the counts and names are within their limits.
    pub(crate) fn is_valid(&self) -> bool {
        self.notes.len() <= NOTES_MAX
            && self.quarantines.len() <= QUARANTINES_MAX
            && self.notes.iter().all(|note| note.id.len() <= ID_BYTES)
    }
}

/// Why a peer did not take a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refused {
    /// The sender's name and address are not in the platform's list.
    Stranger,
    /// The message breaks a limit.
    Invalid,
}

/// A value's head with its sections.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Manifest {
    /// The value in force at the peer.
    pub(crate) head: Head,
    /// Its sections in order.
    pub(crate) sections: Vec<Section>,
}

/// The compressed content of one section.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Content {
    /// The digest of the section.
    pub(crate) digest: Digest,
    /// The compressed content.
    pub(crate) packed: Vec<u8>,
}

/// The calls that a node answers to its peers.
#[tarpc::service]
pub(crate) trait Peer {
    /// Takes in a beat and returns this node's; a stranger gets the heads only.
    async fn sync(from: CompactString, beat: Beat) -> Result<Beat, Refused>;
    /// Takes in a beat that carries news.
    async fn push(from: CompactString, beat: Beat) -> Result<(), Refused>;
    /// Returns the sections of the value in force.
    async fn manifest(kind: Kind) -> Manifest;
    /// Returns the content of those sections that are in force, up to a limit.
    async fn sections(kind: Kind, digests: Vec<Digest>) -> Result<Vec<Content>, Refused>;
    /// Returns what became of an attempt, fencing it when asked to.
    async fn inquire(
        from: CompactString,
        id: CallId,
        fence: bool,
    ) -> Result<AttemptStatus, Refused>;
    /// Opens a session with the gate.
    async fn open(from: CompactString) -> Result<Grant, Refused>;
}
