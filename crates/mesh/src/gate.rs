//! The gate: admits requests to the backend server on the same instance; no request reaches it
//! otherwise.

mod exchange;
mod notices;
mod permit;
mod probing;
mod responses;
mod streaming;
mod waiting;
mod warm_up;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::DateService;
use oriolering::{
    Admission, Clock, GateLoad, Job, JobKey, Millis, QuarantineEntry, Rate, RefusalReason,
    RoutedService, Scheduler, SchedulerEvent, ServerRecord, ServerState, WarmUp,
};
use oriolering_http::{ByteBudget, ByteUse, Bytes, ExchangeError};
use tokio::sync::{Mutex, oneshot};
use tokio::time::{sleep, timeout};

use crate::backend_health::BackendHealth;
use crate::budgets::{Budgets, CallReservations};
use crate::frame::{Offer, Outcome};
use crate::outbox::Outbox;
use crate::pool::Pool;
use crate::response_sink::ResponseSink;
use crate::runs::Runs;
use crate::stream_budget::StreamBudget;
use crate::subscribers::{Subscriber, Subscribers};
use crate::suspects::Suspects;
use crate::trail::{GateRecord, GateSnapshot, Trail};

use notices::Notices;
use permit::Permit;
use waiting::WaitGuard;

/// The age of the last load report after which the backend server is probed, in milliseconds: a
/// sixth of the time for which a noisy neighbour slows it down.
const PROBE_INTERVAL_MS: u64 = 50;
/// The slots of a backend server that has not reported any.
const DEFAULT_SLOTS: u32 = 10;
/// By how much the number of running and waiting requests must change before the load is sent to
/// other nodes.
const LOAD_STEP: u32 = 3;
/// The age from which a report of the work percentage says nothing about the present, in
/// milliseconds: twice the time for which a noisy neighbour slows a backend server down.
const REPORT_MAX_AGE_MS: u64 = 600;
/// The work percentage of a backend server at its usual speed.
const USUAL_WORK_PERCENT: u32 = 100;
/// How long an exchange may outlast the deadline that was sent to the backend server, in
/// milliseconds.
const DEADLINE_GRACE_MS: u64 = 60;
/// How long the result of a crash check stays valid, in milliseconds: the time between two
/// probes.
const CRASH_CHECK_MS: u64 = PROBE_INTERVAL_MS;
/// The retry time of requests whose bodies do not fit into memory, in milliseconds: most large
/// bodies that make progress are complete by then.
pub(crate) const MEMORY_RETRY_AFTER_MS: u64 = 1_000;

/// The memory that a gate may use.
pub(crate) struct GateMemory {
    /// For responses that are buffered, while they are read, in bytes.
    pub(crate) buffered_bytes: usize,
    /// For responses that are streamed, in bytes.
    pub(crate) streamed_bytes: usize,
    /// What requests and buffered responses of the node share.
    pub(crate) budget: Rc<ByteBudget>,
}

/// The gate of the local backend server.
pub(crate) struct Gate {
    clock: Clock,
    trail: Rc<Trail>,
    pool: Pool,
    /// The memory that requests and responses share.
    budget: Rc<ByteBudget>,
    health_path: RefCell<CompactString>,
    scheduler: RefCell<Scheduler>,
    waiters: RefCell<HashMap<JobKey, oneshot::Sender<Result<(), RefusalReason>>>>,
    listeners: Subscribers,
    suspects: Rc<Suspects>,
    budgets: Rc<Budgets>,
    /// The memory for streamed responses on their way to other nodes.
    stream_budget: Rc<StreamBudget>,
    /// The requests that the backend server runs.
    pub(crate) runs: Runs,
    /// When the backend server was last checked for a crash; locked during a check.
    last_crash_check: Mutex<Option<Millis>>,
    health: BackendHealth,
    /// When the last request was offered.
    last_offer: Cell<Option<Millis>>,
    probing: Cell<bool>,
    leaving: Cell<bool>,
    notices: Notices,
    /// The identity that the backend server named in its last response.
    responding_id: RefCell<Option<CompactString>>,
    /// Whether that was since the server list named the present run of the backend server.
    responded: Cell<bool>,
    /// Whether the server list says that the backend server is draining, or no longer contains it.
    server_leaving: Cell<bool>,
    /// Whether the availability zone of the backend server is evacuated.
    evacuated: Cell<bool>,
    warm_up: RefCell<WarmUp>,
    /// The limit in force because the backend server is cold or may be.
    cold_limit: Cell<Option<Rate>>,
    /// Since when that limit is in force.
    cold_since: Cell<Millis>,
    /// When the last health check was sent.
    check_sent: Cell<Millis>,
    /// The report of the backend server that the server list last named.
    sequence: Cell<u64>,
    server: RefCell<CompactString>,
    /// The start time of the backend server, by the server list.
    born: Cell<Option<u64>>,
}

