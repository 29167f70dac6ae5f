//! The slots of a backend server that are in use.

use std::collections::HashMap;

use crate::Millis;

/// The maximum time that a slot is blocked after a failure, in milliseconds.
const HOLD_MAX_MS: u64 = 1_000;

/// The slots taken by calls, and those held for a while after calls that failed fast.
///
/// Without held slots, a backend server that fails fast would get more calls than one that works.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    taken: u32,
    by_customer: HashMap<u64, u32>,
    held_until: Vec<Millis>,
}

impl Slots {
    /// Takes a slot for a call of `customer`.
    pub(crate) fn take(&mut self, customer: u64) {
        self.taken += 1;
        *self.by_customer.entry(customer).or_default() += 1;
    }

    /// Frees the slot of a call of `customer`.
    pub(crate) fn free(&mut self, customer: u64) {
        self.taken -= 1;
        if let Some(count) = self.by_customer.get_mut(&customer) {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(&customer);
            }
        }
    }

    /// Blocks a freed slot for `ms` milliseconds.
    pub(crate) fn hold(&mut self, now: Millis, ms: u64) {
        self.prune(now);
        if ms > 0 {
            self.held_until.push(now + ms.min(HOLD_MAX_MS));
        }
    }

    /// Removes the holds that have ended.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.held_until.retain(|until| *until > now);
    }

    /// Returns the number of slots that are taken or held.
    pub(crate) fn used(&self, now: Millis) -> u32 {
        let held = self.held_until.iter().filter(|until| **until > now);
        self.taken + held.count() as u32
    }

    /// Returns the number of slots taken by calls of `customer`.
    pub(crate) fn running(&self, customer: u64) -> u32 {
        self.by_customer.get(&customer).copied().unwrap_or(0)
    }

    /// Returns when the next hold ends.
    pub(crate) fn next_end(&self) -> Option<Millis> {
        self.held_until.iter().min().copied()
    }
}
