//! Admission control and request scheduling for one backend server.
//!
//! The scheduler handles overload, that is more requests than the backend server can run in
//! time. The backend server publishes its slots. Work slows down when they are nearly full, so
//! a part of them stays free. A request that cannot end before its deadline is refused at once.
//! Of the waiting requests, those that can still be answered within their target latency start
//! first, by priority and then by target time. The same holds when the bottleneck is the
//! backend server's rate limit ([`RateLimiter`]) instead of its slots.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{GateLoad, LimitStart, Millis, Rate, RateLimiter};

/// The percentage of the published slots that are used; with more in use, work slows down.
const USABLE_PERCENT: u64 = 80;
/// The time allowed for a response to reach its caller, in milliseconds.
const RESPONSE_MS: u64 = 8;
/// The maximum number of waiting requests, as a multiple of the capacity.
const WAIT_FACTOR: usize = 2;
/// The expected time here, as a percentage of that at another backend server, above which a
/// request is sent there.
const ELSEWHERE_PERCENT: u64 = 110;
/// The duration of work, as a percentage of the usual one, from which the backend server counts as
/// slow and requests may be sent to another one.
const SLOW_PERCENT: u32 = 120;
/// The minimum retry delay in a refusal, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 20;

/// A request that is offered to a [`Scheduler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The priority among other requests; 0 is the highest.
    pub priority: u8,
    /// The target time of its response; a later response is worth less.
    pub aim: Millis,
    /// The time after which its response is useless.
    pub deadline: Millis,
    /// How long it usually takes, in milliseconds.
    pub work_ms: u64,
    /// How long it is expected to take at the next best backend server, in milliseconds, if there
    /// is one.
    pub elsewhere_ms: Option<u64>,
}

/// The key of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(u64);

/// Why a gate refuses a request, which has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It is expected to end sooner at another backend server.
    Elsewhere,
    /// It cannot end before its deadline.
    Late,
    /// Too many requests wait.
    Full,
    /// The node or its backend server is shutting down.
    Leaving,
    /// The availability zone of the backend server is evacuated.
    Evacuated,
    /// The backend server does not accept connections.
    Down,
    /// It is quarantined, since backend servers crashed while running it.
    Quarantined,
    /// It is a repeated attempt, and the budgets of the services that it calls are used up.
    Budget,
    /// The rate limit of the backend server does not let it end before its deadline.
    Limit,
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Elsewhere => "elsewhere",
            Self::Late => "late",
            Self::Full => "full",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Down => "down",
            Self::Quarantined => "quarantined",
            Self::Budget => "budget",
            Self::Limit => "limit",
        }
    }
}

/// The admission decision for a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Start,
    /// It waits until [`Scheduler::next_event`] returns an event with this key.
    Wait(JobKey),
    /// It is refused.
    Refuse(RefusalReason),
}

/// The outcome of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// It runs now.
    Start(JobKey),
    /// It is refused.
    Refuse(JobKey, RefusalReason),
}

/// A scheduler of the requests that run and wait at one backend server.
#[derive(Clone, Debug)]
pub struct Scheduler {
    slots: u32,
    running: u32,
    percent: u32,
    closed: Option<RefusalReason>,
    rate_limiter: RateLimiter,
    waiting: VecDeque<(JobKey, Job)>,
    last_key: u64,
}

