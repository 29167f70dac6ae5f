//! The response that a handler returns to a caller.

use std::any::Any;

use ntex::http::{HeaderMap, StatusCode};
use ntex::util::Bytes;

use crate::BodyStream;

/// A response with its body, or with the start of a streamed one.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without those for the connection or the length of the body.
    pub headers: HeaderMap,
    /// The body, or its start.
    pub body: Bytes,
    /// The rest of a body that is streamed.
    pub rest: Option<Box<BodyStream>>,
    /// Whether the connection is closed after this response.
    pub close: bool,
    /// Dropped when the response is written to the socket, or its connection has ended.
    pub held: Option<Box<dyn Any>>,
}

impl Answer {
    /// Returns a response with this status and without headers or a body.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            rest: None,
            close: false,
            held: None,
        }
    }
}
