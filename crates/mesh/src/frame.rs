//! The messages between nodes, and their bytes.

use bincode::Options;
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use oriolering::{DeltaSection, GateLoad, QuarantineEntry, Rate, RefusalReason, ServerUpdate};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::field_name::FieldName;
use crate::notice::Notice;

/// The largest message, in bytes: a published value with room for its envelope.
const FRAME_BYTES: usize = 4 * 1024 * 1024;
/// The largest piece of a body in one message, in bytes; about a hundredth of a second of a
/// slow link, so that a short message never waits long behind a long body.
pub(crate) const PIECE_BYTES: usize = 12 * 1024;

/// The headers of a request or an answer, as they go between nodes.
pub(crate) type Headers = Vec<(FieldName, ByteBuf)>;

/// The number of a call on one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct CallId(pub(crate) u64);

/// A request on its way to a gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// The backend server that is to run it.
    pub(crate) server: CompactString,
    /// The identity of the caller's request.
    pub(crate) request: CompactString,
    /// The hash of the route's name.
    pub(crate) route: u64,
    /// What a request that crashes backend servers is known by when it comes again.
    pub(crate) fingerprint: u64,
    pub(crate) idempotent: bool,
    /// Whether it may have reached a backend server before, or a run that did so made it.
    pub(crate) repeat: bool,
    /// The limit in the last answer of the backend server that passed the ingress.
    pub(crate) limit: Option<Rate>,
    pub(crate) priority: u8,
    /// The milliseconds that are left until the answer is worth less.
    pub(crate) aim_ms: u32,
    /// The milliseconds that are left until the answer is of no use.
    pub(crate) left_ms: u32,
    /// The usual duration of such requests, in milliseconds.
    pub(crate) work_ms: u32,
    /// How long it is expected to take at the next best backend server, in milliseconds.
    pub(crate) elsewhere_ms: Option<u32>,
    /// The service of the instance where the request began.
    pub(crate) caller: CompactString,
    pub(crate) method: CompactString,
    pub(crate) target: String,
    pub(crate) headers: Headers,
}

/// An answer of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answered {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    /// How long the backend server took, in milliseconds.
    pub(crate) ran_ms: u32,
    /// How long its work took then, as a percentage of the usual duration.
    pub(crate) work_percent: u32,
    /// What it said of itself besides.
    pub(crate) notice: Notice,
}

/// How a call ended at its gate, without the body of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The backend server answered.
    Answered(Answered),
    /// The gate refused it; it has not run and never will.
    Refused {
        why: RefusalReason,
        /// How long the caller does best to wait, in milliseconds.
        retry_after_ms: u32,
    },
    /// The backend server said that it did not run it.
    Unexecuted { status: u16 },
    /// No byte of it reached the backend server.
    Unsent,
    /// It may have run, and brought no answer.
    Failed,
}

/// A message between two nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The first message of a link.
    Hello {
        node: CompactString,
        incarnation: u64,
    },
    /// A request; its body follows in pieces if it is not whole.
    Offer {
        call: CallId,
        offer: Box<Offer>,
        body: ByteBuf,
        whole: bool,
    },
    /// A piece of the body of a request or an answer.
    Piece {
        call: CallId,
        bytes: ByteBuf,
        last: bool,
    },
    /// The caller left; the request is dropped.
    Cancel { call: CallId },
    /// How a call ended; the body of an answer follows in pieces if it is not whole.
    Ended {
        call: CallId,
        outcome: Outcome,
        body: ByteBuf,
        whole: bool,
        load: GateLoad,
    },
    /// The load of the gate, since it changed.
    Load(GateLoad),
    /// A question whether the node is there.
    Ping,
    /// The answer to it.
    Pong,
    /// What the node knows: the version of the routes and the revision of the list, how long ago
    /// the store has confirmed that there is nothing newer, whether the node watches the store,
    /// and the rate of its instance's link in megabytes a second.
    Known {
        routes: u64,
        servers: u64,
        /// In milliseconds; none if the node does not know of any confirmation.
        age_ms: Option<u64>,
        reading: bool,
        rate: u32,
    },
    /// Asks for what is newer than this.
    Want { routes: u64, servers: u64 },
    /// The routes as they were published, but for the content that the asker has; the packed
    /// content follows in pieces if it is not whole.
    Routes {
        /// How long ago a node read them from the store, in milliseconds.
        age_ms: u64,
        parts: Vec<DeltaSection>,
        packed: ByteBuf,
        whole: bool,
    },
    /// A piece of the packed content of routes.
    RoutesPiece { bytes: ByteBuf, last: bool },
    /// What changed in the list of backend servers, which is complete up to a revision.
    Servers {
        revision: u64,
        notes: Vec<ServerUpdate>,
    },
    /// Requests that were in flight when the backend server of this gate crashed, and those
    /// that finished a run here, which clears them.
    Suspects {
        entries: Vec<QuarantineEntry>,
        cleared: Vec<u64>,
    },
}

impl Frame {
    /// Returns what kind of traffic a message is, for metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Offer { offer, .. } if offer.repeat => "repeat",
            Self::Offer { .. } => "offer",
            Self::Piece { .. } => "body",
            Self::Cancel { .. } => "cancel",
            Self::Ended {
                outcome: Outcome::Refused { .. },
                ..
            } => "refusal",
            Self::Ended { .. } => "answer",
            Self::Load(_) => "load",
            Self::Ping | Self::Pong => "question",
            Self::Hello { .. }
            | Self::Known { .. }
            | Self::Want { .. }
            | Self::Routes { .. }
            | Self::RoutesPiece { .. }
            | Self::Servers { .. }
            | Self::Suspects { .. } => "news",
        }
    }
}

/// Why bytes are not a message.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    /// The length is wrong.
    #[snafu(display(
        "a message is longer than {FRAME_BYTES} bytes: {source}; the peer runs another version"
    ))]
    Length {
        /// What the codec said.
        source: std::io::Error,
    },
    /// The content is wrong.
    #[snafu(display("a message cannot be decoded: {source}; the peer runs another version"))]
    Content {
        /// What the codec said.
        source: bincode::Error,
    },
}

/// Returns the codec of the messages' lengths.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec()
}

/// Returns how messages are encoded: numbers take as many bytes as they need, and a broken
/// length never makes room for more than a message may hold.
fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(FRAME_BYTES as u64)
}

/// Appends the bytes of a message to `out`.
///
/// # Errors
///
/// Returns an error when the message is too long.
pub(crate) fn encode(
    codec: &mut LengthDelimitedCodec,
    frame: &Frame,
    out: &mut BytesMut,
) -> Result<(), FrameError> {
    let bytes = options().serialize(frame).context(ContentSnafu)?;
    codec.encode(Bytes::from(bytes), out).context(LengthSnafu)
}

/// Takes the next message from the front of `buf`, if it has arrived in full.
///
/// # Errors
///
/// Returns an error when the bytes are not a message.
pub(crate) fn decode(
    codec: &mut LengthDelimitedCodec,
    buf: &mut BytesMut,
) -> Result<Option<Frame>, FrameError> {
    let Some(bytes) = codec.decode(buf).context(LengthSnafu)? else {
        return Ok(None);
    };
    options()
        .deserialize(&bytes)
        .map(Some)
        .context(ContentSnafu)
}
