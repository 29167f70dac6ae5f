//! Admission, queueing, refusal and fencing of all calls to one backend server.

mod waiting;

use std::collections::VecDeque;

use crate::call_table::{Call, CallTable, Phase};
use crate::fair_queue::FairQueue;
use crate::pause_detector::{PauseDetector, SETTLE_MS};
use crate::server::Server;
use crate::session_table::SessionTable;
use crate::{
    AttemptStatus, CallId, Cause, Decision, Finish, GateSettings, Grant, Incarnation, LoadHint,
    Millis, Offer, Refusal, Ticket,
};

/// The maximum retry delay in a refusal, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// The admission controller for the calls to one backend server.
///
/// A call is dispatched at most once. A call that was refused, fenced, cancelled or expired
/// before its dispatch is never dispatched afterwards. [`Self::cancel`] may be called at any
/// time, also with a ticket that is no longer valid.
///
/// # Examples
///
/// ```
/// use oriolering::{
///     AttemptStatus, CallId, Decision, Finish, Gate, GateSettings, Incarnation, Millis, Offer,
/// };
///
/// let settings = GateSettings {
///     initial: 12,
///     min: 1,
///     max: 64,
///     queue_length: 32,
///     queue_wait_ms: 200,
///     ramp_ms: 0,
///     sessions: 1_000,
///     max_state_runs: 4_096,
/// };
/// let now = Millis(0);
/// let mut gate = Gate::new(settings, Incarnation(1), now);
/// let id = CallId { grant: gate.open_session(now), seq: 1 };
/// let offer = Offer { id, ack: 0, customer: 0, deadline: now + 1_000, fingerprint: 0 };
/// let Decision::Start(ticket) = gate.offer(now, offer) else {
///     panic!("the backend server is idle");
/// };
/// gate.dispatch(now, ticket).expect("nothing has fenced the call");
/// // The call is sent to the backend server here.
/// gate.finish(now, ticket, Finish::Done { latency_us: 800 });
/// assert_eq!(gate.inquire(now, id, true), AttemptStatus::Done);
/// ```
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    sessions: SessionTable,
    calls: CallTable,
    queue: FairQueue,
    server: Server,
    pause: PauseDetector,
    refused: VecDeque<Ticket>,
    leaving: bool,
    server_leaving: bool,
    now: Millis,
}

impl Gate {
    /// Returns a gate without sessions.
    ///
    /// The concurrency limit rises from the minimum to the initial value during the ramp, because a
    /// backend server usually starts together with its node.
    pub fn new(settings: GateSettings, incarnation: Incarnation, now: Millis) -> Self {
        Self {
            settings,
            sessions: SessionTable::new(incarnation, settings.sessions, settings.max_state_runs),
            calls: CallTable::default(),
            queue: FairQueue::new(settings.queue_length),
            server: Server::new(settings, now),
            pause: PauseDetector::default(),
            refused: VecDeque::new(),
            leaving: false,
            server_leaving: false,
            now,
        }
    }

    /// Opens a session for an ingress; this may evict the least recently used session.
    pub fn open_session(&mut self, now: Millis) -> Grant {
        self.observe(now);
        self.sessions.open()
    }

    /// Starts, queues or refuses a call.
    ///
    /// After [`Decision::Start`] the call holds a slot until [`Self::finish`] or
    /// [`Self::cancel`]. Nothing may be sent before [`Self::dispatch`] has returned `Ok`.
    pub fn offer(&mut self, now: Millis, offer: Offer) -> Decision {
        self.observe(now);
        if let Err(cause) = self.sessions.admit(offer.id, offer.ack) {
            return Decision::Refuse(self.refusal(now, cause));
        }
        let decision = self.start_or_queue(now, offer);
        if let Decision::Refuse(_) = decision {
            self.sessions.refuse(offer.id);
        }
        decision
    }

