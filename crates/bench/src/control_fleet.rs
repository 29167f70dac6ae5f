//! Runs the control parts of many nodes in one process, over real connections.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use oriolering::{AttemptStatus, Grant, Incarnation, Member, QuarantineEntry};
use oriolering_node::control::{ControlSettings, Handle, Hooks, start};
use parking_lot::Mutex;
use serde_json::json;

use crate::platform::Platform;

/// Ports below the range from which the system draws those of outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// A configuration with this text fails validation.
pub const INVALID: &str = "not-a-number";

/// The size of a fleet and what differs from the default settings.
#[derive(Clone)]
pub struct Shape {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of availability zones.
    pub zones: usize,
    /// The number of services.
    pub services: usize,
    /// Changes the settings of each node.
    pub tune: fn(&mut ControlSettings),
}

/// What the hooks of one node were given.
#[derive(Default)]
pub struct Record {
    /// The revisions in force, with the time of each.
    pub configured: Mutex<Vec<(u64, Instant)>>,
    /// The members after the last change.
    pub members: Mutex<Arc<[Member]>>,
    /// The quarantines from peers.
    pub quarantined: Mutex<Vec<QuarantineEntry>>,
    /// The fences that peers asked for.
    pub fenced: Mutex<Vec<u64>>,
    /// Whether the rest of the node is leaving.
    pub leaving: AtomicBool,
}

/// The control part of one node.
pub struct Node {
    /// The node as the platform lists it.
    pub member: Member,
    /// The handle of its control part.
    pub handle: Handle,
    /// What its hooks were given.
    pub record: Arc<Record>,
}

/// The zones on the far side of a partition; the platform is on the near side.
#[derive(Clone, Default)]
struct Cut {
    zones: Arc<Mutex<BTreeSet<CompactString>>>,
    homes: Arc<Mutex<BTreeMap<SocketAddr, CompactString>>>,
}

impl Cut {
    fn allows(&self, from: &str, to: SocketAddr) -> bool {
        let zones = self.zones.lock();
        let homes = self.homes.lock();
        let there = homes.get(&to).is_some_and(|home| zones.contains(home));
        zones.contains(from) == there
    }
}

/// Control parts with the stand-in for the platform's service.
pub struct Fleet {
    /// The stand-in.
    pub platform: Platform,
    /// The nodes.
    pub nodes: Vec<Node>,
    shape: Shape,
    cut: Cut,
    /// Where the stand-in listens, by availability zone.
    doors: BTreeMap<CompactString, SocketAddr>,
}

impl Fleet {
    /// Starts the stand-in with a list of all nodes, and then the nodes.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on or a thread cannot be started.
    pub fn start(shape: Shape) -> io::Result<Self> {
        let platform = Platform::new(0);
        let mut doors = BTreeMap::new();
        let mut listeners = Vec::new();
        for zone in 0..shape.zones {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            doors.insert(format_compact!("zone-{zone}"), listener.local_addr()?);
            listeners.push(listener);
        }
        serve(platform.clone(), listeners)?;
        let mut fleet = Self {
            platform,
            nodes: Vec::new(),
            shape,
            cut: Cut::default(),
            doors,
        };
        let members: Vec<_> = (0..fleet.shape.nodes).map(|ix| fleet.member(ix)).collect();
        fleet.platform.list(list(&members));
        for member in members {
            let node = fleet.node(member)?;
            fleet.nodes.push(node);
        }
        Ok(fleet)
    }

    /// Returns the description of node `ix` with new addresses.
    pub fn member(&self, ix: usize) -> Member {
        let zone = ix % self.shape.zones;
        Member {
            id: format_compact!("node-{ix}"),
            service: format_compact!("service-{}", ix % self.shape.services),
            zone: format_compact!("zone-{zone}"),
            region: format_compact!("region-{}", zone / 4),
            ingress: unused(),
            gate: unused(),
            control: free_address(),
            leaving: false,
            incarnation: None,
        }
    }

    /// Starts the control part of `member` as a new run.
    ///
    /// # Errors
    ///
    /// Returns an error when its address cannot be listened on.
    pub fn node(&self, member: Member) -> io::Result<Node> {
        let mut me = member.clone();
        me.incarnation = Some(Incarnation(rand::random()));
        let mut settings = ControlSettings::new(me, self.doors[&member.zone]);
        let cut = self.cut.clone();
        let zone = member.zone.clone();
        settings.reach = Some(Arc::new(move |to| cut.allows(&zone, to)));
        (self.shape.tune)(&mut settings);
        let homes = &self.cut.homes;
        homes.lock().insert(member.control, member.zone.clone());
        let record = Arc::new(Record::default());
        let handle = start(settings, hooks(&record)).map_err(io::Error::other)?;
        Ok(Node {
            member,
            handle,
            record,
        })
    }

    /// Stops node `ix` and starts a new run at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when its address cannot be listened on again.
    pub async fn replace(&mut self, ix: usize) -> io::Result<()> {
        self.nodes[ix].handle.clone().stop().await;
        self.nodes[ix] = self.node(self.nodes[ix].member.clone())?;
        Ok(())
    }

