//! How a streamed response ended at its ingress.

use std::rc::Rc;

use compact_str::CompactString;

use super::{Event, Trail};

/// Counts the bytes of a streamed response, and how it ended when it is dropped.
pub(crate) struct StreamRecord {
    trail: Rc<Trail>,
    request: CompactString,
    bytes: u64,
    /// How the response ended; the caller has left if it has no end.
    end: &'static str,
}

impl StreamRecord {
    pub(super) fn new(trail: &Rc<Trail>, request: &CompactString) -> Self {
        Self {
            trail: Rc::clone(trail),
            request: request.clone(),
            bytes: 0,
            end: "left",
        }
    }

    /// Records bytes that the caller takes.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Records that the caller got the whole response.
    pub(crate) fn complete(&mut self) {
        self.end = "complete";
    }

    /// Records that the backend server or the link did not deliver the whole response.
    pub(crate) fn cut(&mut self) {
        self.end = "cut";
    }
}

impl Drop for StreamRecord {
    fn drop(&mut self) {
        self.trail.counts.streams.add(self.end);
        if self.end != "complete" {
            self.trail.note(Event::ResponseCut {
                request: self.request.clone(),
                end: self.end,
                streamed_bytes: self.bytes,
            });
        }
    }
}
