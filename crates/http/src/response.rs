//! A server's response with its complete body.

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;

/// A response that was received completely.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