    /// Moves `zone` to the far side of a partition, or back; its open reads end.
    pub fn cut(&self, zone: &str, cut: bool) {
        let mut zones = self.cut.zones.lock();
        if cut {
            zones.insert(zone.into());
        } else {
            zones.remove(zone);
        }
        drop(zones);
        self.platform.cut(self.doors[zone], cut);
    }

    /// Publishes a configuration and waits until it is in force on all nodes; returns the times
    /// that this took, in order, or `None` for those that did not take it in time.
    pub async fn publish(&self, text: String, limit: Duration) -> Vec<Option<Duration>> {
        let start = Instant::now();
        let revision = self.platform.publish(text);
        self.settle(revision, start, limit).await
    }

    /// Waits until `revision` is in force on all nodes; see [`Self::publish`].
    pub async fn settle(
        &self,
        revision: u64,
        start: Instant,
        limit: Duration,
    ) -> Vec<Option<Duration>> {
        loop {
            let mut times: Vec<_> = self
                .nodes
                .iter()
                .map(|node| {
                    node.in_force(revision)
                        .map(|at| at.saturating_duration_since(start))
                })
                .collect();
            if times.iter().all(Option::is_some) || start.elapsed() > limit {
                times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
                return times;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until `met` holds for all nodes; returns whether it did within `limit`.
    pub async fn until(&self, limit: Duration, met: impl Fn(&Node) -> bool) -> bool {
        let start = Instant::now();
        while !self.nodes.iter().all(&met) {
            if start.elapsed() > limit {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        true
    }

    /// Stops all nodes.
    pub async fn stop(self) {
        for node in self.nodes {
            node.handle.stop().await;
        }
    }
}

impl Node {
    /// Returns when `revision` or a later one came into force.
    pub fn in_force(&self, revision: u64) -> Option<Instant> {
        let configured = self.record.configured.lock();
        let first = configured.iter().find(|(number, _)| *number >= revision);
        first.map(|(_, at)| *at)
    }

    /// Returns the member `id` as this node knows it.
    pub fn view(&self, id: &str) -> Option<Member> {
        let members = self.record.members.lock();
        members.iter().find(|member| member.id == id).cloned()
    }
}

/// Returns the platform's list of `members`.
pub fn list(members: &[Member]) -> String {
    let instances: Vec<_> = members.iter().map(instance).collect();
    json!({ "instances": instances }).to_string()
}

fn instance(member: &Member) -> serde_json::Value {
    json!({
        "id": member.id,
        "service": member.service,
        "zone": member.zone,
        "region": member.region,
        "state": if member.leaving { "leaving" } else { "live" },
        "ingress": member.ingress,
        "gate": member.gate,
        "control": member.control,
    })
}

/// Returns a configuration of about `bytes` bytes in which `edit` changes one field.
pub fn bundle(services: usize, bytes: usize, edit: u64) -> String {
    let mut base = String::with_capacity(bytes);
    let share = bytes / services.max(1);
    for service in 0..services {
        let start = base.len();
        let deadline = if service == services / 2 { edit } else { 500 };
        base.push_str(&format!("service {service} deadline_ms {deadline}\n"));
        let mut route = 0u64;
        while base.len() - start < share {
            let weight = xorshift(route * 7919 + service as u64 + 1);
            base.push_str(&format!("route /{service}/{route} weight {weight}\n"));
            route += 1;
        }
    }
    base.truncate(bytes);
    json!({ "base": base, "overlays": {} }).to_string()
}

fn xorshift(mut x: u64) -> u64 {
    x ^= x << 13;
    x ^= x >> 7;
    x ^ (x << 17)
}

fn hooks(record: &Arc<Record>) -> Hooks {
    let [a, b, c, d, e] = std::array::from_fn(|_| Arc::clone(record));
    Hooks {
        configured: Box::new(move |value| {
            a.configured.lock().push((value.revision, Instant::now()));
        }),
        validate: Box::new(validate),
        members: Box::new(move |members| *b.members.lock() = members),
        inquire: Box::new(move |id, fence| {
            if fence {
                c.fenced.lock().push(id.seq);
            }
            AttemptStatus::Fenced
        }),
        open: Box::new(|| Grant {
            gate: Incarnation(1),
            number: 1,
        }),
        leaving: Box::new(move || d.leaving.load(Ordering::Relaxed)),
        quarantined: Box::new(move |entries| e.quarantined.lock().extend(entries)),
    }
}

fn validate(text: &str) -> Result<(), String> {
    if text.contains(INVALID) {
        return Err(format!("a field is {INVALID}; set it to a number"));
    }
    let value = serde_json::from_str::<serde_json::Value>(text);
    value.map(|_| ()).map_err(|error| error.to_string())
}

/// Runs a stand-in on a thread of its own, with a door for each listener.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn serve(platform: Platform, listeners: Vec<TcpListener>) -> io::Result<()> {
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || ntex::rt::System::new("platform").block_on(platform.serve(listeners)))?;
    Ok(())
}

fn unused() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

/// Returns an address that nothing listens on and that this process has not given out.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let seed = std::process::id().wrapping_mul(797);
    loop {
        let step = seed.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (step % PORTS.len() as u32) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
