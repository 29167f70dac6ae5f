//! The memory budget of a node for streamed responses.

use std::fmt::{self, Formatter};
use std::rc::Rc;

use tokio::sync::Semaphore;

use crate::frame::PIECE_BYTES;

/// The fewest segments that fit into a budget, so that a few streams work on any instance.
const MIN_SEGMENTS: usize = 16;
/// The most segments that one stream may have in transit: 6 MB/s at a round trip of 30 ms.
const MAX_WINDOW: usize = 16;
/// The divisor of the free memory that limits the window of each stream, so that streams whose
/// readers are slow leave memory to others.
const WINDOW_DIVISOR: usize = 16;

/// A memory budget shared by the streamed responses of a node, in segments.
pub(crate) struct StreamBudget {
    free: Semaphore,
    segments: usize,
}

impl StreamBudget {
    /// Returns a budget of `bytes` bytes.
    pub(crate) fn new(bytes: usize) -> Rc<Self> {
        let segments = (bytes / PIECE_BYTES).max(MIN_SEGMENTS);
        let free = Semaphore::new(segments);
        Rc::new(Self { free, segments })
    }

    /// Waits for the memory of one segment; earlier requests for memory come first.
    pub(crate) async fn acquire(self: &Rc<Self>) -> BudgetPermit {
        if let Ok(permit) = self.free.acquire().await {
            permit.forget();
        }
        BudgetPermit(Rc::clone(self))
    }

    /// Returns the memory of one segment if it is free.
    pub(crate) fn try_acquire(self: &Rc<Self>) -> Option<BudgetPermit> {
        self.free.try_acquire().ok()?.forget();
        Some(BudgetPermit(Rc::clone(self)))
    }

    /// Returns how many segments of one stream may be in transit at present.
    pub(crate) fn window(&self) -> usize {
        (self.free.available_permits() / WINDOW_DIVISOR).clamp(1, MAX_WINDOW)
    }

    /// Returns how much memory is reserved, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        (self.segments - self.free.available_permits()) * PIECE_BYTES
    }
}

/// The memory of one segment, released on drop.
pub(crate) struct BudgetPermit(Rc<StreamBudget>);

impl Drop for BudgetPermit {
    fn drop(&mut self) {
        self.0.free.add_permits(1);
    }
}

impl fmt::Debug for BudgetPermit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("BudgetPermit")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against streams with slow readers that take the whole budget.
    #[test]
    fn the_window_shrinks_so_that_memory_stays_free() {
        // The half of a sixteenth of an instance with 160 MB.
        let budget = StreamBudget::new(160_000_000 / 32);
        let mut permits = Vec::new();
        for _ in 0..44 {
            let mut held = 0;
            while held < budget.window() {
                permits.extend(budget.try_acquire());
                held += 1;
            }
        }
        assert_eq!(budget.held_bytes(), permits.len() * PIECE_BYTES);
        assert!(budget.try_acquire().is_some());
        drop(permits);
        assert_eq!(budget.held_bytes(), 0);
    }
}
