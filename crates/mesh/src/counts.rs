//! Plain counters of a node; a scrape reads them, and nothing else is done for a request.

use std::sync::atomic::{AtomicU64, Ordering};

/// The upper bounds of the buckets of a histogram of durations, in milliseconds: steps of about
/// two from the shortest exchange on one instance to the longest documented time of a route.
pub(crate) const BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

/// What becomes of a caller's request.
pub(crate) const OUTCOMES: [&str; 7] = [
    "answered",
    "given_up",
    "deadline",
    "cancelled",
    "unrouted",
    "unready",
    "body_cut",
];
/// The classes of the status of an answer.
pub(crate) const CLASSES: [&str; 5] = ["1xx", "2xx", "3xx", "4xx", "5xx"];
/// How an attempt ends, as the ingress learns it.
pub(crate) const ATTEMPTS: [&str; 8] = [
    "answered",
    "server_error",
    "refused",
    "unexecuted",
    "unsent",
    "failed",
    "lost",
    "unlinked",
];
/// What was sent again: a second try, a second run, a call that a repeated run made.
pub(crate) const REPEATS: [&str; 3] = ["try", "run", "call"];
/// Why a gate refuses a request.
pub(crate) const REFUSALS: [&str; 8] = [
    "elsewhere",
    "late",
    "full",
    "leaving",
    "down",
    "quarantined",
    "budget",
    "limit",
];
/// How an exchange with the local backend server ends.
pub(crate) const RUNS: [&str; 4] = ["answered", "unexecuted", "unsent", "failed"];
/// What crosses availability zones between nodes.
pub(crate) const KINDS: [&str; 9] = [
    "offer", "repeat", "answer", "refusal", "body", "cancel", "load", "question", "news",
];
/// Why the store is called.
pub(crate) const CALLS: [&str; 4] = ["start", "list", "routes", "watch"];
/// What a node loses and regains.
pub(crate) const CHANGES: [&str; 17] = [
    "store_lost",
    "store_back",
    "peer_up",
    "peer_lost",
    "peer_suspected",
    "peer_cleared",
    "peer_given_up",
    "server_down",
    "server_up",
    "server_limited",
    "server_unlimited",
    "server_leaves",
    "routes_taken",
    "routes_rejected",
    "settings_reloaded",
    "request_quarantined",
    "request_cleared",
];

/// A number that only grows, or is set before a scrape.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    /// Adds to the number.
    pub(crate) fn add(&self, more: u64) {
        // One thread writes, so that a plain store is enough.
        let sum = self.get().wrapping_add(more);
        self.0.store(sum, Ordering::Relaxed);
    }

    /// Replaces the number.
    pub(crate) fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Returns the number.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One number for each of some words.
#[derive(Debug)]
pub(crate) struct Words<const N: usize> {
    words: [&'static str; N],
    counts: [Count; N],
}

impl<const N: usize> Words<N> {
    fn new(words: [&'static str; N]) -> Self {
        let counts = std::array::from_fn(|_| Count::default());
        Self { words, counts }
    }

    /// Adds one to the number of a word; other words are not counted.
    pub(crate) fn add(&self, word: &str) {
        self.add_many(word, 1);
    }

    /// Adds to the number of a word; other words are not counted.
    pub(crate) fn add_many(&self, word: &str, more: u64) {
        if let Some(index) = self.words.iter().position(|w| *w == word) {
            self.counts[index].add(more);
        }
    }

    /// Returns the words with their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = self.counts.iter().map(Count::get);
        self.words.iter().copied().zip(counts)
    }
}

/// How many durations lie within each bound, and their sum.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    counts: [Count; BOUNDS_MS.len()],
    above: Count,
    sum: Count,
}

impl Durations {
    /// Takes in a duration.
    pub(crate) fn record(&self, ms: u64) {
        let bucket = BOUNDS_MS.iter().position(|bound| ms <= *bound);
        bucket.map_or(&self.above, |i| &self.counts[i]).add(1);
        self.sum.add(ms);
    }

    /// Returns each bound with the number of durations up to it.
    pub(crate) fn cumulated(&self) -> impl Iterator<Item = (u64, u64)> {
        let counts = self.counts.iter().scan(0, |sum, count| {
            *sum += count.get();
            Some(*sum)
        });
        BOUNDS_MS.into_iter().zip(counts)
    }

    /// Returns the number of durations.
    pub(crate) fn number(&self) -> u64 {
        let within: u64 = self.counts.iter().map(Count::get).sum();
        within + self.above.get()
    }

    /// Returns the sum of the durations, in milliseconds.
    pub(crate) fn sum(&self) -> u64 {
        self.sum.get()
    }
}

/// All numbers of a node.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) requests: Count,
    pub(crate) outcomes: Words<{ OUTCOMES.len() }>,
    pub(crate) answers: Words<{ CLASSES.len() }>,
    pub(crate) late: Count,
    pub(crate) attempts: Words<{ ATTEMPTS.len() }>,
    pub(crate) second_tries: Count,
    pub(crate) repeats: Words<{ REPEATS.len() }>,
    pub(crate) request_ms: Durations,
    pub(crate) admitted: Count,
    pub(crate) queued: Count,
    pub(crate) refusals: Words<{ REFUSALS.len() }>,
    pub(crate) runs: Words<{ RUNS.len() }>,
    pub(crate) dropped: Count,
    pub(crate) probes: Count,
    pub(crate) wait_ms: Durations,
    pub(crate) run_ms: Durations,
    pub(crate) zone_bytes: Words<{ KINDS.len() }>,
    pub(crate) store_calls: Words<{ CALLS.len() }>,
    pub(crate) changes: Words<{ CHANGES.len() }>,
    pub(crate) lines_dropped: Count,
    pub(crate) spans: Count,
    pub(crate) spans_dropped: Count,
    pub(crate) active: Count,
    pub(crate) running: Count,
    pub(crate) waiting: Count,
    pub(crate) capacity: Count,
    pub(crate) work_percent: Count,
    pub(crate) peers_up: Count,
    pub(crate) servers: Count,
    pub(crate) version: Count,
    pub(crate) list_revision: Count,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            requests: Count::default(),
            outcomes: Words::new(OUTCOMES),
            answers: Words::new(CLASSES),
            late: Count::default(),
            attempts: Words::new(ATTEMPTS),
            second_tries: Count::default(),
            repeats: Words::new(REPEATS),
            request_ms: Durations::default(),
            admitted: Count::default(),
            queued: Count::default(),
            refusals: Words::new(REFUSALS),
            runs: Words::new(RUNS),
            dropped: Count::default(),
            probes: Count::default(),
            wait_ms: Durations::default(),
            run_ms: Durations::default(),
            zone_bytes: Words::new(KINDS),
            store_calls: Words::new(CALLS),
            changes: Words::new(CHANGES),
            lines_dropped: Count::default(),
            spans: Count::default(),
            spans_dropped: Count::default(),
            active: Count::default(),
            running: Count::default(),
            waiting: Count::default(),
            capacity: Count::default(),
            work_percent: Count::default(),
            peers_up: Count::default(),
            servers: Count::default(),
            version: Count::default(),
            list_revision: Count::default(),
        }
    }
}
