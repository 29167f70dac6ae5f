//! The only way to a backend server: admits, queues, refuses and fences calls.

use std::collections::{HashMap, VecDeque};

use crate::calls::{Call, Calls, Phase};
use crate::ledger::Ledger;
use crate::limit::Limit;
use crate::pause::{Pause, SETTLE_MS};
use crate::queue::{Push, Queue};
use crate::{CallId, Cause, Fate, Grant, Incarnation, Latency, LoadHint, Millis, Refusal, Ticket};

/// The longest time to wait before sending again that a refusal names.
const RETRY_MAX_MS: u64 = 10_000;

/// The settings of a [`Gate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// The concurrency limit to start with.
    pub initial: u32,
    /// The lowest concurrency limit.
    pub min: u32,
    /// The highest concurrency limit.
    pub max: u32,
    /// The number of calls that may wait.
    pub queue_length: u32,
    /// The longest time that a call waits, in milliseconds.
    pub queue_wait: u64,
    /// The time in which the limit rises after a restart, in milliseconds.
    pub ramp: u64,
    /// The number of sessions that may be open.
    pub sessions: u32,
    /// The number of sequence numbers that are kept for each session.
    pub window: u32,
}

/// A call that an ingress asks a gate to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The identity of the attempt.
    pub id: CallId,
    /// The sequence number up to which every attempt of the session is settled.
    pub ack: u64,
    /// A hash of the customer key, or zero without one.
    pub customer: u64,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The fingerprint of the request, or zero without one.
    pub fingerprint: u64,
}

/// What a gate decides about an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call holds a slot and is not dispatched yet.
    Start(Ticket),
    /// The call waits; exactly one [`GateEvent`] follows unless it is cancelled.
    Wait(Ticket),
    /// The call is refused for good.
    Refuse(Refusal),
}

/// What became of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// The call holds a slot and is not dispatched yet.
    Start(Ticket),
    /// The call is refused for good, and its ticket is not valid any more.
    Refuse(Ticket, Refusal),
}

/// How the run of a dispatched call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The backend server answered.
    Done {
        /// The service time in microseconds.
        latency_us: u32,
    },
    /// The backend server answered with an error of its own, or broke the exchange off.
    Failed {
        /// The service time in microseconds.
        latency_us: u32,
    },
    /// No byte reached the backend server, so the call was not run.
    NotSent,
    /// The backend server shed the call.
    Shed,
    /// The exchange ended without an answer.
    Lost,
}

/// The controller of the calls to one backend server.
///
/// A call is dispatched at most once. A call that was refused, fenced, cancelled or expired
/// before it was dispatched is never dispatched afterwards. [`Self::cancel`] may be called at
/// any point, also for tickets that are not valid any more.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    ledger: Ledger,
    calls: Calls,
    queue: Queue,
    limit: Limit,
    latency: Latency,
    pause: Pause,
    taken: u32,
    holders: HashMap<u64, u32>,
    refused: VecDeque<Ticket>,
    leaving: bool,
}

impl Gate {
    /// Returns a gate without sessions whose limit is the initial one.
    pub fn new(settings: GateSettings, incarnation: Incarnation, now: Millis) -> Self {
        let _ = now;
        Self {
            settings,
            ledger: Ledger::new(incarnation, settings.sessions, settings.window),
            calls: Calls::default(),
            queue: Queue::new(settings.queue_length),
            limit: Limit::new(settings.initial, settings.min, settings.max),
            latency: Latency::new(),
            pause: Pause::default(),
            taken: 0,
            holders: HashMap::new(),
            refused: VecDeque::new(),
            leaving: false,
        }
    }

    /// Opens a session for an ingress; the session used least recently may be evicted.
    pub fn open(&mut self, now: Millis) -> Grant {
        self.pause.observe(now);
        self.ledger.open()
    }

    /// Decides about a call.
    ///
    /// After [`Decision::Start`] the call holds a slot until [`Self::finish`] or
    /// [`Self::cancel`], and nothing may be sent before [`Self::dispatch`].
    pub fn offer(&mut self, now: Millis, offer: Offer) -> Decision {
        self.pause.observe(now);
        if let Err(cause) = self.ledger.admit(offer.id, offer.ack) {
            return Decision::Refuse(self.refusal(now, cause));
        }
        let decision = self.place(now, offer);
        if let Decision::Refuse(_) = decision {
            self.ledger.refuse(offer.id);
        }
        decision
    }

