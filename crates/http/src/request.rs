//! A request with its complete body.

use ntex::http::{HeaderMap, Method, Uri};
use ntex::util::Bytes;

/// A request that was received completely or is to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
