//! The limits of the stand-in for the platform's store, and its count of reads.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The span over which reads are counted against the limit.
const WINDOW: Duration = Duration::from_secs(1);

/// What the store takes and keeps; the defaults are the platform's documented figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// The most items on a page, and the most changes in the answer to a watch.
    pub page_items: usize,
    /// The most bytes of values on a page; a page has one item at least.
    pub page_bytes: usize,
    /// How long changes are kept for watches.
    pub history: Duration,
    /// The most reads in a second; stale reads are not counted.
    pub reads_per_s: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            page_items: 500,
            page_bytes: 1 << 20,
            history: Duration::from_secs(20),
            reads_per_s: 2_000,
        }
    }
}

/// The reads so far, with those that were refused or whose answers were lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReads {
    /// Reads that count against the limit, a watch as one.
    pub counted: u64,
    /// Stale reads.
    pub stale: u64,
    /// Reads beyond the limit.
    pub refused: u64,
}

/// Counts reads and tells which are beyond the limit.
#[derive(Debug)]
pub(crate) struct ReadCount {
    pub(crate) reads: StoreReads,
    window: Instant,
    in_window: u64,
}

impl ReadCount {
    pub(crate) fn new() -> Self {
        Self {
            reads: StoreReads::default(),
            window: Instant::now(),
            in_window: 0,
        }
    }

    /// Counts a stale read.
    pub(crate) fn count_stale(&mut self) {
        self.reads.stale += 1;
    }

    /// Counts a read and returns whether it is within the limit.
    pub(crate) fn count(&mut self, per_s: u64) -> bool {
        if self.window.elapsed() >= WINDOW {
            self.window = Instant::now();
            self.in_window = 0;
        }
        self.in_window += 1;
        self.reads.counted += 1;
        let within = self.in_window <= per_s;
        self.reads.refused += u64::from(!within);
        within
    }
}