impl Gate {
    /// Creates the gate of the backend server at `address`.
    pub(crate) fn new(
        address: SocketAddr,
        memory: GateMemory,
        date: DateService,
        clock: Clock,
        trail: Rc<Trail>,
        suspects: Rc<Suspects>,
        budgets: Rc<Budgets>,
    ) -> Self {
        let now = clock.now();
        Self {
            health: BackendHealth::new(clock.clone(), Rc::clone(&trail)),
            notices: Notices::new(clock.clone(), Rc::clone(&trail)),
            clock,
            trail,
            pool: Pool::new(address, date, memory.buffered_bytes, &memory.budget),
            budget: memory.budget,
            health_path: RefCell::new(CompactString::default()),
            scheduler: RefCell::new(Scheduler::new(DEFAULT_SLOTS)),
            waiters: RefCell::default(),
            listeners: Subscribers::default(),
            suspects,
            runs: Runs::new(Rc::clone(&budgets)),
            budgets,
            stream_budget: StreamBudget::new(memory.streamed_bytes),
            last_crash_check: Mutex::default(),
            last_offer: Cell::new(None),
            probing: Cell::new(false),
            leaving: Cell::new(false),
            responding_id: RefCell::default(),
            responded: Cell::new(false),
            server_leaving: Cell::new(false),
            evacuated: Cell::new(false),
            warm_up: RefCell::new(WarmUp::new(now)),
            cold_limit: Cell::new(None),
            cold_since: Cell::new(now),
            check_sent: Cell::new(now),
            sequence: Cell::new(0),
            server: RefCell::default(),
            born: Cell::new(None),
        }
    }

    /// Returns the load as reported to ingresses.
    pub(crate) fn load(&self) -> GateLoad {
        self.scheduler.borrow().load(self.clock.now())
    }

    /// Returns how much memory is reserved for streamed responses, in bytes.
    pub(crate) fn stream_bytes(&self) -> usize {
        self.stream_budget.held_bytes()
    }

    /// Adds a link whose node receives load changes.
    pub(crate) fn subscribe(&self, outbox: &Rc<Outbox>) -> Rc<Subscriber> {
        let subscriber = Rc::new(Subscriber::new(Rc::clone(outbox), self.clock.now()));
        self.listeners.add(Rc::clone(&subscriber), self.load());
        if let Some(frame) = self.suspects.snapshot() {
            outbox.push(frame);
        }
        subscriber
    }

    /// Applies what another gate reports of requests that crash backend servers.
    pub(crate) fn apply_suspects(&self, entries: &[QuarantineEntry], cleared: &[u64]) {
        let update = self.suspects.import(entries, cleared);
        self.listeners.broadcast(update);
    }

