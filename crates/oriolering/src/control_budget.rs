//! The byte and CPU budget of the control plane, and the work that is shed when it runs low.

use crate::Millis;

/// The capacity of a bucket, in seconds of its rate.
const WINDOW_SECONDS: u64 = 60;

/// A token bucket whose level may become negative.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: u64,
    size: i64,
    level: i64,
    updated: Millis,
}

impl TokenBucket {
    /// Returns a full bucket of `size` tokens that gains `rate` tokens per second.
    pub fn new(rate: u64, size: u64, now: Millis) -> Self {
        Self {
            rate,
            size: size as i64,
            level: size as i64,
            updated: now,
        }
    }

    /// Takes `count` tokens if they are available, and returns whether they were.
    pub fn try_take(&mut self, now: Millis, count: u64) -> bool {
        self.refill(now);
        if self.level < count as i64 {
            return false;
        }
        self.level -= count as i64;
        true
    }

    /// Takes `count` tokens for work that is already done; the level may become negative.
    pub fn spend(&mut self, now: Millis, count: u64) {
        self.refill(now);
        self.level = self.level.saturating_sub_unsigned(count).max(-self.size);
    }

    /// Returns the fill level in percent, or zero if the level is negative.
    pub fn percent(&mut self, now: Millis) -> u64 {
        self.refill(now);
        self.level.max(0) as u64 * 100 / self.size.max(1) as u64
    }

    /// Adds the tokens gained since the last refill, carrying over the time of a partial token.
    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.updated).saturating_mul(self.rate) / 1000;
        if gained == 0 {
            return;
        }
        self.level = self.level.saturating_add_unsigned(gained).min(self.size);
        self.updated = self.updated + gained * 1000 / self.rate.max(1);
    }
}

/// The kinds of control work, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlWork {
    /// Updates of the configuration or of instances, and notices of leaving; never shed.
    Update,
    /// Periodic exchanges with random peers.
    Sync,
    /// Gossip of quarantines and load hints.
    Gossip,
}

/// The control budget of one node.
#[derive(Clone, Copy, Debug)]
pub struct ControlBudget {
    bytes: TokenBucket,
    cpu: TokenBucket,
}

impl ControlBudget {
    /// Returns a full budget of `bytes_rate` bytes and `cpu_rate` microseconds per second.
    pub fn new(bytes_rate: u64, cpu_rate: u64, now: Millis) -> Self {
        Self {
            bytes: TokenBucket::new(bytes_rate, bytes_rate * WINDOW_SECONDS, now),
            cpu: TokenBucket::new(cpu_rate, cpu_rate * WINDOW_SECONDS, now),
        }
    }

    /// Debits bytes that were sent or received and CPU time that was used, in microseconds.
    pub fn spend(&mut self, now: Millis, bytes: u64, cpu_us: u64) {
        self.bytes.spend(now, bytes);
        self.cpu.spend(now, cpu_us);
    }

    /// Returns the remaining part of the scarcer of the two resources, in percent.
    pub fn percent(&mut self, now: Millis) -> u64 {
        self.bytes.percent(now).min(self.cpu.percent(now))
    }

    /// Returns whether `work` may be done.
    ///
    /// Gossip is shed below half of the budget, periodic exchanges below a quarter.
    pub fn allows(&mut self, now: Millis, work: ControlWork) -> bool {
        match work {
            ControlWork::Update => true,
            ControlWork::Sync => self.percent(now) >= 25,
            ControlWork::Gossip => self.percent(now) >= 50,
        }
    }
}
