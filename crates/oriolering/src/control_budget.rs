//! The budget of bytes and processor time for control, and what is shed when it runs low.

use crate::Millis;

/// How long a rate may be saved up.
const WINDOW_SECONDS: u64 = 60;

/// A token bucket that may go into debt.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: u64,
    size: i64,
    level: i64,
    at: Millis,
}

impl TokenBucket {
    /// Returns a full bucket of `size` tokens that gains `rate` tokens each second.
    pub fn new(rate: u64, size: u64, now: Millis) -> Self {
        Self {
            rate,
            size: size as i64,
            level: size as i64,
            at: now,
        }
    }

    /// Takes `count` tokens when they are there and returns whether they were.
    pub fn try_take(&mut self, now: Millis, count: u64) -> bool {
        self.refill(now);
        if self.level < count as i64 {
            return false;
        }
        self.level -= count as i64;
        true
    }

    /// Takes `count` tokens that are already spent; the level may fall below zero.
    pub fn spend(&mut self, now: Millis, count: u64) {
        self.refill(now);
        self.level = self.level.saturating_sub_unsigned(count).max(-self.size);
    }

    /// Returns how full the bucket is, in percent; zero when it is in debt.
    pub fn percent(&mut self, now: Millis) -> u64 {
        self.refill(now);
        self.level.max(0) as u64 * 100 / self.size.max(1) as u64
    }

    /// Adds the tokens gained since the last call; the time of a part of a token is kept.
    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.at).saturating_mul(self.rate) / 1000;
        if gained == 0 {
            return;
        }
        self.level = self.level.saturating_add_unsigned(gained).min(self.size);
        self.at = self.at + gained * 1000 / self.rate.max(1);
    }
}

/// Kinds of control work, the most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlWork {
    /// Update of a configuration or of instances, and leaving marks; never shed.
    Update,
    /// Periodic exchanges with random peers.
    Sync,
    /// Quarantines and hints.
    Gossip,
}

/// The control budget of one node.
#[derive(Clone, Copy, Debug)]
pub struct ControlBudget {
    bytes: TokenBucket,
    cpu: TokenBucket,
}

impl ControlBudget {
    /// Returns a full budget of `bytes_rate` bytes and `cpu_rate` microseconds each second.
    pub fn new(bytes_rate: u64, cpu_rate: u64, now: Millis) -> Self {
        Self {
            bytes: TokenBucket::new(bytes_rate, bytes_rate * WINDOW_SECONDS, now),
            cpu: TokenBucket::new(cpu_rate, cpu_rate * WINDOW_SECONDS, now),
        }
    }

    /// Debits bytes that were sent or received and microseconds that were used.
    pub fn spend(&mut self, now: Millis, bytes: u64, cpu_us: u64) {
        self.bytes.spend(now, bytes);
        self.cpu.spend(now, cpu_us);
    }

    /// Returns what is left of the scarcer of the two, in percent.
    pub fn percent(&mut self, now: Millis) -> u64 {
        self.bytes.percent(now).min(self.cpu.percent(now))
    }

    /// Returns whether `work` may be done: gossip goes below a half of the budget, exchanges
    /// below a quarter.
    pub fn allows(&mut self, now: Millis, work: ControlWork) -> bool {
        match work {
            ControlWork::Update => true,
            ControlWork::Sync => self.percent(now) >= 25,
            ControlWork::Gossip => self.percent(now) >= 50,
        }
    }
}