    /// Refuses new and waiting requests from now on; running requests are still served.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
        self.reopen();
    }

    /// Applies whether the availability zone of the backend server is evacuated. Meanwhile requests
    /// are refused and run elsewhere, and the backend server is still probed.
    pub(crate) fn set_evacuated(&self, evacuated: bool) {
        if self.evacuated.replace(evacuated) != evacuated {
            // The backend servers of a zone may be cold when its evacuation ends.
            self.warm_up.borrow_mut().require_check();
            self.update_limit();
            self.reopen();
        }
    }

    /// Applies the record of the local backend server in the server list.
    pub(crate) fn update_server(&self, record: &ServerRecord, service: Option<&RoutedService>) {
        let now = self.clock.now();
        let health_path = service.map(|service| service.health_path.clone());
        *self.health_path.borrow_mut() = health_path.unwrap_or_default();
        let slow_start = service.and_then(|service| service.slow_start);
        self.warm_up.borrow_mut().configure(now, slow_start);
        self.set_server_leaving(record.state == ServerState::Draining);
        let born = self.born.replace(record.born);
        let sequence = self.sequence.replace(record.sequence);
        if *self.server.borrow() == record.id && born == record.born {
            if sequence != record.sequence {
                self.warm_up.borrow_mut().record_entry(now, record.cold_ms);
            }
            return self.update_limit();
        }
        *self.server.borrow_mut() = record.id.clone();
        self.pool.clear();
        self.scheduler.borrow_mut().resize(record.slots);
        self.health.reset();
        self.responded.set(false);
        self.reset_run();
        self.warm_up.borrow_mut().record_entry(now, record.cold_ms);
        self.update_limit();
        self.reopen();
    }

    /// Records that the server list no longer contains the local backend server, which may leave
    /// without being listed as draining before.
    pub(crate) fn remove_server(&self) {
        let was_listed = !self.server.borrow().is_empty();
        self.set_server_leaving(was_listed);
    }

    fn set_server_leaving(&self, leaving: bool) {
        if self.server_leaving.replace(leaving) == leaving {
            return;
        }
        self.reopen();
    }

    /// Resets what the previous run of the backend server reported of itself.
    fn reset_run(&self) {
        self.notices.reset(&self.server.borrow());
        self.forget_warm_up();
    }

    /// Runs a request; returns how it ended, and the body of a response.
    ///
    /// With a `sink`, a response that is not complete at once is streamed to it; it is whole if the
    /// outcome is a response. The slot is held until the backend server has delivered all of it.
    ///
    /// Dropping the future cancels the request at the backend server.
    pub(crate) async fn run(
        self: Rc<Self>,
        mut offer: Offer,
        body: Bytes,
        sink: Option<&ResponseSink>,
    ) -> (Outcome, Bytes) {
        let arrived = self.clock.now();
        self.last_offer.set(Some(arrived));
        self.discard_outdated_load();
        let work_ms = u64::from(offer.work_ms);
        let mut record = GateRecord::new(&self.trail, &mut offer, arrived);
        self.apply_passed_limit(&offer);
        if let Some((why, back_ms)) = self.check_unservable(&offer) {
            return self.refuse(&mut record, why, back_ms);
        }
        let calls = match self.reserve_calls(&offer) {
            Ok(calls) => calls,
            Err(why) => {
                let back_ms = self
                    .scheduler
                    .borrow()
                    .retry_after_ms(self.clock.now(), work_ms);
                return self.refuse(&mut record, why, back_ms);
            }
        };
        let turn = self
            .suspects
            .acquire_turn(offer.fingerprint, offer.left_ms.into());
        let Ok(_turn) = turn.await else {
            return self.refuse(&mut record, RefusalReason::Late, 0);
        };
        if let Err(why) = self.acquire_slot(arrived, &offer, &mut record).await {
            let back_ms = self
                .scheduler
                .borrow()
                .retry_after_ms(self.clock.now(), work_ms);
            return self.refuse(&mut record, why, back_ms);
        }
        let _permit = Permit(Rc::clone(&self));
        if let Some((why, back_ms)) = self.check_unservable(&offer) {
            return self.refuse(&mut record, why, back_ms);
        }
        // The connection to the backend server holds a copy of the body until it is sent.
        let Some(_copy) = self.budget.reserve(ByteUse::Other, body.len()) else {
            self.budget.record_rejected();
            return self.refuse(&mut record, RefusalReason::Full, MEMORY_RETRY_AFTER_MS);
        };
        let now = self.clock.now();
        let spent = now.since(arrived);
        let left = u64::from(offer.left_ms).saturating_sub(spent);
        if left == 0 {
            return self.refuse(&mut record, RefusalReason::Late, 0);
        }
        record.admitted(self.snapshot(now));
        let limit = Duration::from_millis(left + DEADLINE_GRACE_MS);
        let (ending, body) = match sink {
            Some(sink) => {
                self.exchange_streamed(offer, body, left, calls, limit, sink)
                    .await
            }
            None => {
                let result = timeout(limit, self.exchange(offer, body, left, calls)).await;
                result.unwrap_or((Outcome::Failed, Bytes::new()))
            }
        };
        record.ran(&ending);
        (ending, body)
    }

    /// Takes work to last its usual time if the last report is too old, so that no request is
    /// refused by it. A backend server that is not in use is not probed.
    fn discard_outdated_load(&self) {
        if self.health.age_ms() >= REPORT_MAX_AGE_MS {
            self.scheduler
                .borrow_mut()
                .set_work_percent(USUAL_WORK_PERCENT);
        }
    }

    /// Reserves budget for the calls that a request will make, if it is a repeat.
    fn reserve_calls(&self, offer: &Offer) -> Result<Option<CallReservations>, RefusalReason> {
        if !offer.repeat {
            return Ok(None);
        }
        let calls = self.budgets.reserve_calls(offer.route);
        calls.map(Some).ok_or(RefusalReason::Budget)
    }

    /// Refuses a request; a refused request never runs.
    fn refuse(
        &self,
        record: &mut GateRecord,
        why: RefusalReason,
        back_ms: u64,
    ) -> (Outcome, Bytes) {
        record.refused(why, back_ms, self.snapshot(self.clock.now()));
        let back_ms = u32::try_from(back_ms).unwrap_or(u32::MAX);
        (
            Outcome::Refused {
                why,
                retry_after_ms: back_ms,
            },
            Bytes::new(),
        )
    }

    /// Waits for a slot.
    async fn acquire_slot(
        &self,
        arrived: Millis,
        offer: &Offer,
        record: &mut GateRecord,
    ) -> Result<(), RefusalReason> {
        let job = Job {
            priority: offer.priority,
            aim: arrived + u64::from(offer.aim_ms),
            deadline: arrived + u64::from(offer.left_ms),
            work_ms: u64::from(offer.work_ms),
            elsewhere_ms: offer.elsewhere_ms.map(u64::from),
        };
        let admission = self.scheduler.borrow_mut().offer(self.clock.now(), job);
        match admission {
            Admission::Start => {
                self.send_load_step();
                Ok(())
            }
            Admission::Refuse(why) => Err(why),
            Admission::Wait(key) => {
                record.queued(self.snapshot(self.clock.now()));
                self.wait_for_slot(key).await
            }
        }
    }

    async fn wait_for_slot(&self, key: JobKey) -> Result<(), RefusalReason> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        let mut guard = WaitGuard {
            gate: self,
            key,
            receiver,
            ended: false,
        };
        loop {
            let now = self.clock.now();
            let wake = self
                .scheduler
                .borrow()
                .next_wake(now)
                .map_or(1_000, |at| at.since(now));
            tokio::select! {
                biased;
                result = &mut guard.receiver => {
                    guard.ended = true;
                    return result.unwrap_or(Err(RefusalReason::Leaving));
                }
                () = sleep(Duration::from_millis(wake.max(1))) => self.process_events(),
            }
        }
    }

    /// Starts or refuses the waiting requests that the scheduler decides on.
    fn process_events(&self) {
        let now = self.clock.now();
        loop {
            let event = self.scheduler.borrow_mut().next_event(now);
            let (key, result) = match event {
                Some(SchedulerEvent::Start(key)) => (key, Ok(())),
                Some(SchedulerEvent::Refuse(key, why)) => (key, Err(why)),
                None => break,
            };
            let sender = self.waiters.borrow_mut().remove(&key);
            let sent = sender.is_some_and(|s| s.send(result).is_ok());
            if !sent && result.is_ok() {
                self.scheduler.borrow_mut().finish();
            }
        }
        self.send_load_step();
    }

    /// Returns whether the node is stopping, or its backend server is leaving by the server list or
    /// by its own responses.
    fn is_leaving(&self) -> bool {
        self.leaving.get() || self.server_leaving.get() || self.notices.is_leaving()
    }

    /// Opens the gate, unless it drains; a gate that drains refuses the requests that wait at it.
    fn reopen(&self) {
        let reason = self.drain_reason();
        self.scheduler.borrow_mut().close(reason);
        match reason {
            Some(_) => self.process_events(),
            None => self.health.log_up(&self.server.borrow()),
        }
        self.send_load_change();
    }

    /// Returns why requests are refused although the backend server is up, if they are.
    fn drain_reason(&self) -> Option<RefusalReason> {
        if self.is_leaving() {
            return Some(RefusalReason::Leaving);
        }
        self.evacuated.get().then_some(RefusalReason::Evacuated)
    }

    fn handle_connect_error(&self, e: &ExchangeError) {
        *self.responding_id.borrow_mut() = None;
        self.forget_warm_up();
        if self.leaving.get() || self.load().closed {
            return;
        }
        self.health.log_down(&self.server.borrow(), &e.to_string());
        if e.is_refused() {
            self.reset_run();
            self.listeners
                .broadcast(self.suspects.record_crash(&self.server.borrow()));
        }
        self.scheduler.borrow_mut().close(Some(RefusalReason::Down));
        self.send_load();
    }

    /// Returns why a request may not run here regardless of the load, and its retry time in
    /// milliseconds.
    fn check_unservable(&self, offer: &Offer) -> Option<(RefusalReason, u64)> {
        // An address may pass to another backend server before the server list says so.
        let responding_id = self.responding_id.borrow();
        let is_other = |id: &CompactString| *id != offer.server;
        if self.responded.get() && responding_id.as_ref().is_some_and(is_other) {
            return Some((RefusalReason::Down, 0));
        }
        let left = self.suspects.remaining_ms(offer.fingerprint)?;
        Some((RefusalReason::Quarantined, left))
    }

    /// Returns the state that is logged with a decision.
    fn snapshot(&self, now: Millis) -> GateSnapshot {
        GateSnapshot {
            load: self.load(),
            now,
            age_ms: self.health.age_ms(),
        }
    }

    /// Sends the load to the subscribers if the number of requests has changed by [`LOAD_STEP`].
    fn send_load_step(&self) {
        let (load, sent) = (self.load(), self.listeners.last_load());
        let busy = load.running + load.waiting;
        let before = sent.running + sent.waiting;
        if busy.abs_diff(before) >= LOAD_STEP {
            self.send_load();
        }
    }

    /// Sends the load to the subscribers if it has changed in a way that all of them must know.
    fn send_load_change(&self) {
        if self.listeners.last_load().needs_broadcast(self.load()) {
            self.send_load();
        }
    }

    fn send_load(&self) {
        self.listeners.send_load(self.clock.now(), self.load());
    }
}
