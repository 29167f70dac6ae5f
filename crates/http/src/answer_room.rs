//! A memory limit for the responses that are being read.
//!
//! A faulty server may send bytes endlessly until its connection is closed. Each response has its
//! own size limit; this module limits the total of all responses that are read at the same time,
//! so that several faulty servers together cannot exhaust the memory of the process.

use std::cell::Cell;
use std::rc::Rc;

use crate::{ByteBudget, ByteReservation, ByteUse};

/// The size up to which a response may grow even when the limit is reached, in bytes, so that
/// endless responses do not make those of the usual size fail.
const SMALL_BYTES: usize = 256 * 1024;
/// The least share by which a response grows, as a divisor: smaller steps would copy it too often.
const MIN_GROWTH_DIVISOR: usize = 8;

/// The memory limit shared by the responses that are read at the same time.
#[derive(Debug)]
pub struct AnswerRoom {
    limit: usize,
    used: Cell<usize>,
    budget: Rc<ByteBudget>,
}

impl AnswerRoom {
    /// Returns a limit of `limit` bytes; small responses may exceed it.
    pub fn new(limit: usize) -> Rc<Self> {
        Self::within(limit, &ByteBudget::unlimited())
    }

    /// Returns a limit of `limit` bytes that are part of a budget; small responses may exceed both.
    pub fn within(limit: usize, budget: &Rc<ByteBudget>) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::new(0),
            budget: Rc::clone(budget),
        })
    }

    /// Returns how many bytes the responses that are being read occupy.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the length of the longest response that the limit ever allows.
    pub(crate) fn longest(&self) -> usize {
        self.limit.max(SMALL_BYTES)
    }

    /// Returns an empty reservation for a response.
    pub(crate) fn reservation(self: &Rc<Self>) -> Reservation {
        Reservation {
            room: Rc::clone(self),
            bytes: 0,
            reserved: self.budget.reservation(ByteUse::Other),
        }
    }
}

/// The memory reserved for one response, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    room: Rc<AnswerRoom>,
    bytes: usize,
    reserved: ByteReservation,
}

impl Reservation {
    /// Makes it `wanted` bytes long, or shorter if the limit does not allow that; returns its length,
    /// or none if not even a little more than `needed` bytes is allowed.
    pub(crate) fn grow(&mut self, needed: usize, wanted: usize) -> Option<usize> {
        let most = self.allowed().max(SMALL_BYTES);
        let wanted = wanted.min(most).max(needed);
        let less = wanted.min(needed + needed / MIN_GROWTH_DIVISOR);
        [wanted, less]
            .into_iter()
            .find(|&bytes| self.try_resize(bytes))
    }

    /// Returns how many bytes the shared limit leaves for this response.
    fn allowed(&self) -> usize {
        let others = self.room.used.get() - self.bytes;
        self.room.limit.saturating_sub(others)
    }

    fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > SMALL_BYTES && (bytes > self.allowed() || !self.reserved.resize(bytes)) {
            return false;
        }
        self.reserved.force(bytes);
        let others = self.room.used.get() - self.bytes;
        self.room.used.set(others + bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.room.used.set(self.room.used.get() - self.bytes);
    }
}
