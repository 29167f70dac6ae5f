//! A machine of the soak: an address of its own, a node and a backend server.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::app_settings::{AppFault, AppSettings};
use super::record::now_ms;
use super::site_text::{
    APP_PORT, CALLERS_PORT, CONNECTIONS, CONTROL_PORT, HEALTH_PATH, READY_PORT, SERVICES, ZONES,
    settings,
};
use crate::http::http_get;
use crate::process::{Process, program};
use crate::relay::Relay;
use crate::signal::Signal;
use oriolering_platform::Bounds;

/// What a backend server of the soak takes; small, so that it is full at times.
const SLOTS: u32 = 4;
const QUEUE: u32 = 6;
/// Short, so that idle connections end within a soak.
const IDLE_MS: u64 = 2_500;
const COLD_MS: u64 = 1_000;
/// A frozen or ended backend server takes no fault.
const CONTROL: Duration = Duration::from_millis(200);

/// A machine with its processes.
pub(crate) struct Machine {
    pub(crate) number: usize,
    ip: IpAddr,
    dir: PathBuf,
    pub(crate) service: RefCell<CompactString>,
    pub(crate) now: Status,
    /// Between clients and the node.
    pub(crate) clients: Relay,
    /// Between the node and the store.
    pub(crate) store: Relay,
}

/// What changes of a machine.
#[derive(Default)]
pub(crate) struct Status {
    /// The backend server that runs, or ran last.
    pub(crate) server: RefCell<CompactString>,
    pub(crate) draining: Cell<bool>,
    /// Whether its entry keeps silent about that.
    pub(crate) unlisted: Cell<bool>,
    /// Whether the backend server is stopped.
    pub(crate) frozen: Cell<bool>,
    /// The fault that the backend server has or, if it is frozen, is to have.
    fault: Cell<AppFault>,
    /// Whether the node is meant to run.
    pub(crate) node_wanted: Cell<bool>,
    /// Whether the backend server is meant to run.
    pub(crate) app_wanted: Cell<bool>,
    /// Whether clients get work.
    pub(crate) ready: Cell<bool>,
    pub(crate) misses: Cell<u32>,
    generation: Cell<u32>,
    born_ms: Cell<u64>,
    sequence: Cell<u64>,
    node: RefCell<Option<Process>>,
    app: RefCell<Option<Process>>,
    /// When the start or end of a process held up the soak's only thread, in Unix milliseconds.
    pub(crate) held: RefCell<Vec<(u64, u64)>>,
}

