//! The gate: the only way to the backend server on the same instance.

mod hearing;
mod notices;
mod permit;
mod probing;
mod waiting;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::{DateService, ResponseHead};
use oriolering::{
    Admission, Clock, GateLoad, Job, JobKey, Millis, QuarantineEntry, RefusalReason, Scheduler,
    SchedulerEvent, ServerRecord, ServerState,
};
use oriolering_http::{Bytes, ExchangeError, Response};
use oriolering_platform::HEADERS;
use tokio::sync::{Mutex, oneshot};
use tokio::time::{sleep, timeout};

use crate::backend_health::BackendHealth;
use crate::budgets::{Budgets, CallReservations};
use crate::frame::{Answered, Offer, Outcome};
use crate::{backend_request, headers};

use crate::notice::Notice;
use crate::outbox::Outbox;
use crate::pool::Pool;
use crate::runs::Runs;
use crate::subscribers::{Subscriber, Subscribers};
use crate::suspects::Suspects;
use crate::trail::{GateRecord, GateSnapshot, Trail};

use notices::{Heard, Notices};
use permit::Permit;
use waiting::Waiting;

/// The age of the last word of the backend server from which it is asked, in milliseconds; a
/// sixth of the time for which a noisy neighbour slows it down.
const PROBE_AGE_MS: u64 = 50;
/// The slots of a backend server that has told none.
const SLOTS: u32 = 10;
/// By how much the requests at the gate must have changed to be told unasked.
const LOAD_STEP: u32 = 3;
/// How long an exchange may outlast the deadline that the backend server knows, in milliseconds.
const OVERTIME_MS: u64 = 60;
/// How long a look at whether the backend server has crashed is good for, in milliseconds; the
/// time between two probes.
const LOOK_AGE_MS: u64 = PROBE_AGE_MS;

/// The gate of the local backend server.
pub(crate) struct Gate {
    clock: Clock,
    trail: Rc<Trail>,
    pool: Pool,
    health_path: RefCell<CompactString>,
    room: RefCell<Scheduler>,
    waiters: RefCell<HashMap<JobKey, oneshot::Sender<Result<(), RefusalReason>>>>,
    listeners: Subscribers,
    suspects: Rc<Suspects>,
    budgets: Rc<Budgets>,
    /// What runs at the backend server.
    pub(crate) runs: Runs,
    /// Held while somebody looks whether the backend server has crashed; when that was done.
    looked: Mutex<Option<Millis>>,
    pulse: BackendHealth,
    /// When a request was offered last, if ever.
    offered: Cell<Option<Millis>>,
    probing: Cell<bool>,
    leaving: Cell<bool>,
    notices: Notices,
    /// The identity with which the backend server answered last.
    answers_as: RefCell<Option<CompactString>>,
    /// Whether the list says that the backend server leaves.
    server_leaves: Cell<bool>,
    server: RefCell<CompactString>,
    /// When the backend server began to run, as the list says.
    born: Cell<Option<u64>>,
}

impl Gate {
    /// Returns the gate of the backend server at `address`, whose answers may take
    /// `answer_bytes` of memory while they are read.
    pub(crate) fn new(
        address: SocketAddr,
        answer_bytes: usize,
        date: DateService,
        clock: Clock,
        trail: Rc<Trail>,
        suspects: Rc<Suspects>,
        budgets: Rc<Budgets>,
    ) -> Self {
        Self {
            pulse: BackendHealth::new(clock.clone(), Rc::clone(&trail)),
            notices: Notices::new(clock.clone(), Rc::clone(&trail)),
            clock,
            trail,
            pool: Pool::new(address, date, answer_bytes),
            health_path: RefCell::new(CompactString::default()),
            room: RefCell::new(Scheduler::new(SLOTS)),
            waiters: RefCell::default(),
            listeners: Subscribers::default(),
            suspects,
            runs: Runs::new(Rc::clone(&budgets)),
            budgets,
            looked: Mutex::default(),
            offered: Cell::new(None),
            probing: Cell::new(false),
            leaving: Cell::new(false),
            answers_as: RefCell::default(),
            server_leaves: Cell::new(false),
            server: RefCell::default(),
            born: Cell::new(None),
        }
    }

