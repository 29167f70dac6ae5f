//! The counters of a node, which metrics scrapes read; a request only increments them.

use std::sync::atomic::{AtomicU64, Ordering};

/// The upper bounds of the buckets of a histogram, in milliseconds. They grow by a factor of about
/// two, from the shortest exchange on one instance to the longest documented timeout of a route.
pub(crate) const BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

/// The outcomes of callers' requests.
pub(crate) const OUTCOMES: [&str; 7] = [
    "answered",
    "given_up",
    "deadline",
    "cancelled",
    "unrouted",
    "unready",
    "body_cut",
];
/// The classes of status codes.
pub(crate) const CLASSES: [&str; 5] = ["1xx", "2xx", "3xx", "4xx", "5xx"];
/// The outcomes of attempts, as the ingress learns them.
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
/// The kinds of repeats: a second try, a second run, a call made by a repeated run.
pub(crate) const REPEATS: [&str; 3] = ["try", "run", "call"];
/// The reasons why gates refuse requests.
pub(crate) const REFUSALS: [&str; 9] = [
    "elsewhere",
    "late",
    "full",
    "leaving",
    "evacuated",
    "down",
    "quarantined",
    "budget",
    "limit",
];
/// The outcomes of exchanges with the local backend server.
pub(crate) const RUNS: [&str; 4] = ["answered", "unexecuted", "unsent", "failed"];
/// The kinds of traffic between nodes in different availability zones.
pub(crate) const KINDS: [&str; 10] = [
    "offer", "repeat", "answer", "refusal", "body", "credit", "cancel", "load", "question", "news",
];
/// How streamed responses end at the ingress.
pub(crate) const STREAMS: [&str; 3] = ["complete", "cut", "left"];
/// The causes of calls to the store.
pub(crate) const CALLS: [&str; 3] = ["start", "list", "watch"];
/// The changes of a node's state that are counted.
pub(crate) const CHANGES: [&str; 22] = [
    "store_lost",
    "store_back",
    "store_returned",
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
    "server_cold",
    "server_warm",
    "zone_evacuated",
    "zone_restored",
    "routes_taken",
    "routes_rejected",
    "settings_reloaded",
    "request_quarantined",
    "request_cleared",
];

/// A counter, or a gauge that is set before a scrape.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    /// Adds to the value.
    pub(crate) fn add(&self, amount: u64) {
        // Only one thread writes, so no atomic read-modify-write is needed.
        let sum = self.get().wrapping_add(amount);
        self.0.store(sum, Ordering::Relaxed);
    }

    /// Sets the value.
    pub(crate) fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Returns the value.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A counter for each value of a label.
#[derive(Debug)]
pub(crate) struct LabeledCounters<const N: usize> {
    labels: [&'static str; N],
    counters: [Counter; N],
}

impl<const N: usize> LabeledCounters<N> {
    fn new(labels: [&'static str; N]) -> Self {
        let counters = std::array::from_fn(|_| Counter::default());
        Self { labels, counters }
    }

    /// Adds one to the counter of a label value; unknown values are not counted.
    pub(crate) fn add(&self, label: &str) {
        self.add_many(label, 1);
    }

    /// Adds to the counter of a label value; unknown values are not counted.
    pub(crate) fn add_many(&self, label: &str, amount: u64) {
        if let Some(index) = self.labels.iter().position(|l| *l == label) {
            self.counters[index].add(amount);
        }
    }

    /// Returns the label values with their counts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = self.counters.iter().map(Counter::get);
        self.labels.iter().copied().zip(counts)
    }
}

/// A histogram of durations with the bounds [`BOUNDS_MS`].
#[derive(Debug, Default)]
pub(crate) struct Histogram {
    buckets: [Counter; BOUNDS_MS.len()],
    overflow: Counter,
    sum: Counter,
}

impl Histogram {
    /// Records a duration.
    pub(crate) fn record(&self, ms: u64) {
        let bucket = BOUNDS_MS.iter().position(|bound| ms <= *bound);
        bucket.map_or(&self.overflow, |i| &self.buckets[i]).add(1);
        self.sum.add(ms);
    }

    /// Returns each bound with the number of durations up to it.
    pub(crate) fn cumulative(&self) -> impl Iterator<Item = (u64, u64)> {
        let counts = self.buckets.iter().scan(0, |sum, count| {
            *sum += count.get();
            Some(*sum)
        });
        BOUNDS_MS.into_iter().zip(counts)
    }

    /// Returns the number of durations.
    pub(crate) fn count(&self) -> u64 {
        let within: u64 = self.buckets.iter().map(Counter::get).sum();
        within + self.overflow.get()
    }

    /// Returns the sum of the durations, in milliseconds.
    pub(crate) fn sum(&self) -> u64 {
        self.sum.get()
    }
}

/// All counters and gauges of a node.
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
    pub(crate) streams: LabeledCounters<{ STREAMS.len() }>,
    pub(crate) stream_bytes: Counter,
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
    pub(crate) held_bytes: Counter,
    pub(crate) memory_rejections: Counter,
    pub(crate) active: Counter,
    pub(crate) running: Counter,
    pub(crate) waiting: Counter,
    pub(crate) capacity: Counter,
    pub(crate) work_percent: Counter,
    pub(crate) peers_up: Counter,
    pub(crate) servers: Counter,
    pub(crate) version: Counter,
    pub(crate) list_revision: Counter,
    pub(crate) store_era: Counter,
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
            streams: LabeledCounters::new(STREAMS),
            stream_bytes: Counter::default(),
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
            held_bytes: Counter::default(),
            memory_rejections: Counter::default(),
            active: Counter::default(),
            running: Counter::default(),
            waiting: Counter::default(),
            capacity: Counter::default(),
            work_percent: Counter::default(),
            peers_up: Counter::default(),
            servers: Counter::default(),
            version: Counter::default(),
            list_revision: Counter::default(),
            store_era: Counter::default(),
        }
    }
}
