//! The memory that a response body is collected in.

use ntex::util::Bytes;
use snafu::ensure;

use super::ANSWER_BYTES;
use crate::answer_room::Reservation;
use crate::error::{self, ExchangeError};

/// The smallest allocation, in bytes.
const MIN_BYTES: usize = 4 * 1024;

/// A body that is being collected. Its allocation is reserved in full and doubles when it is used
/// up, so that each byte is copied a bounded number of times however small the chunks are.
///
/// It is a [`Vec`], since [`BytesMut`](ntex::util::BytesMut) grows by what is appended alone.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    bytes: Vec<u8>,
    reserved: Reservation,
    /// The length that the head declared, or the largest one of a response.
    limit: usize,
}

impl BodyBuffer {
    /// Returns an empty buffer for a body of the declared length.
    pub(super) fn new(reserved: Reservation, declared: Option<u64>) -> Self {
        let declared = declared.and_then(|length| usize::try_from(length).ok());
        Self {
            bytes: Vec::new(),
            reserved,
            limit: declared.map_or(ANSWER_BYTES, |length| length.min(ANSWER_BYTES)),
        }
    }

    /// Returns how many bytes were collected.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds a chunk.
    ///
    /// # Errors
    ///
    /// Returns an error when the body becomes too large, or the shared memory limit is reached.
    pub(super) fn append(&mut self, chunk: &[u8]) -> Result<(), ExchangeError> {
        let needed = self.bytes.len() + chunk.len();
        let limit = ANSWER_BYTES;
        ensure!(needed <= limit, error::TooLargeSnafu { limit });
        if needed > self.bytes.capacity() {
            self.grow(needed)?;
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Makes room for `needed` bytes in all.
    fn grow(&mut self, needed: usize) -> Result<(), ExchangeError> {
        let doubled = (self.bytes.capacity() * 2).max(MIN_BYTES);
        let wanted = doubled.min(self.limit).max(needed);
        let Some(granted) = self.reserved.grow(needed, wanted) else {
            let bytes = self.bytes.len();
            return error::MemoryFullSnafu { bytes }.fail();
        };
        self.bytes.reserve_exact(granted - self.bytes.len());
        Ok(())
    }

    /// Returns the whole body without unused memory.
    pub(super) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        Bytes::from(self.bytes)
    }
}
