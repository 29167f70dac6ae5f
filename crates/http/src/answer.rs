//! What a handler answers to a caller.

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;

/// An answer with its whole body.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those that concern the connection or the length.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the connection ends after this answer.
    pub close: bool,
}

impl Answer {
    /// Returns an answer with this status, without headers and body.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            close: false,
        }
    }
}
