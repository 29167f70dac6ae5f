//! The state of a node that its threads share.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use oriolering::config::{ProcessSettings, ServiceSettings, SiteSettings};
use oriolering::{
    Clock, Gate, Incarnation, LoadHint, MeasurementBudget, Member, Millis, Quarantine,
};
use oriolering_traces::Traces;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::admission::Admission;
use crate::control::Handle;
use crate::directory::{Directory, Me};
use crate::metrics::Metrics;
use crate::settings;
use crate::watch::Watch;

/// The state of a node.
pub(crate) struct Node {
    /// The settings of the process.
    pub(crate) card: ProcessSettings,
    /// The number of this run of the process.
    pub(crate) incarnation: Incarnation,
    /// The clock of the process.
    pub(crate) clock: Clock,
    /// The gate and the calls that wait for it.
    pub(crate) admission: Mutex<Admission>,
    /// What the ingress knows of services and backend servers.
    pub(crate) directory: Mutex<Directory>,
    /// Requests that are refused because backend servers died running them.
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Whether the local backend server is up.
    pub(crate) watch: Mutex<Watch>,
    /// What may be spent on measuring the local backend server.
    pub(crate) budget: Mutex<MeasurementBudget>,
    /// Held once by each call that entered here until its answer has been passed on.
    pub(crate) entered: Arc<()>,
    /// Tells the tick that a call has begun to wait.
    pub(crate) queued: Notify,
    /// Counters and gauges.
    pub(crate) metrics: Metrics,
    /// Spans of recent calls.
    pub(crate) traces: Traces,
    control: OnceLock<Handle>,
    own: Mutex<Arc<ServiceSettings>>,
    revision: Mutex<Option<u64>>,
    draining: AtomicBool,
    /// When the process was told to stop, and when its calls must have ended.
    stop: OnceLock<(Millis, Millis)>,
}

impl Node {
    /// Returns a node without configuration and members.
    pub(crate) fn new(card: ProcessSettings, incarnation: Incarnation) -> Arc<Self> {
        let clock = Clock::system();
        let own = settings::initial(&card.service);
        let gate = Gate::new(settings::gate(&own), incarnation, clock.now());
        let me = Me {
            id: card.id.clone(),
            zone: card.zone.clone(),
        };
        Arc::new(Self {
            incarnation,
            admission: Mutex::new(Admission::new(gate)),
            directory: Mutex::new(Directory::new(me, incarnation.0)),
            quarantine: Mutex::new(Quarantine::new(settings::quarantine(&own), incarnation)),
            watch: Mutex::new(Watch::default()),
            entered: Arc::new(()),
            queued: Notify::new(),
            budget: Mutex::new(MeasurementBudget::new(settings::budget(&own))),
            metrics: Metrics::new(),
            traces: Traces::new(&card.id),
            control: OnceLock::new(),
            own: Mutex::new(Arc::new(own)),
            revision: Mutex::new(None),
            draining: AtomicBool::new(false),
            stop: OnceLock::new(),
            clock,
            card,
        })
    }

    /// Keeps the handle of the control thread.
    pub(crate) fn attach(&self, control: Handle) {
        // A node attaches its control thread once, before it serves.
        let _ = self.control.set(control);
    }

    /// Returns the handle of the control thread.
    pub(crate) fn control(&self) -> Option<&Handle> {
        self.control.get()
    }

    /// Puts the settings of a new revision in force.
    pub(crate) fn configure(&self, revision: u64, site: &SiteSettings) {
        let now = self.clock.now();
        if let Some(own) = site.services.iter().find(|s| s.name == self.card.service) {
            self.admission.lock().gate.update(settings::gate(own));
            self.quarantine.lock().update(settings::quarantine(own));
            self.budget.lock().update(settings::budget(own));
            *self.own.lock() = Arc::new(own.clone());
        }
        self.directory.lock().configure(now, site);
        *self.revision.lock() = Some(revision);
        log::info!(revision = revision; "configuration in force");
    }

    /// Takes up a new list of members.
    pub(crate) fn set_members(&self, members: Arc<[Member]>) {
        let now = self.clock.now();
        let leaving = members.iter().any(|m| m.id == self.card.id && m.leaving);
        self.directory.lock().set_members(now, members);
        if leaving {
            self.drain();
        }
    }

    /// Returns the load of the local backend server as it is told to ingresses.
    pub(crate) fn load(&self) -> LoadHint {
        self.admission.lock().gate.load(self.clock.now())
    }

    /// Returns the settings of the local backend server's service.
    pub(crate) fn own_service(&self) -> Arc<ServiceSettings> {
        Arc::clone(&self.own.lock())
    }

    /// Returns the revision of the configuration in force.
    pub(crate) fn revision(&self) -> Option<u64> {
        *self.revision.lock()
    }

    /// Returns whether the node can serve calls.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_members = !self.directory.lock().members().is_empty();
        self.revision().is_some() && knows_members && !self.is_draining()
    }

    /// Returns whether no call runs at the gate and none that entered here is unanswered.
    pub(crate) fn is_idle(&self) -> bool {
        let entered = Arc::strong_count(&self.entered) > 1;
        !entered && self.admission.lock().gate.is_idle()
    }

    /// Returns whether the node is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Records that the process was told to stop, and when its calls must have ended.
    pub(crate) fn begin_stop(&self, now: Millis, end: Millis) {
        // Only the first signal counts.
        let _ = self.stop.set((now, end));
    }

    /// Returns when the process was told to stop, and when its calls must have ended, if it was.
    pub(crate) fn stop(&self) -> Option<(Millis, Millis)> {
        self.stop.get().copied()
    }

    /// Stops taking new work for the local backend server and tells the peers.
    pub(crate) fn drain(&self) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let mut admission = self.admission.lock();
        admission.gate.drain(now);
        admission.pump(now);
        drop(admission);
        if let Some(control) = self.control() {
            control.leave();
        }
        log::info!("draining: no new work for the local backend server");
    }

    /// Lets the gate expire what waits too long and notice a pause of the process.
    pub(crate) fn tick(&self) -> Millis {
        let now = self.clock.now();
        let mut admission = self.admission.lock();
        admission.gate.tick(now);
        admission.pump(now);
        now
    }
}
