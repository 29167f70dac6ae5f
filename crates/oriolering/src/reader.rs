//! Which nodes read the platform's service, and how often each may.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control_budget::TokenBucket;
use crate::{Member, Millis};

/// Reads that a node may make at once.
const READ_BURST: u64 = 4;
/// Reads that a node may make each second over time.
const READ_RATE: u64 = 1;
/// The first wait after a failed read.
const BACKOFF_MIN_MS: u64 = 500;
/// The longest wait after failed reads.
const BACKOFF_MAX_MS: u64 = 30_000;

/// Returns whether `id` is one of the `count` readers of its availability zone.
///
/// The readers are the live members with the highest rendezvous hash under `salt`, so every
/// node decides alone and a different list only costs a few reads. With the revision in force
/// as the salt the readers change with each revision, which spreads the cost of the reads.
pub fn is_reader(members: &[Member], id: &str, salt: u64, count: usize) -> bool {
    let Some(me) = members.iter().find(|member| member.id == id) else {
        return false;
    };
    if me.leaving {
        return false;
    }
    let mine = rank(&me.id, salt);
    let ahead = members
        .iter()
        .filter(|member| member.zone == me.zone && !member.leaving)
        .filter(|member| (rank(&member.id, salt), &member.id) > (mine, &me.id));
    ahead.take(count).count() < count
}

fn rank(id: &str, salt: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), salt)
}

/// The limit of one node's reads, with a backoff after failures.
#[derive(Clone, Debug)]
pub struct ReadLimiter {
    bucket: TokenBucket,
    failures: u32,
}

impl ReadLimiter {
    /// Returns a limit that allows a short burst from the start.
    pub fn new(now: Millis) -> Self {
        Self {
            bucket: TokenBucket::new(READ_RATE, READ_BURST, now),
            failures: 0,
        }
    }

    /// Debits one read and returns whether it may be made.
    pub fn take(&mut self, now: Millis) -> bool {
        self.bucket.try_take(now, 1)
    }

    /// Notes that a read was answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed read and returns how long to wait, with jitter.
    pub fn record_failure(&mut self, rng: &mut impl Rng) -> u64 {
        let ceiling = (BACKOFF_MIN_MS << self.failures.min(16)).min(BACKOFF_MAX_MS);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(ceiling / 2..=ceiling)
    }
}
