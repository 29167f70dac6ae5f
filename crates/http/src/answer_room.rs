//! The memory that answers take while they are read.
//!
//! A faulty server sends bytes without end until its connection closes. One answer is bounded by
//! its own limit; this bounds all that are read at the same time, so that several faulty
//! answers together do not take the memory of the process.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that each answer may take whatever the others take, so that answers of the usual
/// size do not suffer from those without end.
const SMALL_BYTES: usize = 256 * 1024;

/// The memory for the answers that are read at the same time.
#[derive(Debug)]
pub struct AnswerRoom {
    limit: usize,
    used: Cell<usize>,
}

impl AnswerRoom {
    /// Returns room for `limit` bytes beside what small answers take.
    pub fn new(limit: usize) -> Rc<Self> {
        let used = Cell::new(0);
        Rc::new(Self { limit, used })
    }

    /// Returns how many bytes the answers take that are read now.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the part of an answer that begins.
    pub(crate) fn begin(self: &Rc<Self>) -> AnswerPart {
        AnswerPart {
            room: Rc::clone(self),
            bytes: 0,
        }
    }
}

/// What one answer takes; it is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct AnswerPart {
    room: Rc<AnswerRoom>,
    bytes: usize,
}

impl AnswerPart {
    /// Takes more for the answer, and returns whether there was room.
    pub(crate) fn grow(&mut self, more: usize) -> bool {
        let used = self.room.used.get() + more;
        if self.bytes + more > SMALL_BYTES && used > self.room.limit {
            return false;
        }
        self.bytes += more;
        self.room.used.set(used);
        true
    }
}

impl Drop for AnswerPart {
    fn drop(&mut self) {
        self.room.used.set(self.room.used.get() - self.bytes);
    }
}
