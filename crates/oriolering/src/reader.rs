//! Selects the nodes that read from the platform's store and limits the rate of their reads.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control_budget::TokenBucket;
use crate::{Member, Millis};

/// The number of reads that a node may make in a burst.
const READ_BURST: u64 = 4;
/// The sustained number of reads per second that a node may make.
const READ_RATE: u64 = 1;
/// The longest delay after the first failed read.
const BACKOFF_MIN_MS: u64 = 500;
/// The longest delay after repeated failed reads.
const BACKOFF_MAX_MS: u64 = 30_000;

/// Returns whether `id` is one of the `count` readers of its availability zone.
///
/// The readers are the members not leaving with the highest rendezvous hash under `salt`, so
/// every node decides on its own, and nodes with different member lists only cause a few extra
/// reads. With the current revision as the salt, the readers change with each revision, which
/// spreads the cost of the reads.
pub fn is_reader(members: &[Member], id: &str, salt: u64, count: usize) -> bool {
    let Some(own) = members.iter().find(|member| member.id == id) else {
        return false;
    };
    if own.leaving {
        return false;
    }
    let own_rank = rank(&own.id, salt);
    let higher = members
        .iter()
        .filter(|member| member.zone == own.zone && !member.leaving)
        .filter(|member| (rank(&member.id, salt), &member.id) > (own_rank, &own.id));
    higher.take(count).count() < count
}

fn rank(id: &str, salt: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), salt)
}

/// Limits the rate of one node's reads and computes the backoff after failures.
#[derive(Clone, Debug)]
pub struct ReadLimiter {
    bucket: TokenBucket,
    failures: u32,
}

impl ReadLimiter {
    /// Returns a limiter that allows a short burst from the start.
    pub fn new(now: Millis) -> Self {
        Self {
            bucket: TokenBucket::new(READ_RATE, READ_BURST, now),
            failures: 0,
        }
    }

    /// Takes a token for one read; returns whether the read may be made.
    pub fn take(&mut self, now: Millis) -> bool {
        self.bucket.try_take(now, 1)
    }

    /// Records a successful read, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read and returns the backoff in milliseconds, with jitter.
    pub fn record_failure(&mut self, rng: &mut impl Rng) -> u64 {
        let ceiling = (BACKOFF_MIN_MS << self.failures.min(16)).min(BACKOFF_MAX_MS);
        self.failures = self.failures.saturating_add(1);
        rng.random_range(ceiling / 2..=ceiling)
    }
}
