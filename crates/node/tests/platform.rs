//! A node on a platform as a process: its lines, its metrics, its settings file, its end.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::Value;

/// How long a line or an answer may take on a busy machine.
const LIMIT: Duration = Duration::from_secs(20);
/// Where the node serves its metrics, as the deploy file names it.
const METRICS_PORT: u16 = 9_464;

/// An address of the loopback network that no other test uses.
fn free_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    IpAddr::from([127, (process >> 8) as u8 | 64, process as u8, number])
}

/// A node with a settings file of its own; killed when it is dropped.
struct Node {
    child: Child,
    ip: IpAddr,
    settings: PathBuf,
    _dir: tempfile::TempDir,
}

impl Node {
    fn start(ip: IpAddr, settings: &str) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("local.toml");
        fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oriolering-node"))
            .arg("platform")
            .env("ORIOLERING_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Self {
            child,
            ip,
            settings: path,
            _dir: dir,
        }
    }

    fn stdout(&mut self) -> ChildStdout {
        self.child.stdout.take().unwrap()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }

    fn wait(&mut self) -> i32 {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code().unwrap_or(-1);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the node does not end");
    }

    fn connect(&self, port: u16) -> TcpStream {
        let address = SocketAddr::new(self.ip, port);
        let end = Instant::now() + LIMIT;
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(LIMIT)).unwrap();
                    return stream;
                }
                Err(e) => assert!(Instant::now() < end, "{address}: {e}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a request that closes its connection, and returns all that is answered.
    fn get(&self, port: u16, path: &str, headers: &str) -> String {
        let mut stream = self.connect(port);
        let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const CALLERS: u16 = 8_629;

/// Settings of a node whose store nobody serves.
fn settings(ip: IpAddr, grace_s: &str) -> String {
    format!(
        "node = \"rack-1\"\nzone = \"huaraz\"\nip = \"{ip}\"\ninternal_ports = [7600, 7615]\n\
         app_addr = \"{ip}:8628\"\nservice = \"rack\"\nbounds = [\"grace_s={grace_s}\"]\n\
         [listen]\noutbound = \"{ip}:{CALLERS}\"\ninbound = \"{ip}:8624\"\nready = \"{ip}:8625\"\n\
         [platform]\naddress = \"{ip}:8627\"\n"
    )
}

/// Lines as they arrive, each as a JSON object.
struct Lines(Receiver<Value>);

impl Lines {
    fn new(out: ChildStdout) -> Self {
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines() {
                let text = line.unwrap();
                let value = serde_json::from_str(&text).expect("each line is a JSON object");
                if sender.send(value).is_err() {
                    return;
                }
            }
        });
        Self(receiver)
    }

    /// Returns the next line with this event.
    fn next(&self, event: &str) -> Value {
        let end = Instant::now() + LIMIT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.0.recv_timeout(left) {
                Ok(line) if line["event"] == event => return line,
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    panic!("no line with the event {event}")
                }
            }
        }
    }
}

#[test]
fn start_loss_of_the_store_and_end_are_told() {
    let ip = free_ip();
    let mut node = Node::start(ip, &settings(ip, "1"));
    let lines = Lines::new(node.stdout());
    let started = lines.next("started");
    assert_eq!(started["node"], "rack-1");
    assert_eq!(started["service"], "rack");
    assert_eq!(started["level"], "INFO");
    assert!(started["time"].as_str().unwrap().ends_with('Z'));
    let lost = lines.next("store_lost");
    assert_eq!(lost["level"], "WARN");
    node.signal("-TERM");
    assert_eq!(lines.next("stopping")["grace_ms"], 1_000);
    assert_eq!(lines.next("stopped")["active"], 0);
    assert_eq!(node.wait(), 0);
}

#[test]
fn a_request_before_any_routes_is_told_with_its_identity() {
    let ip = free_ip();
    let mut node = Node::start(ip, &settings(ip, "1"));
    let lines = Lines::new(node.stdout());
    let answer = node.get(CALLERS, "/a", "oriolering-request-id: 9c41d07be2a35f68\r\n");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert_eq!(lines.next("unready")["request"], "9c41d07be2a35f68");
    let answered = lines.next("answered");
    assert_eq!(answered["request"], "9c41d07be2a35f68");
    assert_eq!(answered["status"], 503);
    assert_eq!(answered["own"], true);
    assert_eq!(answered["retry_after"], "0.250");
}

