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
pub(crate) struct Counter(AtomicU64);

impl Counter {
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
pub(crate) struct LabeledCounters<const N: usize> {
    words: [&'static str; N],
    counts: [Counter; N],
}

impl<const N: usize> LabeledCounters<N> {
    fn new(words: [&'static str; N]) -> Self {
        let counts = std::array::from_fn(|_| Counter::default());
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
        let counts = self.counts.iter().map(Counter::get);
        self.words.iter().copied().zip(counts)
    }
}

/// How many durations lie within each bound, and their sum.
#[derive(Debug, Default)]
pub(crate) struct Histogram {
    counts: [Counter; BOUNDS_MS.len()],
    above: Counter,
    sum: Counter,
}

impl Histogram {
    /// Takes in a duration.
    pub(crate) fn record(&self, ms: u64) {
        let bucket = BOUNDS_MS.iter().position(|bound| ms <= *bound);
        bucket.map_or(&self.above, |i| &self.counts[i]).add(1);
        self.sum.add(ms);
    }

    /// Returns each bound with the number of durations up to it.
    pub(crate) fn cumulative(&self) -> impl Iterator<Item = (u64, u64)> {
        let counts = self.counts.iter().scan(0, |sum, count| {
            *sum += count.get();
            Some(*sum)
        });
        BOUNDS_MS.into_iter().zip(counts)
    }

    /// Returns the number of durations.
    pub(crate) fn number(&self) -> u64 {
        let within: u64 = self.counts.iter().map(Counter::get).sum();
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
    pub(crate) requests: Counter,
    pub(crate) outcomes: LabeledCounters<{ OUTCOMES.len() }>,
    pub(crate) answers: LabeledCounters<{ CLASSES.len() }>,
    pub(crate) late: Counter,
    pub(crate) attempts: LabeledCounters<{ ATTEMPTS.len() }>,
    pub(crate) second_tries: Counter,
    pub(crate) repeats: LabeledCounters<{ REPEATS.len() }>,
    pub(crate) request_ms: Histogram,
    pub(crate) admitted: Counter,
    pub(crate) queued: Counter,
    pub(crate) refusals: LabeledCounters<{ REFUSALS.len() }>,
    pub(crate) runs: LabeledCounters<{ RUNS.len() }>,
    pub(crate) dropped: Counter,
    pub(crate) probes: Counter,
    pub(crate) wait_ms: Histogram,
    pub(crate) run_ms: Histogram,
    pub(crate) zone_bytes: LabeledCounters<{ KINDS.len() }>,
    pub(crate) store_calls: LabeledCounters<{ CALLS.len() }>,
    pub(crate) changes: LabeledCounters<{ CHANGES.len() }>,
    pub(crate) lines_dropped: Counter,
    pub(crate) spans: Counter,
    pub(crate) spans_dropped: Counter,
    pub(crate) active: Counter,
    pub(crate) running: Counter,
    pub(crate) waiting: Counter,
    pub(crate) capacity: Counter,
    pub(crate) work_percent: Counter,
    pub(crate) peers_up: Counter,
    pub(crate) servers: Counter,
    pub(crate) version: Counter,
    pub(crate) list_revision: Counter,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            requests: Counter::default(),
            outcomes: LabeledCounters::new(OUTCOMES),
            answers: LabeledCounters::new(CLASSES),
            late: Counter::default(),
            attempts: LabeledCounters::new(ATTEMPTS),
            second_tries: Counter::default(),
            repeats: LabeledCounters::new(REPEATS),
            request_ms: Histogram::default(),
            admitted: Counter::default(),
            queued: Counter::default(),
            refusals: LabeledCounters::new(REFUSALS),
            runs: LabeledCounters::new(RUNS),
            dropped: Counter::default(),
            probes: Counter::default(),
            wait_ms: Histogram::default(),
            run_ms: Histogram::default(),
            zone_bytes: LabeledCounters::new(KINDS),
            store_calls: LabeledCounters::new(CALLS),
            changes: LabeledCounters::new(CHANGES),
            lines_dropped: Counter::default(),
            spans: Counter::default(),
            spans_dropped: Counter::default(),
            active: Counter::default(),
            running: Counter::default(),
            waiting: Counter::default(),
            capacity: Counter::default(),
            work_percent: Counter::default(),
            peers_up: Counter::default(),
            servers: Counter::default(),
            version: Counter::default(),
            list_revision: Counter::default(),
        }
    }
}