    /// Sets the mark that a call is dispatched; the first byte may be sent after it.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the call was fenced, its deadline passed, the process was
    /// paused or the ticket holds no slot. The ticket is not valid any more then.
    pub fn dispatch(&mut self, now: Millis, ticket: Ticket) -> Result<(), Refusal> {
        self.pause.observe(now);
        let epoch = self.limit.epoch();
        let Some(call) = self.calls.get(ticket).copied() else {
            return Err(self.refusal(now, Cause::Fenced));
        };
        if call.phase != Phase::Reserved {
            return Err(self.refusal(now, Cause::Fenced));
        }
        if let Err(cause) = self.mark(now, &call) {
            self.cancel(now, ticket);
            return Err(self.refusal(now, cause));
        }
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Running { epoch };
        }
        Ok(())
    }

    /// Records how the run of a call ended, and frees its slot.
    ///
    /// A call that was not dispatched is cancelled.
    pub fn finish(&mut self, now: Millis, ticket: Ticket, finish: Finish) {
        let Some(call) = self.calls.get(ticket).copied() else {
            return;
        };
        match call.phase {
            Phase::Running { .. } => {}
            Phase::Waiting | Phase::Refused(_) | Phase::Reserved => {
                return self.cancel(now, ticket);
            }
        }
        match finish {
            Finish::Done { latency_us } => self.latency.record(latency_us),
            Finish::NotSent => self.ledger.take_back(call.id),
            Finish::Failed { .. } | Finish::Shed | Finish::Lost => {}
        }
        self.ledger.finish(call.id);
        self.release(ticket);
    }

    /// Drops a call whose caller is gone, and frees its slot.
    ///
    /// A call that was not dispatched never will be; a dispatched one stays recorded as run.
    /// A ticket that is not valid any more is ignored.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.pause.observe(now);
        let Some(call) = self.calls.get(ticket).copied() else {
            return;
        };
        match call.phase {
            Phase::Waiting => {
                self.queue.remove(ticket);
                self.ledger.refuse(call.id);
                self.calls.remove(ticket);
            }
            Phase::Refused(_) => {
                self.calls.remove(ticket);
            }
            Phase::Reserved => {
                self.ledger.refuse(call.id);
                self.release(ticket);
            }
            Phase::Running { .. } => {
                self.ledger.finish(call.id);
                self.release(ticket);
            }
        }
    }

    /// Returns the next change of a waiting call.
    ///
    /// It is called until it returns `None` after each other change and at [`Self::next_wake`].
    pub fn next_event(&mut self, now: Millis) -> Option<GateEvent> {
        self.pause.observe(now);
        if let Some(ticket) = self.queue.expire(now) {
            self.expire(now, ticket);
        }
        while let Some(ticket) = self.refused.pop_front() {
            let phase = self.calls.get(ticket).map(|call| call.phase);
            if let Some(Phase::Refused(refusal)) = phase {
                self.calls.remove(ticket);
                return Some(GateEvent::Refuse(ticket, refusal));
            }
        }
        if !self.has_slot(now) {
            return None;
        }
        let holders = &self.holders;
        let running = |customer| holders.get(&customer).map_or(0, |count| *count as usize);
        let ticket = self.queue.pop(running)?;
        self.reserve(ticket);
        Some(GateEvent::Start(ticket))
    }

    /// Returns what became of a call; with `fence` a call not yet dispatched never will be.
    pub fn inquire(&mut self, now: Millis, id: CallId, fence: bool) -> Fate {
        self.pause.observe(now);
        let fate = self.ledger.inquire(id, fence);
        if fence && fate == Fate::Fenced {
            let refusal = self.refusal(now, Cause::Fenced);
            if let Some(ticket) = self.calls.waiting(id) {
                self.queue.remove(ticket);
                self.refuse(ticket, refusal);
            }
        }
        fate
    }

    /// Returns the load of the backend server.
    pub fn load(&self, now: Millis) -> LoadHint {
        LoadHint {
            running: self.taken,
            queued: self.queue.len() as u32,
            limit: self.limit.value(now),
            latency_us: self.latency.median(),
            leaving: self.leaving,
        }
    }

    /// Returns the fingerprints of the calls that the backend server runs now.
    pub fn suspects(&self) -> Vec<u64> {
        let running = self.calls.iter().filter(|call| match call.phase {
            Phase::Running { .. } => call.fingerprint != 0,
            Phase::Waiting | Phase::Refused(_) | Phase::Reserved => false,
        });
        let mut fingerprints: Vec<u64> = running.map(|call| call.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Stops taking new calls; the calls that wait or run are still served.
    pub fn drain(&mut self, now: Millis) {
        self.pause.observe(now);
        self.leaving = true;
    }

    /// Returns whether no call waits, holds a slot or has an event to come.
    pub fn is_idle(&self) -> bool {
        self.calls.len() == 0
    }

    /// Starts over with the lowest limit, since the backend server is a new incarnation.
    pub fn restart(&mut self, now: Millis) {
        self.pause.observe(now);
        self.latency = Latency::new();
    }

    /// Changes the settings; calls over a lowered bound stay until they leave.
    pub fn update(&mut self, settings: GateSettings) {
        self.settings = settings;
        self.ledger.resize(settings.sessions, settings.window);
        self.queue.resize(settings.queue_length);
        self.limit.resize(settings.min, settings.max);
    }

    /// Returns when [`Self::next_event`] is to be called if nothing changes before.
    pub fn next_wake(&self) -> Option<Millis> {
        self.queue.earliest()
    }

    /// Records that the process runs; a jump between two ticks shows that it was paused.
    pub fn tick(&mut self, now: Millis) {
        self.pause.tick(now);
    }

    /// Finds a slot or a place in the queue for an admitted call.
    fn place(&mut self, now: Millis, offer: Offer) -> Decision {
        if self.leaving {
            return Decision::Refuse(self.refusal(now, Cause::Leaving));
        }
        if offer.deadline <= now {
            return Decision::Refuse(self.refusal(now, Cause::Deadline));
        }
        let call = Call {
            id: offer.id,
            customer: offer.customer,
            deadline: offer.deadline,
            fingerprint: offer.fingerprint,
            phase: Phase::Waiting,
        };
        if self.queue.is_empty() && self.has_slot(now) {
            let ticket = self.calls.insert(call);
            self.reserve(ticket);
            return Decision::Start(ticket);
        }
        if self.refused.len() >= self.settings.queue_length as usize {
            return Decision::Refuse(self.refusal(now, Cause::Full));
        }
        self.enqueue(now, call)
    }

    fn enqueue(&mut self, now: Millis, call: Call) -> Decision {
        let expires = call.deadline.min(now + self.settings.queue_wait);
        let ticket = self.calls.insert(call);
        let cause = match self.queue.push(ticket, call.customer, expires) {
            Push::Queued => return Decision::Wait(ticket),
            Push::Evicted(victim) => {
                self.refuse(victim, self.refusal(now, Cause::Share));
                return Decision::Wait(ticket);
            }
            Push::Full => Cause::Full,
            Push::Share => Cause::Share,
        };
        self.calls.remove(ticket);
        Decision::Refuse(self.refusal(now, cause))
    }

    /// Checks a call for the last time before its mark is set.
    fn mark(&mut self, now: Millis, call: &Call) -> Result<(), Cause> {
        if call.deadline <= now {
            return Err(Cause::Deadline);
        }
        if self.pause.settles(now).is_some() {
            return Err(Cause::Unready);
        }
        self.ledger.dispatch(call.id)
    }

    fn expire(&mut self, now: Millis, ticket: Ticket) {
        let late = self.calls.get(ticket).is_some_and(|c| c.deadline <= now);
        let cause = match late {
            true => Cause::Deadline,
            false => Cause::Full,
        };
        self.refuse(ticket, self.refusal(now, cause));
    }

    /// Refuses a call that left the queue; its event follows.
    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Refused(refusal);
            self.ledger.refuse(call.id);
            self.refused.push_back(ticket);
        }
    }

    fn has_slot(&self, now: Millis) -> bool {
        self.taken < self.limit.value(now) && self.pause.settles(now).is_none()
    }

    fn reserve(&mut self, ticket: Ticket) {
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Reserved;
            self.taken += 1;
            *self.holders.entry(call.customer).or_default() += 1;
        }
    }

    /// Ends a call that holds a slot.
    fn release(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.remove(ticket) else {
            return;
        };
        self.taken -= 1;
        if let Some(count) = self.holders.get_mut(&call.customer) {
            *count -= 1;
            if *count == 0 {
                self.holders.remove(&call.customer);
            }
        }
    }

    fn refusal(&self, now: Millis, cause: Cause) -> Refusal {
        let ms = match cause {
            Cause::Full | Cause::Share | Cause::Deadline => self.drain_ms(now, self.queue.len()),
            Cause::Unready => SETTLE_MS,
            Cause::Leaving
            | Cause::Fenced
            | Cause::Session
            | Cause::Unreachable
            | Cause::Quarantined
            | Cause::Cancelled
            | Cause::Invalid => 0,
        };
        Refusal {
            cause,
            retry_after: ms.min(RETRY_MAX_MS) as u32,
        }
    }

    /// Returns the time in which `count` waiting calls find a slot, in milliseconds.
    fn drain_ms(&self, now: Millis, count: usize) -> u64 {
        let slots = u64::from(self.limit.value(now).max(1));
        let work = count as u64 * u64::from(self.latency.mean());
        work.div_ceil(slots * 1_000)
    }
}
