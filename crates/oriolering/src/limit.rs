//! The concurrency limit of a backend server.

use crate::Millis;

/// A limit on the calls that run at once, between a floor and a ceiling.
#[derive(Debug)]
pub struct Limit {
    value: u32,
    min: u32,
    max: u32,
    epoch: u32,
}

impl Limit {
    /// Returns a limit that starts at `initial`.
    pub fn new(initial: u32, min: u32, max: u32) -> Self {
        let min = min.max(1);
        let max = max.max(min);
        Self {
            value: initial.clamp(min, max),
            min,
            max,
            epoch: 0,
        }
    }

    /// Changes the bounds.
    pub fn resize(&mut self, min: u32, max: u32) {
        self.min = min.max(1);
        self.max = max.max(self.min);
        self.value = self.value.clamp(self.min, self.max);
    }

    /// Returns the limit in force.
    pub fn value(&self, _now: Millis) -> u32 {
        self.value
    }

    /// Returns the number of changes of the limit.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }
}
