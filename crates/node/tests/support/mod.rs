//! Node processes on loopback addresses, and a store for them.

// Each test file uses only some of the items.
#![allow(dead_code, unreachable_pub)]

#[path = "../../../mesh/tests/support/store.rs"]
mod store;

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::task::LocalSet;

use store::Store;

/// How long a start or an ordinary answer may take on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(30);
pub const BACKEND_PORT: u16 = 8_628;
const CALLERS_PORT: u16 = 8_629;
const STORE_PORT: u16 = 8_627;
const SETTINGS_FILE: &str = "local.toml";
/// The largest number of descriptors of a node besides those of its callers.
const OWN_DESCRIPTORS: usize = 64;

/// A node process; killed when it is dropped.
pub struct Node {
    child: Child,
    ip: IpAddr,
    dir: tempfile::TempDir,
}

impl Node {
    /// Starts a node beside a backend server of a service.
    pub fn start(ip: IpAddr, service: &str, store: SocketAddr, memory_mb: u64) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join(SETTINGS_FILE);
        let settings = format!(
            "node = \"{ip}\"\nzone = \"z\"\nip = \"{ip}\"\ninternal_ports = [7600, 7615]\n\
             app_addr = \"{ip}:{BACKEND_PORT}\"\nservice = \"{service}\"\nbootstrap = true\n\
             bounds = [\"grace_s=1\"]\n[listen]\noutbound = \"{ip}:{CALLERS_PORT}\"\n\
             inbound = \"{ip}:8624\"\nready = \"{ip}:8625\"\n\
             [limits]\nmemory_mb = {memory_mb}\n[platform]\naddress = \"{store}\"\n"
        );
        fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oriolering-node"))
            .arg("platform")
            .env("ORIOLERING_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, ip, dir }
    }

    /// Names another service in the settings file.
    pub fn change_service(&self, before: &str, after: &str) {
        let path = self.dir.path().join(SETTINGS_FILE);
        let settings = fs::read_to_string(&path).unwrap();
        let line = |service: &str| format!("service = \"{service}\"");
        let changed = settings.replace(&line(before), &line(after));
        assert_ne!(changed, settings);
        fs::write(&path, changed).unwrap();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Connects as a caller.
    pub fn connect(&self) -> std::io::Result<TcpStream> {
        TcpStream::connect(SocketAddr::new(self.ip, CALLERS_PORT))
    }

    /// Waits until an ordinary request is answered.
    pub fn wait_serving(&self) {
        self.wait_serving_path("/s/a");
    }

    /// Waits until a request for a path is answered.
    pub fn wait_serving_path(&self, path: &str) {
        let end = Instant::now() + LIMIT;
        while self.get(path) != Some(200) {
            assert!(Instant::now() < end, "no ordinary request is answered");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the status of the answer to a request.
    pub fn get(&self, path: &str) -> Option<u16> {
        let mut stream = self.connect().ok()?;
        stream.set_read_timeout(Some(LIMIT)).ok()?;
        stream.write_all(&head_of(path, "GET", "", 0)).ok()?;
        status(&mut stream)
    }

    /// Returns the largest resident memory that the process ever had, in bytes.
    fn peak_memory(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("the process lives") * 1_024
    }

    fn descriptors(&self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        entries.count()
    }

    /// Checks that the process lives within its memory, with few descriptors.
    pub fn check(&mut self, memory_mb: u64, callers: usize) {
        let ended = self.child.try_wait().unwrap();
        assert!(ended.is_none(), "the process ended: {ended:?}");
        let (peak, open) = (self.peak_memory(), self.descriptors());
        println!("{}: {peak} bytes at most, {open} descriptors", self.ip);
        assert!(peak <= memory_mb * 1_000_000, "{peak} of {memory_mb} MB");
        assert!(open <= callers + OWN_DESCRIPTORS, "{open} descriptors");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the head of a request, with a length unless that is zero.
pub fn head(method: &str, headers: &str, length: usize) -> Vec<u8> {
    head_of("/s/a", method, headers, length)
}

/// Returns the head of a request for a path.
pub fn head_of(path: &str, method: &str, headers: &str, length: usize) -> Vec<u8> {
    let length = match length {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\noriolering-request-id: 9c41d07b\r\n\
         oriolering-request-deadline: 20000\r\n{headers}{length}\r\n"
    )
    .into_bytes()
}

/// Reads a response head, and returns its status.
pub fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Returns an address of the loopback network that no other test uses.
pub fn free_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::from([127, (process >> 8) as u8 | 128, process as u8, number])
}

/// Returns the key and the entry of a backend server.
pub fn entry(ip: IpAddr, service: &str) -> (String, Value) {
    let entry = json!({"service": service, "address": format!("{ip}:{BACKEND_PORT}"),
        "zone": "z", "version": "1", "slots": 8, "state": "ready",
        "cold_remaining_ms": 0, "sequence": 1});
    (format!("servers/i-{ip}"), entry)
}

/// Starts a store with a configuration and entries of backend servers.
pub fn start_store_with(config: Value, entries: Vec<(String, Value)>) -> SocketAddr {
    let address = SocketAddr::new(free_ip(), STORE_PORT);
    let (ready, started) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let served = async {
            let store = Store::start(address).await;
            store.put("op/config", &config);
            for (key, entry) in entries {
                store.put(&key, &entry);
            }
            ready.send(()).unwrap();
            std::future::pending::<()>().await;
        };
        LocalSet::new().block_on(&runtime, served);
    });
    started.recv().unwrap();
    address
}

/// The head of a request without a body, as a backend server received it.
pub struct ReceivedHead {
    pub target: String,
    /// The names in lower case, and the values.
    fields: Vec<(String, String)>,
}

impl ReceivedHead {
    /// Reads the next head, or returns none at the end of the connection.
    fn read(lines: &mut io::Lines<impl BufRead>) -> io::Result<Option<Self>> {
        let Some(first) = lines.next().transpose()? else {
            return Ok(None);
        };
        let mut fields = Vec::new();
        for line in lines {
            let line = line?;
            let Some((name, value)) = line.split_once(": ") else {
                break;
            };
            fields.push((name.to_ascii_lowercase(), value.to_owned()));
        }
        let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
        Ok(Some(Self { target, fields }))
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the field that repeats the id of the request, if it has one.
    pub fn id_field(&self) -> String {
        let name = "oriolering-request-id";
        let id = self.field(name);
        id.map_or_else(String::new, |id| format!("{name}: {id}\r\n"))
    }

    /// Returns a short answer to the request.
    pub fn ordinary_answer(&self) -> String {
        let id = self.id_field();
        format!(
            "HTTP/1.1 200 OK\r\n{id}oriolering-response-signature: 3e1b.07.5a2\r\n\
             oriolering-server-load: 0,0,8,100\r\ncontent-length: 2\r\n\r\nok"
        )
    }
}

/// Starts a backend server whose requests without bodies `answer` answers, each connection on a
/// thread of its own.
pub fn start_backend_with(
    ip: IpAddr,
    answer: impl Fn(&ReceivedHead, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
) {
    let listener = TcpListener::bind(SocketAddr::new(ip, BACKEND_PORT)).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            // An error ends the connection alone.
            std::thread::spawn(move || serve_connection(stream, answer));
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    answer: impl Fn(&ReceivedHead, &mut TcpStream) -> io::Result<()>,
) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    while let Some(head) = ReceivedHead::read(&mut lines)? {
        answer(&head, &mut stream)?;
    }
    Ok(())
}
