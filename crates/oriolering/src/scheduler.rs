//! Who runs at a backend server now, who waits, and who is refused.
//!
//! The load that this answers: more requests than the backend server can run in time. Its
//! slots are published and work slows down when they are nearly full, so a part of them stays
//! free. What cannot end in time is refused at once; of what waits, requests that can still be
//! answered within their aim go first, by priority and then by aim. The same holds where it is
//! not the slots that are short but what the backend server takes a second ([`RateLimiter`]).

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{GateLoad, Millis, Rate, RateLimiter};

/// The part of the published slots that run at once; beyond it work slows down.
const BUSY_PERCENT: u32 = 80;
/// The time that an answer needs to reach its caller, in milliseconds.
const RETURN_MS: u64 = 8;
/// How many times as many requests may wait as run at once.
const WAIT_FACTOR: usize = 2;
/// By how much a request must be expected to end sooner elsewhere to be sent there, in percent.
const ELSEWHERE_PERCENT: u64 = 110;
/// The slower pace from which a request is sent elsewhere, as a percentage of the usual.
const SLOW_PERCENT: u32 = 120;
/// The shortest time after which a refused caller is told to come back, in milliseconds.
const BACK_MIN_MS: u64 = 20;

/// A request at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The rank among other requests; 0 is the highest.
    pub priority: u8,
    /// When its answer is worth most up to.
    pub aim: Millis,
    /// When its answer is of no use any more.
    pub deadline: Millis,
    /// How long it takes at the usual pace, in milliseconds.
    pub work_ms: u64,
    /// How long it is expected to take at the next best backend server, in milliseconds.
    pub elsewhere_ms: Option<u64>,
}

/// The number of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(u64);

/// Why a gate refuses a request; it has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It is expected to end sooner at another backend server.
    Elsewhere,
    /// It cannot end before its deadline.
    Late,
    /// Too many wait.
    Full,
    /// The node or its backend server leaves.
    Leaving,
    /// The backend server does not accept connections.
    Down,
    /// Backend servers crashed while they ran it.
    Quarantined,
    /// It is a repeat, and the budgets of the services that it calls are used up.
    Budget,
    /// The backend server takes too few requests a second to run it before its deadline.
    Limit,
}

impl RefusalReason {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Elsewhere => "elsewhere",
            Self::Late => "late",
            Self::Full => "full",
            Self::Leaving => "leaving",
            Self::Down => "down",
            Self::Quarantined => "quarantined",
            Self::Budget => "budget",
            Self::Limit => "limit",
        }
    }
}

/// What a gate decides about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Start,
    /// It waits until [`Scheduler::next_event`] names it.
    Wait(JobKey),
    /// It is refused.
    Refuse(RefusalReason),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// It runs now.
    Start(JobKey),
    /// It is refused.
    Refuse(JobKey, RefusalReason),
}

/// The requests that run and wait at one backend server.
#[derive(Clone, Debug)]
pub struct Scheduler {
    slots: u32,
    running: u32,
    percent: u32,
    closed: Option<RefusalReason>,
    allowance: RateLimiter,
    waiting: VecDeque<(JobKey, Job)>,
    keys: u64,
}

