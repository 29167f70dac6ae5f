//! A node process on the platform, on a loopback address of its own.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::http::http_get;
use crate::process::Process;

const SERVER_PORT: u16 = 8_628;
const CALLERS_PORT: u16 = 8_629;
const READY_PORT: u16 = 8_625;
const POLL: Duration = Duration::from_millis(50);
/// How long a node may take to get ready; one that is watched by a tool is slow.
const START: Duration = Duration::from_secs(60);

/// The instance that a node runs on.
#[derive(Clone, Copy, Debug)]
pub struct MeshInstance {
    /// Its address.
    pub ip: IpAddr,
    number: usize,
    service: &'static str,
}

impl MeshInstance {
    /// Returns an instance of a service with an address that belongs to this process alone.
    pub fn new(number: usize, service: &'static str) -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 20 + high % 200, low, number as u8 + 1);
        Self {
            ip: ip.into(),
            number,
            service,
        }
    }

    /// Returns the address of the local backend server.
    pub fn server(&self) -> SocketAddr {
        SocketAddr::new(self.ip, SERVER_PORT)
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns the key and the entry of the backend server in the store.
    pub fn entry(&self, slots: u32) -> (String, Value) {
        let entry = json!({
            "service": self.service,
            "address": self.server().to_string(),
            "zone": "z", "version": "v1", "slots": slots, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        (format!("servers/i-{}", self.number), entry)
    }

    /// Starts the node, with files in `dir`.
    ///
    /// # Errors
    ///
    /// Returns the error of a file or of the start.
    pub fn start_node(&self, dir: &Path, node: &Path, store: SocketAddr) -> io::Result<Process> {
        let path = dir.join(format!("settings-{}", self.number));
        fs::write(&path, self.settings(store))?;
        let variables = [("ORIOLERING_NODE_FILE", path.as_path())];
        let log = dir.join(format!("node-log-{}", self.number));
        Process::start_with(node, &["platform".to_owned()], &variables, &log)
    }

    /// Waits until the node is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not in time.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START;
        let address = SocketAddr::new(self.ip, READY_PORT);
        while Instant::now() < until {
            if matches!(http_get(address, "/v1/ready").await, Some((200, _))) {
                return Ok(());
            }
            sleep(POLL).await;
        }
        Err(io::Error::other(format!(
            "node {} is not ready",
            self.number
        )))
    }

    fn settings(&self, store: SocketAddr) -> String {
        let Self {
            ip,
            number,
            service,
        } = self;
        format!(
            r#"node = "sidecar-{number}"
ip = "{ip}"
zone = "z"
internal_ports = [7600,7615]
app_addr = "{ip}:{SERVER_PORT}"
service = "{service}"
bounds = ["grace_s=2"]
[listen]
inbound = "{ip}:8624"
outbound = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
[platform]
address = "{store}"
"#
        )
    }
}
