//! A gate in front of a backend server.

use std::collections::HashMap;

use oriolering::{Admission, GateLoad, Job, JobKey, Millis, Rate, RefusalReason, Scheduler};

use crate::server::Server;

/// The span in which the platform counts what a limited backend server gets, in milliseconds.
pub(crate) const SPAN_MS: u64 = 4_000;

pub(crate) struct Gate {
    pub(crate) room: Scheduler,
    pub(crate) server: Server,
    pub(crate) waiting: HashMap<JobKey, usize>,
    pub(crate) told: GateLoad,
    /// When runs began.
    pub(crate) starts: Vec<u64>,
}

impl Gate {
    pub(crate) fn new(slots: u32, gone: bool, limit: Option<Rate>) -> Self {
        let mut room = Scheduler::new(slots);
        room.set_limit(Millis(0), limit);
        room.close(gone.then_some(RefusalReason::Down));
        let told = room.load(Millis(0));
        Self {
            room,
            server: Server::new(),
            waiting: HashMap::new(),
            told,
            starts: Vec::new(),
        }
    }

    /// Returns the load if it has changed enough to be told.
    pub(crate) fn news(&mut self, now: Millis, step: u32) -> Option<GateLoad> {
        let (load, told) = (self.room.load(now), self.told);
        let busy = load.running + load.waiting;
        let changed = busy.abs_diff(told.running + told.waiting) >= step;
        let changed = changed || told.needs_broadcast(load);
        if !changed && load.work_percent == told.work_percent {
            return None;
        }
        self.told = load;
        Some(load)
    }

    /// Lets a request that has just begun to wait stay here, however slow the backend server
    /// becomes; returns its new key.
    pub(crate) fn keep_here(&mut self, key: JobKey, now: Millis, job: Job) -> JobKey {
        self.room.cancel(key);
        let stays = Job {
            elsewhere_ms: None,
            ..job
        };
        match self.room.offer(now, stays) {
            Admission::Wait(key) => key,
            Admission::Start | Admission::Refuse(_) => unreachable!("it has just been let wait"),
        }
    }

    /// Returns the most runs that began in any span in which the platform counts.
    pub(crate) fn most_in_span(&self) -> u64 {
        let first = |end: u64| self.starts.partition_point(|at| at + SPAN_MS <= end);
        let starts = self.starts.iter().enumerate();
        let counts = starts.map(|(i, end)| i + 1 - first(*end));
        counts.max().unwrap_or(0) as u64
    }

    /// Removes a waiting request.
    pub(crate) fn leave(&mut self, call: usize) -> bool {
        let found = self.waiting.iter().find(|(_, c)| **c == call);
        let Some(key) = found.map(|(key, _)| *key) else {
            return false;
        };
        self.waiting.remove(&key);
        self.room.cancel(key);
        true
    }
}
