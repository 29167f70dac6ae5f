//! The state of a stand-in of an application backend server.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Semaphore, SemaphorePermit};

use super::app_settings::{AppFault, AppSettings, Flaw};
use super::record::{Entry, Step, now_ms};

/// How many times longer work takes right after the start.
const COLD_FACTOR: f64 = 2.0;
/// The share of busy slots above which work takes longer.
const KNEE: f64 = 0.8;
/// How many times longer it takes there.
const KNEE_FACTOR: f64 = 1.7;

pub(crate) struct State {
    pub(crate) settings: AppSettings,
    pub(crate) fault: Cell<AppFault>,
    pub(crate) connections: Cell<u32>,
    pub(crate) waiting: Cell<u32>,
    slots: Semaphore,
    born: Instant,
    rng: RefCell<StdRng>,
    arrivals: Cell<u64>,
    record: RefCell<File>,
}

impl State {
    pub(crate) fn new(settings: AppSettings, record: File) -> Self {
        Self {
            fault: Cell::default(),
            connections: Cell::new(0),
            waiting: Cell::new(0),
            slots: Semaphore::new(settings.slots as usize),
            born: Instant::now(),
            rng: RefCell::new(StdRng::seed_from_u64(settings.seed)),
            arrivals: Cell::new(0),
            record: RefCell::new(record),
            settings,
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.settings.slots - self.slots.available_permits() as u32
    }

    /// Returns whether a request would find neither a slot nor room in the queue.
    pub(crate) fn is_full(&self) -> bool {
        self.slots.available_permits() == 0 && self.waiting.get() >= self.settings.queue
    }

    /// Returns the load as the header tells it.
    pub(crate) fn load(&self) -> CompactString {
        let percent = self.fault.get().work_percent;
        let (running, waiting) = (self.running(), self.waiting.get());
        format_compact!("{running},{waiting},{},{percent}", self.settings.slots)
    }

    /// Waits for a slot.
    pub(crate) async fn slot(&self) -> Option<SemaphorePermit<'_>> {
        let _waits = Held::new(&self.waiting);
        self.slots.acquire().await.ok()
    }

    /// Returns how long work takes now that usually takes `work`.
    pub(crate) fn stretch(&self, work: Duration) -> Duration {
        let age_ms = self.born.elapsed().as_millis() as u64;
        let cold = if age_ms < self.settings.cold_ms {
            COLD_FACTOR
        } else {
            1.0
        };
        let busy = f64::from(self.running()) / f64::from(self.settings.slots);
        let knee = if busy > KNEE { KNEE_FACTOR } else { 1.0 };
        work.mul_f64(cold * knee * f64::from(self.fault.get().work_percent) / 100.0)
    }

    /// Draws whether the next answer shows the flaw in force.
    pub(crate) fn draw_flaw(&self) -> Option<Flaw> {
        let fault = self.fault.get();
        let share = fault.share.clamp(0.0, 1.0);
        fault
            .flaw
            .filter(|_| self.rng.borrow_mut().random_bool(share))
    }

    /// Takes faults, and writes down what answers say of the backend server from now on.
    pub(crate) fn set_fault(&self, fault: AppFault) {
        self.fault.set(fault);
        let AppFault { limit, leaving, .. } = fault;
        self.write(0, "", Step::Says { limit, leaving });
    }

    /// Writes down that the health is asked for.
    pub(crate) fn note_probe(&self) {
        self.write(0, "", Step::Probed);
    }

    fn write(&self, arrival: u64, id: &str, step: Step) {
        let entry = Entry {
            at_ms: now_ms(),
            server: self.settings.id.clone(),
            service: self.settings.service.clone(),
            arrival,
            id: id.into(),
            step,
        };
        let mut line = serde_json::to_vec(&entry).expect("an entry has only text and numbers");
        line.push(b'\n');
        let written = self.record.borrow_mut().write_all(&line);
        written.expect("the judge needs every line of the record");
    }

    /// Numbers a new arrival.
    pub(crate) fn arrive(self: &Rc<Self>, id: &str) -> Arrival {
        let number = self.arrivals.get() + 1;
        self.arrivals.set(number);
        Arrival {
            state: self.clone(),
            number,
            id: id.into(),
            runs: Cell::new(false),
        }
    }
}

/// A request at the backend server; a run that is dropped is written down as cancelled.
pub(crate) struct Arrival {
    state: Rc<State>,
    number: u64,
    pub(crate) id: CompactString,
    runs: Cell<bool>,
}

impl Arrival {
    /// Writes a step down.
    pub(crate) fn note(&self, step: Step) {
        match step {
            Step::Started(_) => self.runs.set(true),
            Step::Answered(_) | Step::Cancelled | Step::Refused => self.runs.set(false),
            Step::Reached { .. } | Step::Body(_) | Step::Flawed => {}
            Step::Probed | Step::Says { .. } => {}
        }
        self.state.write(self.number, &self.id, step);
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        if self.runs.get() {
            self.note(Step::Cancelled);
        }
    }
}

/// Holds a counter one higher as long as it lives.
pub(crate) struct Held<'a>(&'a Cell<u32>);

impl<'a> Held<'a> {
    pub(crate) fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
