//! A backend server's answer with its whole body.

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;

/// An answer that has arrived in full.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