impl Machine {
    pub(crate) fn new(
        number: usize,
        ip: IpAddr,
        store: SocketAddr,
        dir: &Path,
    ) -> io::Result<Self> {
        let machine = Self {
            number,
            ip,
            dir: dir.to_path_buf(),
            service: RefCell::new(SERVICES[number % SERVICES.len()].into()),
            now: Status::default(),
            clients: Relay::start(SocketAddr::new(ip, CALLERS_PORT))?,
            store: Relay::start(store)?,
        };
        machine.clients.pass_resets();
        machine.store.pass_resets();
        Ok(machine)
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}-{}", self.number))
    }

    /// Writes the settings and starts the node.
    pub(crate) fn start_node(&self, bounds: &Bounds) -> io::Result<()> {
        let path = self.file("settings");
        let service = self.service.borrow();
        let store = self.store.address;
        let first_start = !path.exists();
        let text = settings(self.number, self.ip, &service, store, first_start, bounds);
        fs::write(&path, text)?;
        let variables = [("ORIOLERING_NODE_FILE", path.as_path())];
        let args = ["platform".to_owned()];
        let log = self.file("node-log");
        let program = program("oriolering-node");
        let node = self.note_held(|| Process::start_with(&program, &args, &variables, &log))?;
        self.now.node.replace(Some(node));
        self.now.node_wanted.set(true);
        Ok(())
    }

    /// Starts a backend server; it has a new identity unless it keeps its old one.
    pub(crate) fn start_app(&self, keep_id: bool) -> io::Result<()> {
        let born_ms = now_ms();
        self.now.born_ms.set(born_ms);
        self.now.sequence.set(0);
        self.now.draining.set(false);
        self.now.unlisted.set(false);
        self.now.frozen.set(false);
        self.now.fault.set(AppFault::default());
        if !keep_id {
            self.now.generation.set(self.now.generation.get() + 1);
            let id = format_compact!("i-{}-{}", self.number, self.now.generation.get());
            self.now.server.replace(id);
        }
        let settings = AppSettings {
            listen: self.at(APP_PORT),
            control: self.at(CONTROL_PORT),
            record: self.record(),
            id: self.now.server.borrow().clone(),
            service: self.service.borrow().clone(),
            health_path: HEALTH_PATH.into(),
            slots: SLOTS,
            queue: QUEUE,
            connections: CONNECTIONS,
            idle_ms: IDLE_MS,
            tells_load: true,
            cold_ms: COLD_MS,
            seed: born_ms,
        };
        let args = [serde_json::to_string(&settings)?];
        let log = self.file("app-log");
        let app = self.note_held(|| Process::start(&program("app"), &args, &log))?;
        self.now.app.replace(Some(app));
        self.now.app_wanted.set(true);
        Ok(())
    }

    /// Returns the file that holds the record of the backend servers of this machine.
    pub(crate) fn record(&self) -> PathBuf {
        self.file("record")
    }

    /// Returns the key and the next entry of the backend server.
    pub(crate) fn beat(&self) -> (String, String) {
        self.now.sequence.set(self.now.sequence.get() + 1);
        let age_ms = now_ms().saturating_sub(self.now.born_ms.get());
        let state = if self.now.draining.get() && !self.now.unlisted.get() {
            "draining"
        } else {
            "ready"
        };
        let beat = json!({
            "service": *self.service.borrow(),
            "address": self.at(APP_PORT),
            "zone": ZONES[self.number % ZONES.len()],
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_remaining_ms": COLD_MS.saturating_sub(age_ms),
            "sequence": self.now.sequence.get(),
            "born": self.now.born_ms.get(),
        });
        (self.key(), beat.to_string())
    }

    /// Returns the key of the backend server in the store.
    pub(crate) fn key(&self) -> String {
        format!("servers/{}", self.now.server.borrow())
    }

    pub(crate) fn signal_node(&self, signal: Signal) {
        if let Some(node) = self.now.node.borrow_mut().as_mut() {
            node.signal(signal);
        }
    }

    pub(crate) fn kill_node(&self) {
        self.now.node_wanted.set(false);
        // Dropping a process kills it and waits for it.
        self.note_held(|| drop(self.now.node.take()));
    }

    /// Notes how long an act on a process, which waits for the system, takes.
    fn note_held<T>(&self, act: impl FnOnce() -> T) -> T {
        let from_ms = now_ms();
        let result = act();
        self.now.held.borrow_mut().push((from_ms, now_ms()));
        result
    }

    /// Stops the backend server, or continues it with the fault that it is to have.
    pub(crate) async fn set_frozen(&self, frozen: bool) {
        let signal = match frozen {
            true => Signal::Stop,
            false => Signal::Continue,
        };
        if let Some(app) = self.now.app.borrow_mut().as_mut() {
            app.signal(signal);
        }
        self.now.frozen.set(frozen);
        if !frozen {
            self.set_fault(self.now.fault.get()).await;
        }
    }

    /// Kills the backend server as a crash would.
    pub(crate) fn crash_app(&self) {
        self.note_held(|| drop(self.now.app.take()));
    }

    pub(crate) fn kill_app(&self) {
        self.now.app_wanted.set(false);
        self.crash_app();
    }

    /// Returns whether nothing else starts or ends the node.
    pub(crate) fn is_settled(&self) -> bool {
        self.now.node_wanted.get() && !self.now.draining.get()
    }

    pub(crate) fn is_node_running(&self) -> bool {
        self.now
            .node
            .borrow_mut()
            .as_mut()
            .is_some_and(Process::is_running)
    }

    /// Returns whether a node was started and not killed; it may have ended by itself.
    pub(crate) fn has_node(&self) -> bool {
        self.now.node.borrow().is_some()
    }

    pub(crate) fn is_app_running(&self) -> bool {
        self.now
            .app
            .borrow_mut()
            .as_mut()
            .is_some_and(Process::is_running)
    }

    /// Sets the fault of the backend server, if it runs.
    pub(crate) async fn set_fault(&self, fault: AppFault) {
        self.now.fault.set(fault);
        // A backend server that has crashed meanwhile shows no fault, which is no matter.
        let _ = timeout(CONTROL, self.send_fault(fault)).await;
    }

    async fn send_fault(&self, fault: AppFault) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.at(CONTROL_PORT)).await?;
        let line = serde_json::to_string(&fault)? + "\n";
        stream.write_all(line.as_bytes()).await?;
        stream.read_u8().await.map(drop)
    }

    /// Asks the node whether it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        matches!(
            http_get(self.at(READY_PORT), "/v1/ready").await,
            Some((200, _))
        )
    }

    /// Returns the address of the machine.
    pub(crate) fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns the whole lines of the node that hold a text.
    pub(crate) fn node_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.file("node-log")).unwrap_or_default();
        let whole = log.split_inclusive('\n').filter(|l| l.ends_with('\n'));
        let of_text = whole.filter(|l| l.contains(text));
        of_text.map(|l| l.trim_end().to_owned()).collect()
    }

    /// Returns the last lines that the node wrote.
    pub(crate) fn node_log(&self) -> Vec<String> {
        let text = fs::read_to_string(self.file("node-log")).unwrap_or_default();
        let lines: Vec<_> = text.lines().rev().take(5).map(str::to_owned).collect();
        lines.into_iter().rev().collect()
    }
}