impl Scheduler {
    /// Returns a scheduler without requests for a backend server with this many slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            percent: 100,
            closed: None,
            rate_limiter: RateLimiter::default(),
            waiting: VecDeque::new(),
            last_key: 0,
        }
    }

    /// Returns how many requests may run at once.
    pub fn capacity(&self) -> u32 {
        let usable = u64::from(self.slots) * USABLE_PERCENT / 100;
        u32::try_from(usable).unwrap_or(u32::MAX).max(1)
    }

    /// Changes the number of published slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets how long work takes now, as a percentage of its usual duration, and returns whether
    /// that changed.
    pub fn set_work_percent(&mut self, percent: u32) -> bool {
        let before = std::mem::replace(&mut self.percent, percent.max(1));
        before != self.percent
    }

    /// Refuses new requests for this reason, or accepts them again when it is `None`.
    ///
    /// When the reason is [`RefusalReason::Leaving`] or [`RefusalReason::Evacuated`],
    /// [`Self::next_event`] refuses the waiting requests too: the backend server may exit before they
    /// end, or must get no more requests.
    pub fn close(&mut self, reason: Option<RefusalReason>) {
        self.closed = reason;
    }

    /// Sets the rate limit of the backend server, or removes it, and returns whether it changed.
    pub fn set_limit(&mut self, now: Millis, rate: Option<Rate>) -> bool {
        self.rate_limiter.set_limit(now, rate)
    }

    /// Sets how the rate limit starts that has just been set.
    pub fn set_limit_start(&mut self, start: LimitStart) {
        self.rate_limiter.set_start(start);
    }

    /// Returns whether a load probe may be sent now, and counts it against the rate limit if so.
    pub fn try_probe(&mut self, now: Millis) -> bool {
        self.rate_limiter.rate().is_none() || self.rate_limiter.try_take_spare(now)
    }

    /// Returns the load report for ingresses.
    pub fn load(&self, now: Millis) -> GateLoad {
        GateLoad {
            running: self.running,
            waiting: self.waiting.len() as u32,
            capacity: self.capacity(),
            work_percent: self.percent,
            gap_us: self.rate_limiter.gap_us(),
            turn_ms: self.rate_limiter.wait_ms(now, self.waiting.len()) as u32,
            closed: self.closed.is_some(),
        }
    }

    /// Starts, queues or refuses a new request.
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
        let rate_limited = self.run_ms(&job) + self.rate_limiter.wait_ms(now, ahead);
        if self.is_better_elsewhere(now, job, expected.max(rate_limited)) {
            return Admission::Refuse(RefusalReason::Elsewhere);
        }
        if now + expected + RESPONSE_MS > job.deadline {
            return Admission::Refuse(RefusalReason::Late);
        }
        if now + rate_limited + RESPONSE_MS > job.deadline {
            return Admission::Refuse(RefusalReason::Limit);
        }
        if self.running < self.capacity() && self.try_start(now) {
            self.running += 1;
            return Admission::Start;
        }
        if self.waiting.len() >= self.capacity() as usize * WAIT_FACTOR {
            return Admission::Refuse(RefusalReason::Full);
        }
        self.last_key += 1;
        let key = JobKey(self.last_key);
        self.waiting.push_back((key, job));
        Admission::Wait(key)
    }

    /// Frees the slot of a request that has ended.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a waiting request whose caller is gone; an unknown key is ignored.
    pub fn cancel(&mut self, key: JobKey) {
        self.waiting.retain(|(k, _)| *k != key);
    }

    /// Returns the next waiting request that starts or is refused.
    ///
    /// The caller repeats the call until it returns `None`.
    pub fn next_event(&mut self, now: Millis) -> Option<SchedulerEvent> {
        if let Some(event) = self.refuse_drained() {
            return Some(event);
        }
        if let Some(event) = self.refuse_late(now) {
            return Some(event);
        }
        if let Some(event) = self.refuse_better_elsewhere(now) {
            return Some(event);
        }
        if self.running >= self.capacity() || !self.rate_limiter.is_open(now) {
            return None;
        }
        let urgency = |job: &Job| {
            let end = now + self.run_ms(job) + RESPONSE_MS;
            let late = end > job.aim;
            let due = if late { job.deadline } else { job.aim };
            (late, job.priority, due)
        };
        let jobs = self.waiting.iter().enumerate();
        let (index, _) = jobs.min_by_key(|(_, (_, job))| urgency(job))?;
        let (key, _) = self.waiting.remove(index)?;
        self.rate_limiter.try_take(now);
        self.running += 1;
        Some(SchedulerEvent::Start(key))
    }

    /// Returns when to call [`Self::next_event`] again if no other call comes before.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        let latest = self.waiting.iter().map(|(_, job)| self.latest_start(job));
        let latest = latest.min()?;
        let next = match self.running < self.capacity() {
            true => latest.min(now + self.rate_limiter.wait_ms(now, 0)),
            false => latest,
        };
        Some(next.max(now + 1))
    }

    /// Returns the suggested delay before a refused request is retried, in milliseconds.
    pub fn retry_after_ms(&self, now: Millis, work_ms: u64) -> u64 {
        let run = work_ms * u64::from(self.percent) / 100;
        let ahead = self.waiting.len();
        let slot_wait = (ahead as u64 + 1) * run / u64::from(self.capacity());
        let rate_wait = self.rate_limiter.wait_ms(now, ahead);
        slot_wait.max(rate_wait).max(RETRY_AFTER_MIN_MS)
    }

    /// Returns whether a new request may start now under the rate limit, and counts it if so.
    ///
    /// With a limit, waiting requests start first.
    fn try_start(&mut self, now: Millis) -> bool {
        match self.rate_limiter.rate() {
            None => true,
            Some(_) => self.waiting.is_empty() && self.rate_limiter.try_take(now),
        }
    }

    /// Returns how long a request takes at the current speed of the backend server, in
    /// milliseconds.
    fn run_ms(&self, job: &Job) -> u64 {
        job.work_ms * u64::from(self.percent) / 100
    }

    /// Returns how long a new request is expected to take behind `ahead` others when only the
    /// slots are limited, in milliseconds.
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
        let full = self.running >= self.capacity() || !self.rate_limiter.is_open(now);
        let slow = self.percent >= SLOW_PERCENT;
        (full || slow) && expected * 100 > other * ELSEWHERE_PERCENT
    }

    fn latest_start(&self, job: &Job) -> Millis {
        Millis(
            job.deadline
                .0
                .saturating_sub(self.run_ms(job) + RESPONSE_MS),
        )
    }

    /// Returns how long the rate limit makes a waiting request wait behind more urgent ones, in
    /// milliseconds.
    fn wait_ms(&self, now: Millis, key: JobKey, job: &Job) -> u64 {
        if self.rate_limiter.rate().is_none() {
            return 0;
        }
        let rank = |key: JobKey, job: &Job| (job.priority, job.aim, key);
        let own = rank(key, job);
        let ahead = self.waiting.iter().filter(|(k, j)| rank(*k, j) < own);
        self.rate_limiter.wait_ms(now, ahead.count())
    }

    /// Refuses a waiting request if the node or its backend server is shutting down, or if its
    /// availability zone is evacuated.
    fn refuse_drained(&mut self) -> Option<SchedulerEvent> {
        let drains =
            |why: &RefusalReason| matches!(why, RefusalReason::Leaving | RefusalReason::Evacuated);
        let reason = self.closed.filter(drains)?;
        let (key, _) = self.waiting.pop_front()?;
        Some(SchedulerEvent::Refuse(key, reason))
    }

    /// Refuses a waiting request that is expected to end sooner at another backend server.
    ///
    /// This happens when the backend server became slow or lowered its rate limit in the meantime.
    fn refuse_better_elsewhere(&mut self, now: Millis) -> Option<SchedulerEvent> {
        if self.percent < SLOW_PERCENT && self.rate_limiter.rate().is_none() {
            return None;
        }
        let better_elsewhere = |(key, job): &(JobKey, Job)| {
            let expected = self.run_ms(job) + self.wait_ms(now, *key, job);
            self.is_better_elsewhere(now, *job, expected)
        };
        let index = self.waiting.iter().position(better_elsewhere)?;
        let (key, _) = self.waiting.remove(index)?;
        Some(SchedulerEvent::Refuse(key, RefusalReason::Elsewhere))
    }

    /// Refuses a waiting request that can no longer end before its deadline.
    fn refuse_late(&mut self, now: Millis) -> Option<SchedulerEvent> {
        let late = |job: &Job, at: Millis| self.latest_start(job) < at;
        let reason = |(key, job): &(JobKey, Job)| match late(job, now) {
            true => Some(self.closed.unwrap_or(RefusalReason::Late)),
            false => late(job, now + self.wait_ms(now, *key, job)).then_some(RefusalReason::Limit),
        };
        let mut found = self.waiting.iter().enumerate();
        let (index, why) = found.find_map(|(i, entry)| Some((i, reason(entry)?)))?;
        let (key, _) = self.waiting.remove(index)?;
        Some(SchedulerEvent::Refuse(key, why))
    }
}
