//! The state of a stand-in backend server: slots, faults and its record of runs.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::backend_fault::Fault;

const NOISE_PERIOD_MS: u64 = 100_000;
const NOISE_PAUSE: Duration = Duration::from_millis(50);

/// The record of runs that a backend server shows at `/_runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// How often each nonce was run.
    pub runs: HashMap<CompactString, u32>,
    /// The nonces in the order in which they started.
    pub order: Vec<CompactString>,
    /// Requests whose connection closed before the answer.
    pub cancelled: u64,
    /// Requests given up at their deadline.
    pub expired: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests that arrived, run or not.
    pub arrived: u64,
    /// The most requests seen running at once.
    pub peak: u32,
}

impl Runs {
    /// Notes that the run of a nonce starts.
    pub fn start(&mut self, nonce: &str) {
        let nonce = CompactString::from(nonce);
        *self.runs.entry(nonce.clone()).or_default() += 1;
        self.order.push(nonce);
    }

    /// Reads the file of nonces that a backend server wrote, also after it was killed.
    pub fn parse(text: &str) -> Self {
        let mut runs = Self::default();
        text.lines().for_each(|nonce| runs.start(nonce));
        runs
    }
}

/// The load that a backend server reports at `/_load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// The number of slots.
    pub slots: u32,
}

/// What a backend server is started with.
#[derive(Debug)]
pub struct BackendSettings {
    /// The number of slots.
    pub slots: u32,
    /// The mean service time in microseconds.
    pub service_us: u64,
    /// Whether service times are exponential instead of fixed.
    pub exponential: bool,
    /// The seed of service times and pauses.
    pub seed: u64,
    /// The file to which the nonce of each run is appended.
    pub record: Option<File>,
}

pub(crate) struct State {
    pub(crate) settings: BackendSettings,
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) runs: Mutex<Runs>,
    /// When the health was asked for, in milliseconds since the epoch.
    pub(crate) polls: Mutex<Vec<u64>>,
    pub(crate) running: AtomicU32,
    pub(crate) queued: AtomicU32,
    fault: Mutex<(Fault, Instant)>,
    reported: Mutex<(Load, Option<Instant>)>,
    noise: Mutex<(StdRng, Instant)>,
    drawn: AtomicU64,
}

impl State {
    pub(crate) fn new(settings: BackendSettings) -> Self {
        let seed = settings.seed;
        Self {
            permits: Arc::new(Semaphore::new(settings.slots as usize)),
            runs: Mutex::default(),
            polls: Mutex::default(),
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            fault: Mutex::new((Fault::default(), Instant::now())),
            reported: Mutex::default(),
            noise: Mutex::new((StdRng::seed_from_u64(seed), Instant::now())),
            drawn: AtomicU64::new(0),
            settings,
        }
    }

    /// Notes that the health was asked for now.
    pub(crate) fn note_poll(&self) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = since.unwrap_or_default().as_millis() as u64;
        self.polls.lock().push(ms);
    }

    pub(crate) fn fault(&self) -> Fault {
        self.fault.lock().0
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = (fault, Instant::now());
        if fault.freeze_ms > 0 {
            std::thread::sleep(Duration::from_millis(fault.freeze_ms));
        }
    }

    /// Notes the start of a run before anything else of it happens.
    ///
    /// # Panics
    ///
    /// Panics when the record cannot be written, as every proof rests on it.
    pub(crate) fn record(&self, nonce: &str) {
        let mut runs = self.runs.lock();
        runs.start(nonce);
        let running = self.running.load(Ordering::Relaxed);
        runs.peak = runs.peak.max(running);
        if let Some(mut file) = self.settings.record.as_ref() {
            let line = format!("{nonce}\n");
            file.write_all(line.as_bytes())
                .expect("the record of runs is on a writable file system");
        }
    }

    /// Returns the service time of the next run; `asked_us` replaces the drawn one.
    pub(crate) fn service_time(&self, asked_us: Option<u64>) -> Duration {
        let us = asked_us.unwrap_or_else(|| self.draw_us());
        let (fault, since) = *self.fault.lock();
        let age = since.elapsed().as_millis() as u64;
        Duration::from_micros((us as f64 * fault.factor(age)) as u64) + self.pause(fault.noisy)
    }

    fn draw_us(&self) -> u64 {
        let mean = self.settings.service_us;
        if !self.settings.exponential {
            return mean;
        }
        let number = self.drawn.fetch_add(1, Ordering::Relaxed);
        let mut rng = StdRng::seed_from_u64(self.settings.seed ^ number.rotate_left(32));
        let uniform = rng.random_range(f64::MIN_POSITIVE..1.0);
        (-uniform.ln() * mean as f64) as u64
    }

    /// Returns what is left of a pause in force, and now and then starts one.
    fn pause(&self, noisy: u32) -> Duration {
        if noisy == 0 {
            return Duration::ZERO;
        }
        let mut noise = self.noise.lock();
        let now = Instant::now();
        while noise.1 + NOISE_PAUSE < now {
            let mean = NOISE_PERIOD_MS as f64 / f64::from(noisy);
            let uniform = noise.0.random_range(f64::MIN_POSITIVE..1.0);
            noise.1 += Duration::from_micros((-uniform.ln() * mean * 1000.0) as u64);
            noise.1 += NOISE_PAUSE;
        }
        let start = noise.1;
        match start <= now {
            true => start + NOISE_PAUSE - now,
            false => Duration::ZERO,
        }
    }

    /// Returns the load as the endpoint reports it: late, or false.
    pub(crate) fn reported(&self) -> Load {
        let fault = self.fault();
        let mut reported = self.reported.lock();
        let lag = Duration::from_millis(fault.lag_ms);
        let fresh = reported.1.is_some_and(|at| at.elapsed() < lag);
        if !fresh {
            *reported = (self.load(), Some(Instant::now()));
        }
        let mut load = reported.0;
        load.running = fault.lie.unwrap_or(load.running);
        load
    }

    fn load(&self) -> Load {
        Load {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            slots: self.settings.slots,
        }
    }
}