impl Scheduler {
    /// Returns an empty room for a backend server with this many slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            percent: 100,
            closed: None,
            allowance: RateLimiter::default(),
            waiting: VecDeque::new(),
            keys: 0,
        }
    }

    /// Returns how many requests run at once.
    pub fn capacity(&self) -> u32 {
        (self.slots * BUSY_PERCENT / 100).max(1)
    }

    /// Changes the published slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Takes in how long work takes now, as a percentage; returns whether it changed.
    pub fn set_work_percent(&mut self, percent: u32) -> bool {
        let before = std::mem::replace(&mut self.percent, percent.max(1));
        before != self.percent
    }

    /// Refuses new requests with this reason, or takes them again.
    pub fn close(&mut self, reason: Option<RefusalReason>) {
        self.closed = reason;
    }

    /// Takes in the requests a second that the backend server names, if it does; returns whether
    /// that changed.
    pub fn set_limit(&mut self, now: Millis, rate: Option<Rate>) -> bool {
        self.allowance.set_limit(now, rate)
    }

    /// Returns whether the backend server may be asked for its load, and counts that.
    pub fn try_probe(&mut self, now: Millis) -> bool {
        self.allowance.rate().is_none() || self.allowance.try_take_spare(now)
    }

    /// Returns what the gate tells ingresses.
    pub fn load(&self, now: Millis) -> GateLoad {
        GateLoad {
            running: self.running,
            waiting: self.waiting.len() as u32,
            capacity: self.capacity(),
            work_percent: self.percent,
            gap_us: self.allowance.gap_us(),
            turn_ms: self.allowance.wait_ms(now, self.waiting.len()) as u32,
            closed: self.closed.is_some(),
        }
    }

    /// Decides about a request that arrives.
    pub fn offer(&mut self, now: Millis, job: Job) -> Admission {
        if let Some(reason) = self.closed {
            return Admission::Refuse(reason);
        }
        let ahead = self
            .waiting
            .iter()
            .filter(|(_, j)| j.priority <= job.priority);
        let ahead = ahead.count();
        let expected = self.expected_ms(job, ahead);
        let turn = self.run_ms(&job) + self.allowance.wait_ms(now, ahead);
        if self.is_better_elsewhere(now, job, expected.max(turn)) {
            return Admission::Refuse(RefusalReason::Elsewhere);
        }
        if now + expected + RETURN_MS > job.deadline {
            return Admission::Refuse(RefusalReason::Late);
        }
        if now + turn + RETURN_MS > job.deadline {
            return Admission::Refuse(RefusalReason::Limit);
        }
        if self.running < self.capacity() && self.is_next(now) {
            self.running += 1;
            return Admission::Start;
        }
        if self.waiting.len() >= self.capacity() as usize * WAIT_FACTOR {
            return Admission::Refuse(RefusalReason::Full);
        }
        self.keys += 1;
        let key = JobKey(self.keys);
        self.waiting.push_back((key, job));
        Admission::Wait(key)
    }

    /// Frees the slot of a request that ran.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, key: JobKey) {
        self.waiting.retain(|(k, _)| *k != key);
    }

    /// Returns the next change of a waiting request; it is called until it returns none.
    pub fn next_event(&mut self, now: Millis) -> Option<SchedulerEvent> {
        if let Some(turn) = self.scan_hopeless(now) {
            return Some(turn);
        }
        if let Some(turn) = self.scan_misplaced(now) {
            return Some(turn);
        }
        if self.running >= self.capacity() || !self.allowance.is_open(now) {
            return None;
        }
        let order = |job: &Job| {
            let end = now + self.run_ms(job) + RETURN_MS;
            let late = end > job.aim;
            let due = if late { job.deadline } else { job.aim };
            (late, job.priority, due)
        };
        let jobs = self.waiting.iter().enumerate();
        let (index, _) = jobs.min_by_key(|(_, (_, job))| order(job))?;
        let (key, _) = self.waiting.remove(index)?;
        self.allowance.try_take(now);
        self.running += 1;
        Some(SchedulerEvent::Start(key))
    }

    /// Returns when [`Self::next_event`] is to be called if nothing else happens before.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        let latest = self.waiting.iter().map(|(_, job)| self.latest_start(job));
        let latest = latest.min()?;
        let next = match self.running < self.capacity() {
            true => latest.min(now + self.allowance.wait_ms(now, 0)),
            false => latest,
        };
        Some(next.max(now + 1))
    }

    /// Returns how long a refused caller does best to wait, in milliseconds.
    pub fn retry_after_ms(&self, now: Millis, work_ms: u64) -> u64 {
        let run = work_ms * u64::from(self.percent) / 100;
        let ahead = self.waiting.len();
        let free = (ahead as u64 + 1) * run / u64::from(self.capacity());
        let turn = self.allowance.wait_ms(now, ahead);
        free.max(turn).max(BACK_MIN_MS)
    }

    /// Returns whether a request that arrives now is the next to be sent under the limit, and
    /// counts it; those that wait go first.
    fn is_next(&mut self, now: Millis) -> bool {
        match self.allowance.rate() {
            None => true,
            Some(_) => self.waiting.is_empty() && self.allowance.try_take(now),
        }
    }

    /// Returns how long a request runs at the pace of now, in milliseconds.
    fn run_ms(&self, job: &Job) -> u64 {
        job.work_ms * u64::from(self.percent) / 100
    }

    /// Returns how long a request that arrives now is expected to take by the slots alone, behind
    /// `ahead` others, in milliseconds.
    fn expected_ms(&self, job: Job, ahead: usize) -> u64 {
        let run = self.run_ms(&job);
        if self.running < self.capacity() {
            return run;
        }
        run + (ahead as u64 + 1) * run / u64::from(self.capacity())
    }

    fn is_better_elsewhere(&self, now: Millis, job: Job, expected: u64) -> bool {
        let Some(other) = job.elsewhere_ms else {
            return false;
        };
        let full = self.running >= self.capacity() || !self.allowance.is_open(now);
        let slow = self.percent >= SLOW_PERCENT;
        (full || slow) && expected * 100 > other * ELSEWHERE_PERCENT
    }

    fn latest_start(&self, job: &Job) -> Millis {
        Millis(job.deadline.0.saturating_sub(self.run_ms(job) + RETURN_MS))
    }

    /// Returns how long a waiting request still waits for its turn under the limit, behind those
    /// that are more urgent, in milliseconds.
    fn turn_ms(&self, now: Millis, key: JobKey, job: &Job) -> u64 {
        if self.allowance.rate().is_none() {
            return 0;
        }
        let rank = |key: JobKey, job: &Job| (job.priority, job.aim, key);
        let own = rank(key, job);
        let ahead = self.waiting.iter().filter(|(k, j)| rank(*k, j) < own);
        self.allowance.wait_ms(now, ahead.count())
    }

    /// Finds a waiting request that is expected to end sooner elsewhere, since the backend
    /// server became slow, or takes fewer requests, while it waited.
    fn scan_misplaced(&mut self, now: Millis) -> Option<SchedulerEvent> {
        if self.percent < SLOW_PERCENT && self.allowance.rate().is_none() {
            return None;
        }
        let misplaced = |(key, job): &(JobKey, Job)| {
            let expected = self.run_ms(job) + self.turn_ms(now, *key, job);
            self.is_better_elsewhere(now, *job, expected)
        };
        let index = self.waiting.iter().position(misplaced)?;
        let (key, _) = self.waiting.remove(index)?;
        Some(SchedulerEvent::Refuse(key, RefusalReason::Elsewhere))
    }

    /// Finds a waiting request that cannot end before its deadline any more.
    fn scan_hopeless(&mut self, now: Millis) -> Option<SchedulerEvent> {
        let late = |job: &Job, at: Millis| self.latest_start(job) < at;
        let reason = |(key, job): &(JobKey, Job)| match late(job, now) {
            true => Some(self.closed.unwrap_or(RefusalReason::Late)),
            false => late(job, now + self.turn_ms(now, *key, job)).then_some(RefusalReason::Limit),
        };
        let mut found = self.waiting.iter().enumerate();
        let (index, why) = found.find_map(|(i, waits)| Some((i, reason(waits)?)))?;
        let (key, _) = self.waiting.remove(index)?;
        Some(SchedulerEvent::Refuse(key, why))
    }
}
