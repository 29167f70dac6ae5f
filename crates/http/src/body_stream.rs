//! A body that is produced while it is written to the caller.

use std::fmt::{self, Formatter};
use std::io;

use futures_util::stream::{LocalBoxStream, Stream, StreamExt};
use ntex::util::Bytes;

/// The part of a body that is not available yet when its response begins.
pub struct BodyStream {
    pub(crate) length: Option<u64>,
    pub(crate) pieces: LocalBoxStream<'static, io::Result<Bytes>>,
}

impl BodyStream {
    /// Returns a body of `length` bytes in all, including those that are already available, or of
    /// unknown length.
    ///
    /// The body is complete when `pieces` ends without an error. After an error, or if the length
    /// differs, the caller's connection is closed with the response truncated.
    pub fn new(
        length: Option<u64>,
        pieces: impl Stream<Item = io::Result<Bytes>> + 'static,
    ) -> Self {
        let pieces = pieces.boxed_local();
        Self { length, pieces }
    }
}

impl fmt::Debug for BodyStream {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyStream")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}