    /// Returns the load as ingresses are told.
    pub(crate) fn load(&self) -> GateLoad {
        self.room.borrow().load(self.clock.now())
    }

    /// Adds a link whose node is told of changes of the load.
    pub(crate) fn subscribe(&self, outbox: &Rc<Outbox>) -> Rc<Subscriber> {
        let listener = Rc::new(Subscriber::new(Rc::clone(outbox), self.clock.now()));
        self.listeners.add(Rc::clone(&listener), self.load());
        if let Some(frame) = self.suspects.snapshot() {
            outbox.push(frame);
        }
        listener
    }

    /// Takes in what another gate tells of requests that crash backend servers.
    pub(crate) fn apply_suspects(&self, entries: &[QuarantineEntry], cleared: &[u64]) {
        let told = self.suspects.import(entries, cleared);
        self.listeners.broadcast(told);
    }

    /// Refuses new requests from now on; those that wait or run are still served.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
        self.room.borrow_mut().close(Some(RefusalReason::Leaving));
        self.tell();
    }

    /// Takes in what the list says of the local backend server.
    pub(crate) fn update_server(&self, record: &ServerRecord, health_path: &str) {
        *self.health_path.borrow_mut() = health_path.into();
        let leaving = record.state == ServerState::Draining;
        if self.server_leaves.replace(leaving) != leaving {
            self.reopen();
        }
        let born = self.born.replace(record.born);
        if *self.server.borrow() == record.id && born == record.born {
            return;
        }
        *self.server.borrow_mut() = record.id.clone();
        self.pool.clear();
        self.room.borrow_mut().resize(record.slots);
        self.pulse.renew();
        self.begin_run();
        self.reopen();
    }

    /// Forgets what a run of the backend server has said of itself, since it is over.
    fn begin_run(&self) {
        self.notices.renew(&self.server.borrow());
        self.take_limit(None);
    }

    /// Runs a request, and returns how it ended with the body of an answer.
    ///
    /// Dropping the future cancels the request at the backend server.
    pub(crate) async fn run(self: Rc<Self>, mut offer: Offer, body: Bytes) -> (Outcome, Bytes) {
        let arrived = self.clock.now();
        self.offered.set(Some(arrived));
        let work_ms = u64::from(offer.work_ms);
        let mut record = GateRecord::new(&self.trail, &mut offer, arrived);
        self.hear_of(&offer);
        if let Some((why, back_ms)) = self.rules_out(&offer) {
            return self.refuse(&mut record, why, back_ms);
        }
        let calls = match self.hold_calls(&offer) {
            Ok(calls) => calls,
            Err(why) => {
                let back_ms = self.room.borrow().retry_after_ms(self.clock.now(), work_ms);
                return self.refuse(&mut record, why, back_ms);
            }
        };
        let turn = self
            .suspects
            .acquire_turn(offer.fingerprint, offer.left_ms.into());
        let Ok(_turn) = turn.await else {
            return self.refuse(&mut record, RefusalReason::Late, 0);
        };
        if let Err(why) = self.enter(arrived, &offer, &mut record).await {
            let back_ms = self.room.borrow().retry_after_ms(self.clock.now(), work_ms);
            return self.refuse(&mut record, why, back_ms);
        }
        let _permit = Permit(Rc::clone(&self));
        if let Some((why, back_ms)) = self.rules_out(&offer) {
            return self.refuse(&mut record, why, back_ms);
        }
        let now = self.clock.now();
        let spent = now.since(arrived);
        let left = u64::from(offer.left_ms).saturating_sub(spent);
        if left == 0 {
            return self.refuse(&mut record, RefusalReason::Late, 0);
        }
        record.admitted(self.snapshot(now));
        let limit = Duration::from_millis(left + OVERTIME_MS);
        let result = timeout(limit, self.exchange(offer, body, left, calls)).await;
        let (ending, body) = result.unwrap_or((Outcome::Failed, Bytes::new()));
        record.ran(&ending);
        (ending, body)
    }

    /// Holds the calls that a request will make, if it is a repeat.
    fn hold_calls(&self, offer: &Offer) -> Result<Option<CallReservations>, RefusalReason> {
        if !offer.repeat {
            return Ok(None);
        }
        let calls = self.budgets.reserve_calls(offer.route);
        calls.map(Some).ok_or(RefusalReason::Budget)
    }

    /// Refuses a request, which has not run and never will.
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
    async fn enter(
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
        let entry = self.room.borrow_mut().offer(self.clock.now(), job);
        match entry {
            Admission::Start => {
                self.tell_step();
                Ok(())
            }
            Admission::Refuse(why) => Err(why),
            Admission::Wait(key) => {
                record.queued(self.snapshot(self.clock.now()));
                self.wait(key).await
            }
        }
    }

    async fn wait(&self, key: JobKey) -> Result<(), RefusalReason> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        let mut guard = Waiting {
            gate: self,
            key,
            receiver,
            ended: false,
        };
        loop {
            let now = self.clock.now();
            let wake = self
                .room
                .borrow()
                .next_wake(now)
                .map_or(1_000, |at| at.since(now));
            tokio::select! {
                biased;
                result = &mut guard.receiver => {
                    guard.ended = true;
                    return result.unwrap_or(Err(RefusalReason::Leaving));
                }
                () = sleep(Duration::from_millis(wake.max(1))) => self.pump(),
            }
        }
    }

    /// Tells waiting requests what became of them.
    fn pump(&self) {
        let now = self.clock.now();
        loop {
            let turn = self.room.borrow_mut().next_event(now);
            let (key, result) = match turn {
                Some(SchedulerEvent::Start(key)) => (key, Ok(())),
                Some(SchedulerEvent::Refuse(key, why)) => (key, Err(why)),
                None => break,
            };
            let sender = self.waiters.borrow_mut().remove(&key);
            let sent = sender.is_some_and(|s| s.send(result).is_ok());
            if !sent && result.is_ok() {
                self.room.borrow_mut().finish();
            }
        }
        self.tell_step();
    }

    /// Runs a request at the backend server; a repeat comes with what allows its calls.
    async fn exchange(
        &self,
        offer: Offer,
        body: Bytes,
        left: u64,
        calls: Option<CallReservations>,
    ) -> (Outcome, Bytes) {
        let started = self.clock.now();
        let Some(request) = backend_request::build(&offer, body, left) else {
            return (Outcome::Unsent, Bytes::new());
        };
        let mut conn = match self.pool.take(started).await {
            Ok(conn) => conn,
            Err(e) => {
                self.note_down(&e);
                return (Outcome::Unsent, Bytes::new());
            }
        };
        let id = offer.request.as_str();
        // The answer to a request without an identity has none either.
        let echo = (!id.is_empty()).then_some(id);
        let wanted = |head: &ResponseHead| headers::text(&head.headers, HEADERS.request) == echo;
        let running = self.suspects.track(&offer);
        let _run = self.runs.enter(&offer, calls);
        let result = conn.exchange(request, wanted).await;
        let now = self.clock.now();
        match result {
            Ok(response) => {
                self.pool.put(now, conn);
                self.answered(&offer, response, now.since(started))
            }
            Err(e) => {
                self.trail.exchange_broke(id, &e.to_string());
                if e.is_unsent() {
                    return (Outcome::Unsent, Bytes::new());
                }
                running.record_broken();
                drop(running);
                // Other nodes hear of a crash before the ingress may send the request again.
                self.look().await;
                (Outcome::Failed, Bytes::new())
            }
        }
    }

    /// Finds out whether the backend server has crashed, after an exchange with it broke.
    async fn look(&self) {
        let mut looked = self.looked.lock().await;
        let now = self.clock.now();
        let fresh = looked.is_some_and(|at| now.since(at) < LOOK_AGE_MS);
        if self.load().closed || fresh {
            return;
        }
        match self.pool.connect().await {
            Ok(conn) => self.pool.put(now, conn),
            Err(e) => self.note_down(&e),
        }
        *looked = Some(now);
    }

    fn answered(&self, offer: &Offer, response: Response, ran_ms: u64) -> (Outcome, Bytes) {
        let percent = self.load().work_percent;
        self.hear(&response.headers);
        let after = self.load().work_percent;
        let unexecuted = response.headers.contains_key(HEADERS.unexecuted);
        let misdirected = response.status.as_u16() == 421;
        let notice = match misdirected {
            // Another backend server says this.
            true => Notice::default(),
            false if unexecuted => self.hear_notice(&response.headers, Heard::Refusal),
            false => self.hear_notice(&response.headers, Heard::Run),
        };
        if unexecuted || misdirected {
            let status = response.status.as_u16();
            return (Outcome::Unexecuted { status }, Bytes::new());
        }
        let signed = response.headers.contains_key(HEADERS.signature);
        if response.status.is_success() && !signed {
            self.trail
                .exchange_broke(&offer.request, "the answer has no signature");
            return (Outcome::Failed, Bytes::new());
        }
        self.listeners
            .broadcast(self.suspects.record_finish(offer.fingerprint));
        let answered = Answered {
            status: response.status.as_u16(),
            headers: headers::of_answer(&response.headers),
            ran_ms: ran_ms as u32,
            work_percent: percent.midpoint(after),
            notice,
        };
        (Outcome::Answered(answered), response.body)
    }

    /// Returns whether the node leaves, or its backend server by what the list or itself says.
    fn is_leaving(&self) -> bool {
        self.leaving.get() || self.server_leaves.get() || self.notices.leaves()
    }

    fn reopen(&self) {
        let reason = self.is_leaving().then_some(RefusalReason::Leaving);
        self.pulse.note_up(&self.server.borrow());
        self.room.borrow_mut().close(reason);
        self.tell_turn();
    }

    fn note_down(&self, e: &ExchangeError) {
        *self.answers_as.borrow_mut() = None;
        if self.leaving.get() || self.load().closed {
            return;
        }
        self.pulse.note_lost(&self.server.borrow(), &e.to_string());
        if e.is_refused() {
            self.begin_run();
            self.listeners
                .broadcast(self.suspects.record_crash(&self.server.borrow()));
        }
        self.room.borrow_mut().close(Some(RefusalReason::Down));
        self.tell();
    }

    /// Returns why a request may not run here whatever the room, and when to come back.
    fn rules_out(&self, offer: &Offer) -> Option<(RefusalReason, u64)> {
        // An address may be given to another backend server before the list tells it.
        let answers_as = self.answers_as.borrow();
        if answers_as.as_ref().is_some_and(|id| *id != offer.server) {
            return Some((RefusalReason::Down, 0));
        }
        let left = self.suspects.remaining_ms(offer.fingerprint)?;
        Some((RefusalReason::Quarantined, left))
    }

    /// Returns what is known at a decision.
    fn snapshot(&self, now: Millis) -> GateSnapshot {
        GateSnapshot {
            load: self.load(),
            now,
            age_ms: self.pulse.age_ms(),
        }
    }

    /// Tells the listeners when what runs or waits has changed by a step.
    fn tell_step(&self) {
        let (load, told) = (self.load(), self.listeners.last_load());
        let busy = load.running + load.waiting;
        let before = told.running + told.waiting;
        if busy.abs_diff(before) >= LOAD_STEP {
            self.tell();
        }
    }

    /// Tells the listeners what all of them must know, if that has changed.
    fn tell_turn(&self) {
        if self.listeners.last_load().needs_broadcast(self.load()) {
            self.tell();
        }
    }

    fn tell(&self) {
        self.listeners.send_load(self.clock.now(), self.load());
    }
}
