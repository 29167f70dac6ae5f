//! What a gate knows about its backend server: slots, limit and service time.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::latency::Latency;
use crate::slots::Slots;
use crate::{Finish, GateSettings, LoadHint, Millis};

/// How long a slot is held after a failure while no service time is known.
const FIRST_HOLD_MS: u64 = 10;

/// The run of a dispatched call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) epoch: u32,
    pub(crate) start: Millis,
}

/// The estimates about a backend server and the slots that are given out.
#[derive(Debug)]
pub(crate) struct Server {
    limit: ConcurrencyLimit,
    latency: Latency,
    slots: Slots,
}

impl Server {
    pub(crate) fn new(settings: GateSettings, now: Millis) -> Self {
        let limit = ConcurrencyLimit::new(
            settings.initial,
            settings.min,
            settings.max,
            now,
            settings.ramp_ms,
        );
        Self {
            limit,
            latency: Latency::new(),
            slots: Slots::default(),
        }
    }

    pub(crate) fn update(&mut self, now: Millis, settings: GateSettings) {
        self.limit.resize(settings.min, settings.max);
        self.limit.set_ramp(now, settings.ramp_ms);
    }

    pub(crate) fn restart(&mut self, now: Millis, ramp: u64) {
        self.limit.restart(now, ramp);
    }

    pub(crate) fn has_slot(&self, now: Millis) -> bool {
        self.slots.used(now) < self.limit.value(now)
    }

    pub(crate) fn take_slot(&mut self, customer: u64) {
        self.slots.take(customer);
    }

    pub(crate) fn free_slot(&mut self, customer: u64) {
        self.slots.free(customer);
    }

    /// Returns the number of slots that calls of `customer` have taken.
    pub(crate) fn slots_of(&self, customer: u64) -> u32 {
        self.slots.running(customer)
    }

    /// Starts the run of a call that has a slot.
    pub(crate) fn start(&mut self, now: Millis) -> Run {
        self.limit.record_start(now, self.slots.used(now));
        Run {
            epoch: self.limit.epoch(),
            start: now,
        }
    }

    /// Records how a run ended; its slot is held for a while after a fast failure.
    pub(crate) fn finish(&mut self, now: Millis, run: Run, finish: Finish) {
        match finish {
            Finish::Done { latency_us } => {
                self.latency.record(latency_us);
                self.limit.record_success(now, run.epoch, latency_us);
                return;
            }
            Finish::Failed { .. } | Finish::NotSent => self.limit.record_failure(run.epoch),
            Finish::Shed => self.limit.record_shed(run.epoch),
            Finish::Lost => {
                self.limit.record_failure(run.epoch);
                self.record_lost(now, run);
            }
        }
        let ms = self.hold_ms(now, run, finish);
        self.slots.hold(now, ms);
    }

    /// Records a run that ended without an answer.
    ///
    /// Its service time is at least the time that it ran, which counts when that is longer
    /// than usual.
    pub(crate) fn record_lost(&mut self, now: Millis, run: Run) {
        let us = elapsed_us(now, run);
        if us > self.latency.median() {
            self.latency.record(us);
            self.limit.record_success(now, run.epoch, us);
        }
    }

    /// Returns how long the slot of a failed run is held, so that failures take as long as
    /// successes.
    fn hold_ms(&self, now: Millis, run: Run, finish: Finish) -> u64 {
        let elapsed = match finish {
            Finish::Failed { latency_us } => latency_us,
            Finish::Done { .. } | Finish::NotSent | Finish::Shed | Finish::Lost => {
                elapsed_us(now, run)
            }
        };
        match self.latency.median() {
            0 => FIRST_HOLD_MS,
            usual => u64::from(usual.saturating_sub(elapsed).div_ceil(1_000)),
        }
    }

    /// Drops the holds of slots that have ended.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.slots.prune(now);
    }

    /// Returns when a slot becomes free without the end of a call.
    pub(crate) fn next_free_slot(&self, now: Millis) -> Option<Millis> {
        let ends = [self.slots.next_end(), self.limit.next_rise(now)];
        ends.into_iter().flatten().min()
    }

    /// Returns the usual service time in milliseconds, rounded down.
    pub(crate) fn service_ms(&self) -> u64 {
        self.latency.service_ms()
    }

    /// Returns the time in which `count` waiting calls find a slot, in milliseconds.
    pub(crate) fn drain_ms(&self, now: Millis, count: usize) -> u64 {
        self.latency.drain_ms(count, self.limit.value(now))
    }

    pub(crate) fn load_hint(&self, now: Millis, queued: usize, leaving: bool) -> LoadHint {
        LoadHint {
            running: self.slots.used(now),
            queued: queued as u32,
            limit: self.limit.value(now),
            latency_us: self.latency.median(),
            leaving,
        }
    }
}

/// Returns the time since the start of a run in microseconds.
fn elapsed_us(now: Millis, run: Run) -> u32 {
    let us = now.since(run.start).saturating_mul(1_000);
    u32::try_from(us).unwrap_or(u32::MAX)
}
