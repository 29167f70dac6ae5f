//! A fleet of nodes, a store and backend servers in one process, each on its own loopback address.

// Each test file uses only some of the items.
#![allow(dead_code, unreachable_pub)]

pub mod backend;
#[path = "../../../http/tests/support/mod.rs"]
pub mod raw;
pub mod store;

use std::cell::Cell;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oriolering_mesh::{LogWriter, Options, run_until};
use oriolering_platform::Settings;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet};

use backend::Backend;
use raw::{RawPeer, Reply, sleep_ms, within_deadline};
use store::Store;

const CALLERS_PORT: u16 = 8629;
const NODES_PORT: u16 = 8624;
const READY_PORT: u16 = 8625;
const LINKS_PORT: u16 = 7600;
const BACKEND_PORT: u16 = 8628;
const STORE_PORT: u16 = 8627;
const METRICS_PORT: u16 = 9_464;
/// A port on which no store listens.
const UNUSED_PORT: u16 = 8626;
/// The grace period of a stopping node, in milliseconds.
pub const GRACE_MS: u64 = 4_000;
/// The timeouts of the usual routes and of the route `short`, in milliseconds.
pub const TIMEOUT_MS: u64 = 1_500;
pub const SHORT_MS: u64 = 300;

/// The default bandwidth of a node's link, in megabits per second.
const DEFAULT_LINK_MBPS: u32 = 1_000;

/// The network number of the next fleet; each fleet of the process has its own network.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// The log output of a node.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panics").clone();
        String::from_utf8(bytes).expect("text")
    }
}

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().expect("no reader panics");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An instance with a node and its local backend server.
pub struct Instance {
    pub ip: IpAddr,
    pub backend: Backend,
    /// The bandwidth of the link, in megabits per second.
    link_mbps: u32,
    /// The availability zone.
    zone: String,
    pub log: Log,
    /// Whether a node has run on this instance before.
    has_run: bool,
    stop: Option<oneshot::Sender<()>>,
    node: Option<JoinHandle<()>>,
}

/// A store, and instances with a node and a backend server each.
pub struct Fleet {
    pub store: Store,
    pub instances: Vec<Instance>,
    network: u8,
}

impl Fleet {
    /// Returns a fleet with an instance for each entry of `services`; its nodes are not started.
    pub async fn new(services: &[&str]) -> Self {
        let network = FLEETS.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(ip(network, 1), STORE_PORT);
        let store = Store::start(address).await;
        let mut fleet = Self {
            store,
            instances: Vec::new(),
            network,
        };
        for service in services {
            fleet.add(service).await;
        }
        fleet
    }

    /// Returns a running fleet that serves the routes of [`config`].
    pub async fn serving(services: &[&str]) -> Self {
        let mut fleet = Self::new(services).await;
        fleet.store.put("op/config", &config(1, "s"));
        fleet.start_all();
        fleet.wait_all_serving().await;
        fleet
    }

    async fn add(&mut self, service: &str) {
        let number = self.instances.len() as u8 + 2;
        let ip = ip(self.network, number);
        let id = format!("i-{number}");
        let address = SocketAddr::new(ip, BACKEND_PORT);
        let backend = Backend::start(&id, service, address).await;
        self.instances.push(Instance {
            ip,
            backend,
            link_mbps: DEFAULT_LINK_MBPS,
            zone: "z".to_owned(),
            log: Log::default(),
            has_run: false,
            stop: None,
            node: None,
        });
        self.publish(self.instances.len() - 1, "ready");
    }

    /// Puts the entry of a backend server into the store.
    pub fn publish(&self, index: usize, state: &str) {
        let id = self.instances[index].backend.id.clone();
        self.put_entry(index, &id, state);
    }

    /// Puts an entry with another ID at the address of a backend server into the store.
    pub fn publish_as(&self, index: usize, id: &str) {
        self.put_entry(index, id, "ready");
    }

    /// Replaces a backend server by one with another ID and service at the same address.
    pub fn reassign_address(&self, index: usize, id: &str, service: &str) {
        self.unpublish(index);
        self.instances[index].backend.set_id(id);
        self.put_entry_for_service(index, id, service, "ready");
    }

    fn put_entry(&self, index: usize, id: &str, state: &str) {
        let service = &self.instances[index].backend.service;
        self.put_entry_for_service(index, id, service, state);
    }

