//! Detects that the process was paused.

use crate::Millis;

/// The longest time between two ticks of a process that was not paused.
pub const TICK_MAX_MS: u64 = 250;
/// The time after a pause in which what arrived meanwhile is read before work is dispatched.
pub const SETTLE_MS: u64 = 20;

/// A detector of jumps of the clock between ticks.
///
/// A process that was paused still holds work whose deadline passed and whose caller left.
/// After a jump nothing is dispatched until the settle time is over.
#[derive(Debug, Default)]
pub struct PauseDetector {
    tick: Option<Millis>,
    until: Millis,
}

impl PauseDetector {
    /// Records that the process runs.
    pub fn tick(&mut self, now: Millis) {
        self.observe(now);
        self.tick = Some(now);
    }

    /// Starts the settle time when the last tick is too long ago.
    pub fn observe(&mut self, now: Millis) {
        let Some(tick) = self.tick else {
            return;
        };
        if now.since(tick) > TICK_MAX_MS {
            self.tick = Some(now);
            self.until = now + SETTLE_MS;
        }
    }

    /// Returns the end of the settle time while it lasts.
    pub fn settling_until(&self, now: Millis) -> Option<Millis> {
        (now < self.until).then_some(self.until)
    }
}
