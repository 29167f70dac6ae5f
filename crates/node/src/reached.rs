//! How an attempt ended.

use ntex::http::client::ClientResponse;
use ntex::util::Bytes;
use oriolering::Failure;

/// How an attempt ended.
pub(crate) enum Reached {
    /// The backend server answered.
    Answer(Box<Answered>),
    /// There is no answer.
    Missing(Failure),
}

/// An answer of a backend server.
pub(crate) struct Answered {
    /// The head, and the body while it is a stream.
    pub(crate) response: ClientResponse,
    /// The body of a short answer, read to its end.
    pub(crate) body: Option<Bytes>,
}