    /// Records a call as dispatched, after which its first byte may be sent.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the call was fenced, its deadline has passed, the process was paused
    /// or the ticket holds no slot. A call that held a slot is then cancelled, and its ticket is no
    /// longer valid.
    pub fn dispatch(&mut self, now: Millis, ticket: Ticket) -> Result<(), Refusal> {
        self.observe(now);
        let Some(call) = self.calls.get(ticket).copied() else {
            return Err(self.refusal(now, Cause::Fenced));
        };
        if call.phase != Phase::Reserved {
            return Err(self.refusal(now, Cause::Fenced));
        }
        if let Err(cause) = self.record_dispatch(now, &call) {
            self.cancel(now, ticket);
            return Err(self.refusal(now, cause));
        }
        let run = self.server.start(now);
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Running(run);
        }
        Ok(())
    }

    /// Records how a dispatched call ended, and frees its slot.
    ///
    /// A call that was not dispatched is cancelled.
    pub fn finish(&mut self, now: Millis, ticket: Ticket, finish: Finish) {
        let Some(call) = self.calls.get(ticket).copied() else {
            return;
        };
        let run = match call.phase {
            Phase::Running(run) => run,
            Phase::Waiting | Phase::Refused(_) | Phase::Reserved => {
                return self.cancel(now, ticket);
            }
        };
        self.observe(now);
        match finish {
            Finish::NotSent => self.sessions.undo_dispatch(call.id),
            Finish::Done { .. } | Finish::Failed { .. } | Finish::Shed | Finish::Lost => {
                self.sessions.finish(call.id);
            }
        }
        self.release(ticket);
        self.server.finish(now, run, finish);
    }

    /// Cancels a call whose caller is gone, and frees its slot.
    ///
    /// A call that is not yet dispatched never will be; a dispatched one stays recorded as done. A
    /// ticket that is no longer valid is ignored.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.observe(now);
        let Some(call) = self.calls.get(ticket).copied() else {
            return;
        };
        match call.phase {
            Phase::Waiting => {
                self.queue.remove(ticket);
                self.sessions.refuse(call.id);
                self.calls.remove(ticket);
            }
            Phase::Refused(_) => {
                self.calls.remove(ticket);
            }
            Phase::Reserved => {
                self.sessions.refuse(call.id);
                self.release(ticket);
            }
            Phase::Running(run) => {
                self.server.record_lost(now, run);
                self.sessions.finish(call.id);
                self.release(ticket);
            }
        }
    }

    /// Returns the state of a call; with `fence`, a call that is not yet dispatched never will be.
    pub fn inquire(&mut self, now: Millis, id: CallId, fence: bool) -> AttemptStatus {
        self.observe(now);
        let status = self.sessions.inquire(id, fence);
        if fence && status == AttemptStatus::Fenced {
            let refusal = self.refusal(now, Cause::Fenced);
            if let Some(ticket) = self.calls.waiting(id) {
                self.queue.remove(ticket);
                self.refuse(ticket, refusal);
            }
        }
        status
    }

    /// Returns the current load of the backend server.
    pub fn load(&self, now: Millis) -> LoadHint {
        self.server
            .load_hint(now, self.queue.len(), self.is_leaving())
    }

    /// Returns the fingerprints of the calls that the backend server is running.
    pub fn running_fingerprints(&self) -> Vec<u64> {
        self.calls.fingerprints()
    }

    /// Refuses new calls from now on; waiting and running calls are still served.
    pub fn drain(&mut self, now: Millis) {
        self.observe(now);
        self.leaving = true;
    }

    /// Sets whether the backend server reports that it is shutting down, and returns whether that
    /// changed.
    ///
    /// While it shuts down, new calls are refused as after [`Self::drain`].
    pub fn set_server_leaving(&mut self, now: Millis, leaving: bool) -> bool {
        self.observe(now);
        let before = std::mem::replace(&mut self.server_leaving, leaving);
        before != leaving
    }

    /// Returns whether no call is waiting, holds a slot or has a pending event.
    pub fn is_idle(&self) -> bool {
        self.calls.len() == 0
    }

    /// Ramps the limit up from the minimum again, because the backend server has restarted.
    pub fn restart(&mut self, now: Millis) {
        self.observe(now);
        self.server_leaving = false;
        self.server.restart(now, self.settings.ramp_ms);
    }

    /// Changes the settings; existing calls above a lowered bound are kept.
    pub fn update(&mut self, settings: GateSettings) {
        self.settings = settings;
        self.sessions
            .resize(settings.sessions, settings.max_state_runs);
        self.queue.resize(settings.queue_length);
        self.server.update(self.now, settings);
    }

    /// Records that the process is running; a long gap between two ticks shows that it was paused.
    pub fn tick(&mut self, now: Millis) {
        self.observe(now);
        self.pause.tick(now);
    }

    /// Checks a call for the last time and records it as dispatched.
    fn record_dispatch(&mut self, now: Millis, call: &Call) -> Result<(), Cause> {
        if call.deadline <= now {
            return Err(Cause::Deadline);
        }
        if self.pause.settling_until(now).is_some() {
            return Err(Cause::Unready);
        }
        self.sessions.dispatch(call.id)
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.server_leaving
    }

    fn has_slot(&self, now: Millis) -> bool {
        self.server.has_slot(now) && self.pause.settling_until(now).is_none()
    }

    fn reserve(&mut self, ticket: Ticket) {
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Reserved;
            self.server.take_slot(call.customer);
        }
    }

    /// Removes a call that holds a slot, and frees the slot.
    fn release(&mut self, ticket: Ticket) {
        if let Some(call) = self.calls.remove(ticket) {
            self.server.free_slot(call.customer);
        }
    }

    fn observe(&mut self, now: Millis) {
        self.now = now;
        self.pause.observe(now);
    }

    fn refusal(&self, now: Millis, cause: Cause) -> Refusal {
        let ms = match cause {
            Cause::Full | Cause::Share | Cause::Deadline => {
                self.server.drain_ms(now, self.queue.len() + 1).max(1)
            }
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
            retry_after: ms.min(RETRY_AFTER_MAX_MS) as u32,
        }
    }
}
