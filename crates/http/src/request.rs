//! A caller's request with its whole body.

use ntex::http::{HeaderMap, Method, Uri};
use ntex::util::Bytes;

/// A request that has arrived in full, or that is to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target as it was sent.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
