//! The only way to a backend server: admits, queues, refuses and fences calls.

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

/// The longest time to wait before sending again that a refusal names.
const RETRY_MAX_MS: u64 = 10_000;

/// The controller of the calls to one backend server.
///
/// A call is dispatched at most once. A call that was refused, fenced, cancelled or expired
/// before it was dispatched is never dispatched afterwards. [`Self::cancel`] may be called at
/// any point, also for tickets that are not valid any more.
///
/// # Examples
///
/// ```
/// use oriolering::{CallId, Decision, AttemptStatus, Finish, Gate, GateSettings, Incarnation, Millis, Offer};
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
    /// Its limit rises from the lowest to the initial one within the ramp time, since a
    /// backend server mostly starts together with its node.
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

    /// Opens a session for an ingress; the session used least recently may be evicted.
    pub fn open_session(&mut self, now: Millis) -> Grant {
        self.observe(now);
        self.sessions.open()
    }

    /// Decides about a call.
    ///
    /// After [`Decision::Start`] the call holds a slot until [`Self::finish`] or
    /// [`Self::cancel`], and nothing may be sent before [`Self::dispatch`].
    pub fn offer(&mut self, now: Millis, offer: Offer) -> Decision {
        self.observe(now);
        if let Err(cause) = self.sessions.admit(offer.id, offer.ack) {
            return Decision::Refuse(self.refusal(now, cause));
        }
        let decision = self.place(now, offer);
        if let Decision::Refuse(_) = decision {
            self.sessions.refuse(offer.id);
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
        self.observe(now);
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
        let run = self.server.start(now);
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Running(run);
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

    /// Drops a call whose caller is gone, and frees its slot.
    ///
    /// A call that was not dispatched never will be; a dispatched one stays recorded as run.
    /// A ticket that is not valid any more is ignored.
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

    /// Returns what became of a call; with `fence` a call not yet dispatched never will be.
    pub fn inquire(&mut self, now: Millis, id: CallId, fence: bool) -> AttemptStatus {
        self.observe(now);
        let fate = self.sessions.inquire(id, fence);
        if fence && fate == AttemptStatus::Fenced {
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
        self.server
            .load_hint(now, self.queue.len(), self.is_leaving())
    }

    /// Returns the fingerprints of the calls that the backend server runs now.
    pub fn running_fingerprints(&self) -> Vec<u64> {
        self.calls.fingerprints()
    }

    /// Stops taking new calls; the calls that wait or run are still served.
    pub fn drain(&mut self, now: Millis) {
        self.observe(now);
        self.leaving = true;
    }

    /// Takes what the backend server says of itself, and returns whether that has changed.
    ///
    /// While it is leaving no new calls are taken, as after [`Self::drain`].
    pub fn set_server_leaving(&mut self, now: Millis, leaving: bool) -> bool {
        self.observe(now);
        let before = std::mem::replace(&mut self.server_leaving, leaving);
        before != leaving
    }

    /// Returns whether no call waits, holds a slot or has an event to come.
    pub fn is_idle(&self) -> bool {
        self.calls.len() == 0
    }

    /// Starts over with the lowest limit, since the backend server is a new incarnation.
    pub fn restart(&mut self, now: Millis) {
        self.observe(now);
        self.server_leaving = false;
        self.server.restart(now, self.settings.ramp_ms);
    }

    /// Changes the settings; calls over a lowered bound stay until they leave.
    pub fn update(&mut self, settings: GateSettings) {
        self.settings = settings;
        self.sessions
            .resize(settings.sessions, settings.max_state_runs);
        self.queue.resize(settings.queue_length);
        self.server.update(self.now, settings);
    }

    /// Records that the process runs; a jump between two ticks shows that it was paused.
    pub fn tick(&mut self, now: Millis) {
        self.observe(now);
        self.pause.tick(now);
    }

    /// Checks a call for the last time before its mark is set.
    fn mark(&mut self, now: Millis, call: &Call) -> Result<(), Cause> {
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

    /// Ends a call that holds a slot.
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
            retry_after: ms.min(RETRY_MAX_MS) as u32,
        }
    }
}
