//! What the tasks of a soak share.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use tokio::time::sleep;

use super::client::Attempt;
use super::journal::{Configuration, Disruption, Freeze, Journal};
use super::judge::{Breach, Rule};
use super::machine::Machine;
use super::record::now_ms;
use super::site_text::{HEARTBEAT_MS, configuration};
use crate::store::Store;
use crate::store_limits::StoreLimits;
use oriolering_platform::Bounds;

/// Silent heartbeats after which an entry is removed.
const SILENT_BEATS: u64 = 3;
/// Versions increase in uneven steps.
const VERSION_STEPS: [u64; 3] = [1, 4, 2];

pub(crate) struct World {
    pub(crate) bounds: Bounds,
    pub(crate) machines: Vec<Rc<Machine>>,
    pub(crate) store: Store,
    pub(crate) journal: RefCell<Journal>,
    pub(crate) ended: Cell<bool>,
    /// Nodes that ended by themselves.
    pub(crate) ends: RefCell<Vec<Breach>>,
    ids: Cell<u64>,
}

impl World {
    pub(crate) fn new(seed: u64, machines: usize, bounds: Bounds, dir: &Path) -> io::Result<Self> {
        let store = Store::new(StoreLimits::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        ntex::rt::spawn(store.clone().serve(listener));
        let net = network();
        let machine = |number| {
            let [a, b, c, _] = net.octets();
            let ip = IpAddr::from([a, b, c, number as u8 + 1]);
            Machine::new(number, ip, address, dir).map(Rc::new)
        };
        let journal = Journal {
            seed,
            ..Journal::default()
        };
        Ok(Self {
            bounds,
            machines: (0..machines).map(machine).collect::<io::Result<_>>()?,
            store,
            journal: RefCell::new(journal),
            ended: Cell::new(false),
            ends: RefCell::default(),
            ids: Cell::new(0),
        })
    }

    /// Returns an identity that no other attempt has.
    pub(crate) fn next_id(&self) -> CompactString {
        let number = self.ids.get() + 1;
        self.ids.set(number);
        format_compact!("{:08x}{number:08x}", self.journal.borrow().seed as u32)
    }

    /// Keeps what became of attempts, without their bodies.
    pub(crate) fn keep(&self, attempts: &[Attempt]) {
        let without_body = |attempt: &Attempt| Attempt {
            body: Vec::new(),
            ..attempt.clone()
        };
        let attempts = attempts.iter().map(without_body);
        self.journal.borrow_mut().attempts.extend(attempts);
    }

    /// Notes a disruption that begins now; the caller closes it with its number.
    pub(crate) fn disrupt(&self, machine: Option<usize>, what: &str, planned: bool) -> usize {
        let disruptions = &mut self.journal.borrow_mut().disruptions;
        disruptions.push(Disruption {
            machine,
            from_ms: now_ms(),
            to_ms: u64::MAX,
            planned,
            what: what.into(),
        });
        disruptions.len() - 1
    }

    pub(crate) fn calm(&self, disruption: usize) {
        self.journal.borrow_mut().disruptions[disruption].to_ms = now_ms();
    }

    /// Notes a fault of a backend server that begins now; the caller ends it with its number.
    pub(crate) fn note_fault(&self, machine: usize, what: &str) -> usize {
        let faults = &mut self.journal.borrow_mut().faults;
        faults.push(Disruption {
            machine: Some(machine),
            from_ms: now_ms(),
            to_ms: u64::MAX,
            planned: false,
            what: what.into(),
        });
        faults.len() - 1
    }

    pub(crate) fn end_fault(&self, fault: usize) {
        self.journal.borrow_mut().faults[fault].to_ms = now_ms();
    }

    /// Notes that a backend server was frozen until now.
    pub(crate) fn note_freeze(&self, server: CompactString, from_ms: u64) {
        let to_ms = now_ms();
        self.journal.borrow_mut().freezes.push(Freeze {
            server,
            from_ms,
            to_ms,
        });
    }

    pub(crate) fn start_node(&self, machine: &Machine) -> io::Result<()> {
        let start = (machine.number, now_ms());
        self.journal.borrow_mut().starts.push(start);
        machine.start_node(&self.bounds)
    }

    pub(crate) fn start_app(&self, machine: &Machine, keep_id: bool) -> io::Result<()> {
        machine.start_app(keep_id)?;
        let server = machine.now.server.borrow().clone();
        self.journal
            .borrow_mut()
            .hosts
            .insert(server, machine.number);
        self.publish(machine);
        Ok(())
    }

    /// Publishes the entry of a backend server.
    pub(crate) fn publish(&self, machine: &Machine) {
        let (key, value) = machine.beat();
        self.store.put(&key, value);
        if machine.now.draining.get() {
            self.note_leaving(&machine.now.server.borrow());
        }
    }

    /// Removes an entry.
    pub(crate) fn remove(&self, server: &str) {
        self.store.delete(&format!("servers/{server}"));
        self.note_leaving(server);
    }

    fn note_leaving(&self, server: &str) {
        let leavings = &mut self.journal.borrow_mut().leavings;
        leavings.entry(server.into()).or_insert_with(now_ms);
    }

    /// Notes that a node has ended by itself.
    pub(crate) fn note_end(&self, machine: &Machine) {
        self.ends.borrow_mut().push(Breach {
            seed: self.journal.borrow().seed,
            rule: Rule::Ended,
            at_ms: now_ms(),
            id: format_compact!("(machine {})", machine.number),
            lines: machine.node_log(),
        });
    }

    /// Publishes the next configuration.
    pub(crate) fn configure(&self) {
        let number = self.journal.borrow().configurations.len();
        let last = self
            .journal
            .borrow()
            .configurations
            .last()
            .map_or(0, |c| c.version);
        let version = last + VERSION_STEPS[number % VERSION_STEPS.len()];
        let (text, routes) = configuration(number, version);
        let sent_ms = now_ms();
        self.store.put("op/config", text.to_string());
        self.journal
            .borrow_mut()
            .configurations
            .push(Configuration {
                version,
                sent_ms,
                ack_ms: now_ms(),
                routes,
            });
    }

    /// Publishes the newest configuration again.
    pub(crate) fn configure_again(&self) {
        let journal = self.journal.borrow();
        let number = journal.configurations.len().checked_sub(1);
        if let Some((number, last)) = number.zip(journal.configurations.last()) {
            let (text, _) = configuration(number, last.version);
            self.store.put("op/config", text.to_string());
        }
    }

    /// Removes the entries again that were removed and belong to no backend server.
    pub(crate) fn remove_again(&self) {
        let journal = self.journal.borrow();
        let is_used = |server: &CompactString| {
            let mut machines = self.machines.iter();
            machines.any(|m| *m.now.server.borrow() == *server)
        };
        for server in journal.leavings.keys().filter(|s| !is_used(s)) {
            self.store.delete(&format!("servers/{server}"));
        }
    }

    /// Removes an entry whose backend server has been silent, unless it came back under it.
    pub(crate) async fn expire(self: Rc<Self>, machine: Rc<Machine>, server: CompactString) {
        sleep(Duration::from_millis(SILENT_BEATS * HEARTBEAT_MS)).await;
        if *machine.now.server.borrow() != server {
            self.remove(&server);
        }
    }
}

/// Returns a network of loopback addresses that no other soak of this computer is likely to use.
fn network() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let third = low.wrapping_add(NEXT.fetch_add(101, Ordering::Relaxed));
    Ipv4Addr::new(127, 20 + high % 200, third, 0)
}
