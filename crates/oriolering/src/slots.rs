//! The slots of a backend server that a gate has given out.

use std::collections::HashMap;

use crate::Millis;

/// The longest time that a slot is kept from use after a failure.
const HOLD_MAX_MS: u64 = 1_000;

/// The slots in use: by calls, and held for a while after calls that failed fast.
///
/// A held slot keeps a backend server that fails fast from taking more calls than one that
/// works.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    taken: u32,
    holders: HashMap<u64, u32>,
    held: Vec<Millis>,
}

impl Slots {
    /// Gives a slot to a call of `customer`.
    pub(crate) fn take(&mut self, customer: u64) {
        self.taken += 1;
        *self.holders.entry(customer).or_default() += 1;
    }

    /// Frees the slot of a call of `customer`.
    pub(crate) fn free(&mut self, customer: u64) {
        self.taken -= 1;
        if let Some(count) = self.holders.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.holders.remove(&customer);
            }
        }
    }

    /// Keeps a freed slot from use for `ms` milliseconds.
    pub(crate) fn hold(&mut self, now: Millis, ms: u64) {
        self.prune(now);
        if ms > 0 {
            self.held.push(now + ms.min(HOLD_MAX_MS));
        }
    }

    /// Drops the holds that have ended.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.held.retain(|until| *until > now);
    }

    /// Returns the number of slots that are taken or held.
    pub(crate) fn used(&self, now: Millis) -> u32 {
        let held = self.held.iter().filter(|until| **until > now);
        self.taken + held.count() as u32
    }

    /// Returns the number of slots that calls of `customer` have taken.
    pub(crate) fn running(&self, customer: u64) -> u32 {
        self.holders.get(&customer).copied().unwrap_or(0)
    }

    /// Returns when the first hold ends.
    pub(crate) fn next_end(&self) -> Option<Millis> {
        self.held.iter().min().copied()
    }
}