    fn put_entry_for_service(&self, index: usize, id: &str, service: &str, state: &str) {
        let backend = &self.instances[index].backend;
        let entry = json!({
            "service": service,
            "address": backend.address.to_string(),
            "zone": self.instances[index].zone,
            "version": "1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Removes the entry of a backend server from the store.
    pub fn unpublish(&self, index: usize) {
        let id = &self.instances[index].backend.id;
        self.store.delete(&format!("servers/{id}"));
    }

    pub fn start_all(&mut self) {
        for index in 0..self.instances.len() {
            self.start(index, self.store_address(STORE_PORT));
        }
    }

    /// Sets the link bandwidth of a node that is not started yet, in megabits per second.
    pub fn set_link_mbps(&mut self, index: usize, link_mbps: u32) {
        self.instances[index].link_mbps = link_mbps;
    }

    /// Sets the availability zone of an instance whose node is not started yet.
    pub fn set_zone(&mut self, index: usize, zone: &str) {
        self.instances[index].zone = zone.to_owned();
    }

    /// Starts a node with a separate address of the store, and returns that address.
    pub async fn start_at_own_store(&mut self, index: usize) -> SocketAddr {
        let address = SocketAddr::new(ip(self.network, 100 + index as u8), STORE_PORT);
        self.store.listen(address).await;
        self.start(index, address);
        address
    }

    /// Starts a node whose store address has no listener.
    pub fn start_without_store(&mut self, index: usize) {
        self.start(index, self.store_address(UNUSED_PORT));
    }

    pub fn start_one(&mut self, index: usize) {
        self.start(index, self.store_address(STORE_PORT));
    }

    fn store_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.network, 1), port)
    }

    fn start(&mut self, index: usize, store: SocketAddr) {
        let instance = &mut self.instances[index];
        let settings = settings(instance, store);
        instance.has_run = true;
        let (stop, stopped) = oneshot::channel();
        instance.stop = Some(stop);
        let log = instance.log.clone();
        instance.node = Some(tokio::task::spawn_local(async move {
            let stopped = async {
                // A dropped sender means that the test ended, not that the node is to stop.
                if stopped.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            // All tasks of the node end with it, as they would with its process.
            let tasks = LocalSet::new();
            let lines = LogWriter::start(log).expect("a thread");
            let path = PathBuf::from("no file of settings");
            let node = tasks.run_until(run_until(
                settings,
                Options::default(),
                path,
                lines,
                stopped,
            ));
            node.await.expect("a node");
        }));
    }

    /// Waits until a node has logged an event, and returns all its log lines with the event.
    pub async fn events(&self, index: usize, event: &str) -> Vec<Value> {
        within_deadline(async {
            loop {
                let text = self.instances[index].log.text();
                let lines = text.lines().map(serde_json::from_str);
                let lines = lines.map(|line| line.expect("a line of JSON"));
                let found: Vec<Value> = lines.filter(|l: &Value| l["event"] == event).collect();
                if !found.is_empty() {
                    return found;
                }
                sleep_ms(20).await;
            }
        })
        .await
    }

    /// Tells a node to stop.
    pub fn stop(&mut self, index: usize) {
        let stop = self.instances[index].stop.take().expect("it runs");
        stop.send(()).expect("it listens");
    }

    /// Accepts links in place of a node without ever answering; returns the number of links.
    pub async fn listen_silently(&self, index: usize) -> Rc<Cell<usize>> {
        let address = SocketAddr::new(self.instances[index].ip, LINKS_PORT);
        let listener = TcpListener::bind(address).await.expect("a port");
        let links = Rc::new(Cell::new(0));
        let count = Rc::clone(&links);
        tokio::task::spawn_local(async move {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.push(stream);
                count.set(streams.len());
            }
        });
        links
    }

    /// Returns whether a node was started and has not ended.
    pub fn is_running(&self, index: usize) -> bool {
        let node = self.instances[index].node.as_ref();
        node.is_some_and(|node| !node.is_finished())
    }

    /// Aborts a node with its connections.
    pub async fn kill(&mut self, index: usize) {
        let node = self.instances[index].node.take().expect("it runs");
        node.abort();
        assert!(within_deadline(node).await.is_err());
    }

    /// Waits until a node that was told to stop has ended.
    pub async fn wait_ended(&mut self, index: usize) {
        let node = self.instances[index].node.take().expect("it ran");
        within_deadline(node).await.expect("it ends by itself");
    }

    /// Waits until all nodes are ready and reach all backend servers of `s`.
    pub async fn wait_all_serving(&self) {
        for index in 0..self.instances.len() {
            self.wait_ready(index).await;
            self.wait_for_backends(index).await;
        }
        // Drops the requests that the waiting has caused.
        for instance in &self.instances {
            instance.backend.clear_requests();
        }
    }

    pub async fn wait_ready(&self, index: usize) {
        within_deadline(async {
            while self.ready_status(index).await != 200 {
                sleep_ms(10).await;
            }
        })
        .await;
    }

    /// Waits until each backend server of the service `s` has served a request from a node.
    pub async fn wait_for_backends(&self, index: usize) {
        let servers = self.instances.iter().map(|i| &i.backend);
        let expected: Vec<&Backend> = servers.filter(|b| b.service == "s").collect();
        within_deadline(async {
            loop {
                let path = format!("/get/echo?settle-{index}");
                self.call(index, &get(&path)).await;
                if expected.iter().all(|b| b.request_count(&path) > 0) {
                    return;
                }
                sleep_ms(5).await;
            }
        })
        .await;
    }

    /// Waits until a node serves a target; panics if it does not within `within_ms` after `since`.
    pub async fn wait_for_target(
        &self,
        index: usize,
        target: &str,
        since: Instant,
        within_ms: u64,
    ) {
        while self.call(index, &get(target)).await.status != 200 {
            let waited = since.elapsed();
            let late = waited >= Duration::from_millis(within_ms);
            assert!(
                !late,
                "node {index} does not serve {target} after {waited:?}"
            );
            sleep_ms(10).await;
        }
    }