#[test]
fn a_body_that_is_cut_is_told() {
    let ip = free_ip();
    let mut node = Node::start(ip, &settings(ip, "1"));
    let lines = Lines::new(node.stdout());
    let mut stream = node.connect(CALLERS);
    let head = "POST /up HTTP/1.1\r\nhost: x\r\noriolering-request-id: 0badcafe\r\n\
                content-length: 100\r\n\r\n0123456789";
    stream.write_all(head.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    drop(stream);
    let cut = lines.next("body_cut");
    assert_eq!(cut["request"], "0badcafe");
    assert_eq!(cut["bytes"], 10);
    assert_eq!(cut["stopping"], false);
}

#[test]
fn settings_are_read_again_on_a_signal_and_when_the_file_changes() {
    let ip = free_ip();
    let mut node = Node::start(ip, &settings(ip, "1"));
    let lines = Lines::new(node.stdout());
    lines.next("store_lost");
    fs::write(&node.settings, settings(ip, "2.5")).unwrap();
    let reloaded = lines.next("settings_reloaded");
    assert_eq!(reloaded["cause"], "file");
    assert_eq!(reloaded["changed"], "bounds.grace_s");
    assert_eq!(reloaded["needs_restart"], "");
    node.signal("-HUP");
    let reloaded = lines.next("settings_reloaded");
    assert_eq!(reloaded["cause"], "signal");
    assert_eq!(reloaded["changed"], "");
    let other = settings(ip, "2.5").replace("huaraz", "yungay");
    fs::write(&node.settings, other).unwrap();
    assert_eq!(lines.next("settings_reloaded")["needs_restart"], "zone");
    fs::write(&node.settings, "node = ").unwrap();
    let rejected = lines.next("settings_rejected");
    assert!(rejected["error"].as_str().unwrap().contains("not TOML"));
    node.signal("-TERM");
    assert_eq!(lines.next("stopping")["grace_ms"], 2_500);
    assert_eq!(node.wait(), 0);
}

#[test]
fn a_pipe_that_nobody_reads_holds_up_no_request() {
    let ip = free_ip();
    let mut node = Node::start(ip, &settings(ip, "1"));
    let unread = node.stdout();
    let mut stream = node.connect(CALLERS);
    let begun = Instant::now();
    let mut head = [0; 4_096];
    // A pipe takes 64 KiB; each request adds two lines of about 150 bytes up to the budget.
    while begun.elapsed() < Duration::from_secs(3) {
        let path = "p".repeat(100);
        let request =
            format!("GET /{path} HTTP/1.1\r\nhost: x\r\noriolering-request-id: 1\r\n\r\n");
        let sent = Instant::now();
        stream.write_all(request.as_bytes()).unwrap();
        assert!(stream.read(&mut head).unwrap() > 0);
        assert!(sent.elapsed() < LIMIT / 10, "{:?}", sent.elapsed());
    }
    let scrape = node.get(METRICS_PORT, "/metrics", "");
    let dropped = scrape
        .lines()
        .find_map(|line| line.strip_prefix("lines_dropped_total{"))
        .and_then(|rest| rest.rsplit(' ').next())
        .and_then(|number| number.parse::<u64>().ok());
    assert!(dropped.is_some_and(|n| n > 0), "{scrape}");
    node.signal("-TERM");
    assert_eq!(node.wait(), 0, "the end does not wait for the pipe either");
    drop(unread);
}

#[test]
fn metrics_are_served_as_text() {
    let ip = free_ip();
    let node = Node::start(ip, &settings(ip, "1"));
    node.get(CALLERS, "/a", "");
    let scrape = node.get(METRICS_PORT, "/metrics", "");
    assert!(scrape.starts_with("HTTP/1.1 200 "), "{scrape}");
    let has = |name: &str, value: &str| {
        let mut lines = scrape.lines().filter(|line| line.starts_with(name));
        lines.any(|line| line.ends_with(value))
    };
    assert!(has("requests_total{", "} 1"), "{scrape}");
    assert!(has("outcomes_total{outcome=\"unready\"", "} 1"), "{scrape}");
    assert!(has("answers_total{class=\"5xx\"", "} 1"), "{scrape}");
    assert!(has("request_ms_bucket{le=\"+Inf\"", "} 1"), "{scrape}");
    assert!(has("request_ms_count{", "} 1"), "{scrape}");
    assert!(
        has("changes_total{change=\"store_lost\"", "} 1"),
        "{scrape}"
    );
    let other = node.get(METRICS_PORT, "/other", "");
    assert!(other.starts_with("HTTP/1.1 404 "), "{other}");
}

#[rstest]
#[case::missing("node = \"rack-1\"\n", "zone")]
#[case::syntax("node = ", "not TOML")]
fn wrong_settings_end_with_code_2(#[case] text: &str, #[case] said: &str) {
    let mut node = Node::start(free_ip(), text);
    assert_eq!(node.wait(), 2);
    let mut errors = String::new();
    let mut stderr = node.child.stderr.take().unwrap();
    stderr.read_to_string(&mut errors).unwrap();
    assert!(errors.contains(said), "{errors}");
}

#[test]
fn an_address_in_use_ends_with_code_2() {
    let ip = free_ip();
    let _taken = TcpListener::bind(SocketAddr::new(ip, CALLERS)).unwrap();
    let mut node = Node::start(ip, &settings(ip, "1"));
    assert_eq!(node.wait(), 2);
    let mut errors = String::new();
    let mut stderr = node.child.stderr.take().unwrap();
    stderr.read_to_string(&mut errors).unwrap();
    assert!(errors.contains("cannot be listened on"), "{errors}");
}

#[test]
fn help_tells_signals_output_and_exit_codes() {
    let output = Command::new(env!("CARGO_BIN_EXE_oriolering-node"))
        .args(["platform", "--help"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    for word in [
        "ORIOLERING_NODE_FILE",
        "SIGHUP",
        "SIGTERM",
        "9464",
        "Exit codes",
    ] {
        assert!(text.contains(word), "{word}: {text}");
    }
}
