//! A request whose body is still arriving, and the memory for it.

use std::time::Duration;

use ntex::http::h1::{Codec, PayloadDecoder};
use tokio::time::Instant;

use crate::{ByteReservation, Request};

/// The smallest buffer for a body without a length, in bytes.
const MIN_BODY_BYTES: usize = 4 * 1024;
/// How much of a large body must arrive within the header time while memory is short, in bytes;
/// even the slowest phones send ten times as much.
const MIN_PROGRESS_BYTES: usize = 16 * 1024;

/// A request whose body is still arriving.
pub(super) struct PartialRequest {
    pub(super) request: Request,
    pub(super) codec: Codec,
    pub(super) keep_alive: bool,
    pub(super) decoder: PayloadDecoder,
    /// The announced length of the body.
    pub(super) length: Option<usize>,
    /// Grows in place, unlike [`BytesMut`](ntex::util::BytesMut), which copies the body for each chunk.
    pub(super) bytes: Vec<u8>,
    pub(super) reserved: ByteReservation,
    /// Since when the body does not fit into memory, if it does not.
    pub(super) blocked_since: Option<Instant>,
    /// The start of the current progress interval, and the bytes that had arrived by then.
    pub(super) mark: (Instant, usize),
}

impl PartialRequest {
    /// Reserves memory for `more` bytes, and returns whether they fit; a body with a length is
    /// reserved as a whole, so that it never waits for memory half received.
    pub(super) fn make_room(&mut self, more: usize, limit: usize) -> bool {
        let needed = self.bytes.len() + more;
        let wanted = match self.length {
            Some(length) => length,
            None if needed <= self.reserved.bytes() => return true,
            None => {
                let doubled = needed.next_power_of_two().max(MIN_BODY_BYTES);
                doubled.min(limit.max(needed))
            }
        };
        if wanted <= self.reserved.bytes() || more == 0 {
            return true;
        }
        if !self.reserved.resize(wanted) {
            return false;
        }
        self.bytes.reserve_exact(wanted - self.bytes.len());
        true
    }

    /// Returns whether a large body got less than [`MIN_PROGRESS_BYTES`] in the last interval of
    /// `time`; starts the next interval when one has passed.
    pub(super) fn is_too_slow(&mut self, time: Duration) -> bool {
        let (since, bytes) = self.mark;
        if since.elapsed() < time {
            return false;
        }
        self.mark = (Instant::now(), self.bytes.len());
        !self.reserved.is_small() && self.bytes.len() - bytes < MIN_PROGRESS_BYTES
    }
}