    /// Returns the status of a node's readiness endpoint, or 0 if it does not accept connections.
    pub async fn ready_status(&self, index: usize) -> u16 {
        let address = SocketAddr::new(self.instances[index].ip, READY_PORT);
        let Ok(stream) = tokio::net::TcpStream::connect(address).await else {
            return 0;
        };
        let mut poll = RawPeer::new(stream);
        poll.send("GET /v1/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .await;
        poll.reply().await.status
    }

    /// Returns a metric of a node without labels.
    pub async fn metric(&self, index: usize, name: &str) -> u64 {
        let address = SocketAddr::new(self.instances[index].ip, METRICS_PORT);
        let mut scrape = RawPeer::connect(address).await;
        scrape
            .send("GET /metrics HTTP/1.1\r\nHost: n\r\n\r\n")
            .await;
        let reply = scrape.reply().await;
        let mut lines = reply.text().lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.split(' ').next_back());
        value.expect("a metric").parse().expect("a number")
    }

    /// Connects to a node as a caller on its instance.
    pub async fn caller(&self, index: usize) -> RawPeer {
        let address = SocketAddr::new(self.instances[index].ip, CALLERS_PORT);
        RawPeer::connect(address).await
    }

    /// Sends a request on a new connection and returns the reply.
    pub async fn call(&self, index: usize, request: &str) -> Reply {
        let mut caller = self.caller(index).await;
        caller.send(request).await;
        caller.reply().await
    }

    /// Returns how many requests whose targets have this prefix reached any backend server.
    pub fn request_count_by_prefix(&self, prefix: &str) -> usize {
        let backends = self.instances.iter().map(|i| &i.backend);
        backends.map(|b| b.request_count_by_prefix(prefix)).sum()
    }

    /// Returns how many requests for a target reached any backend server.
    pub fn request_count(&self, target: &str) -> usize {
        let backends = self.instances.iter().map(|i| &i.backend);
        backends.map(|b| b.request_count(target)).sum()
    }
}

fn ip(network: u8, number: u8) -> IpAddr {
    // Each test binary is a separate process, and several may run at the same time.
    let process = std::process::id().to_be_bytes()[3].clamp(1, 254);
    IpAddr::V4(Ipv4Addr::new(127, process, network, number))
}

fn settings(instance: &Instance, store: SocketAddr) -> Settings {
    let Instance {
        ip,
        link_mbps,
        zone,
        ..
    } = instance;
    let first = !instance.has_run;
    let service = &instance.backend.service;
    let last = LINKS_PORT + 15;
    let text = format!(
        r#"
        node = "{ip}"
        zone = "{zone}"
        ip = "{ip}"
        internal_ports = [{LINKS_PORT}, {last}]
        app_addr = "{ip}:{BACKEND_PORT}"
        service = "{service}"
        bootstrap = {first}
        bounds = ["grace_s={}"]
        [listen]
        inbound = "{ip}:{NODES_PORT}"
        outbound = "{ip}:{CALLERS_PORT}"
        ready = "{ip}:{READY_PORT}"
        [limits]
        link_mbps = {link_mbps}
        [platform]
        address = "{store}"
        "#,
        GRACE_MS / 1_000
    );
    Settings::parse(&text).expect("settings")
}

/// Returns a configuration whose routes lead to `service`.
pub fn config(version: u64, service: &str) -> Value {
    let route = |name: &str, kind: &str, timeout_ms: u64| {
        json!({
            "name": name,
            "host": "h.example",
            "prefix": format!("/{name}/"),
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 200,
            "priority": 0,
            "service": service,
            "max_attempts": 2,
        })
    };
    let health =
        |name: &str| json!({"name": name, "health_path": "/health", "max_connections": 64});
    json!({
        "version": version,
        "routes": [
            route("get", "idempotent", TIMEOUT_MS),
            route("post", "non_idempotent", TIMEOUT_MS),
            route("short", "idempotent", SHORT_MS),
            route("files", "download", TIMEOUT_MS),
        ],
        "services": [health("s"), health("t"), health("front")],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

/// Returns a configuration in which the route `inner` leads to the service `t`.
pub fn config_with_calls(version: u64) -> Value {
    let mut config = config(version, "s");
    let mut inner = config["routes"][0].clone();
    inner["name"] = "inner".into();
    inner["prefix"] = "/inner/".into();
    inner["service"] = "t".into();
    config["routes"].as_array_mut().expect("a list").push(inner);
    config
}

/// Returns a GET request with a request ID and a deadline.
pub fn get(target: &str) -> String {
    request("GET", target, "", "")
}

pub fn request(method: &str, target: &str, headers: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: h.example\r\n\
         Oriolering-Request-Id: id-1\r\nOriolering-Request-Deadline: 3000\r\n\
         {headers}{length}\r\n{body}"
    )
}

/// Waits until a condition holds, and returns how long that took.
pub async fn until(condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    within_deadline(async {
        while !condition() {
            sleep_ms(1).await;
        }
    })
    .await;
    started.elapsed()
}
