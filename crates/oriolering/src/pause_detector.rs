//! Detection of pauses of the process.

use crate::Millis;

/// The maximum time between two ticks of a process that was not paused, in milliseconds.
pub const TICK_MAX_MS: u64 = 250;
/// The time after a pause in which no work is dispatched, so that input that arrived during the
/// pause is read first, in milliseconds.
pub const SETTLE_MS: u64 = 20;

/// A detector of long gaps between two ticks of the clock.
///
/// A process that was paused still holds work whose deadline has passed or whose caller is gone.
/// After a gap, nothing is dispatched until the settle time is over.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_tick: Option<Millis>,
    settle_end: Millis,
}

impl PauseDetector {
    /// Records that the process is running.
    pub fn tick(&mut self, now: Millis) {
        self.observe(now);
        self.last_tick = Some(now);
    }

    /// Starts the settle time when the last tick was too long ago.
    pub fn observe(&mut self, now: Millis) {
        let Some(tick) = self.last_tick else {
            return;
        };
        if now.since(tick) > TICK_MAX_MS {
            self.last_tick = Some(now);
            self.settle_end = now + SETTLE_MS;
        }
    }

    /// Returns the end of the settle time while it lasts.
    pub fn settling_until(&self, now: Millis) -> Option<Millis> {
        (now < self.settle_end).then_some(self.settle_end)
    }
}
