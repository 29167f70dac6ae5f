//! A simulated gate in front of a backend server.

use std::collections::HashMap;

use oriolering::{Admission, GateLoad, Job, JobKey, Millis, Rate, RefusalReason, Scheduler};

use crate::server::Server;

/// The window in which the platform counts the requests to a rate-limited backend server, in
/// milliseconds.
pub(crate) const WINDOW_MS: u64 = 4_000;

pub(crate) struct Gate {
    pub(crate) scheduler: Scheduler,
    pub(crate) server: Server,
    pub(crate) waiting: HashMap<JobKey, usize>,
    pub(crate) published: GateLoad,
    /// The start times of all runs.
    pub(crate) starts: Vec<u64>,
}

impl Gate {
    pub(crate) fn new(slots: u32, down: bool, limit: Option<Rate>) -> Self {
        let mut scheduler = Scheduler::new(slots);
        scheduler.set_limit(Millis(0), limit);
        scheduler.close(down.then_some(RefusalReason::Down));
        let published = scheduler.load(Millis(0));
        Self {
            scheduler,
            server: Server::new(),
            waiting: HashMap::new(),
            published,
            starts: Vec::new(),
        }
    }

    /// Returns the load if it has changed enough to be published.
    pub(crate) fn load_to_publish(&mut self, now: Millis, step: u32) -> Option<GateLoad> {
        let (load, published) = (self.scheduler.load(now), self.published);
        let busy = load.running + load.waiting;
        let changed = busy.abs_diff(published.running + published.waiting) >= step;
        let changed = changed || published.needs_broadcast(load);
        if !changed && load.work_percent == published.work_percent {
            return None;
        }
        self.published = load;
        Some(load)
    }

    /// Queues a request again so that it is not sent back, however slow the backend server becomes;
    /// returns its new key.
    pub(crate) fn keep_waiting(&mut self, key: JobKey, now: Millis, job: Job) -> JobKey {
        self.scheduler.cancel(key);
        let kept = Job {
            elsewhere_ms: None,
            ..job
        };
        match self.scheduler.offer(now, kept) {
            Admission::Wait(key) => key,
            Admission::Start | Admission::Refuse(_) => {
                unreachable!("the request was queued a moment ago")
            }
        }
    }

    /// Returns the largest number of runs that started in any window.
    pub(crate) fn peak_in_window(&self) -> u64 {
        let first = |end: u64| self.starts.partition_point(|at| at + WINDOW_MS <= end);
        let starts = self.starts.iter().enumerate();
        let counts = starts.map(|(i, end)| i + 1 - first(*end));
        counts.max().unwrap_or(0) as u64
    }

    /// Removes a waiting request.
    pub(crate) fn remove_waiting(&mut self, call: usize) -> bool {
        let found = self.waiting.iter().find(|(_, c)| **c == call);
        let Some(key) = found.map(|(key, _)| *key) else {
            return false;
        };
        self.waiting.remove(&key);
        self.scheduler.cancel(key);
        true
    }
}
