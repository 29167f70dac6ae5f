//! Measures the processor time that nodes on a platform use for one long response, by its size and
//! framing.
//!
//! A request enters at one node and runs beside another one. The times are those of both nodes.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use oriolering_bench::{MeshInstance, Process, Store, StoreLimits, program};
use serde_json::json;

const SERVICES: [&str; 2] = ["rack", "caja"];
const SLOTS: u32 = 8;
const KB: usize = 1_024;
/// The sizes of bodies, in kilobytes.
const SIZES_KB: [usize; 6] = [512, 1_024, 2_048, 4_096, 8_192, 12_288];
/// The sizes of chunks in bytes; none is a body with a length.
const CHUNKS: [Option<usize>; 4] = [None, Some(64 * KB), Some(KB), Some(16)];
/// How often each response is measured; the system counts processor time in ticks of 10 ms.
const ROUNDS: usize = 10;
const DEADLINE_MS: u64 = 20_000;
/// How long an answer is waited for.
const WAIT: Duration = Duration::from_secs(21);

fn command() -> Command {
    Command::new("response_cost")
        .about("Measures the processor time of two nodes for one long response")
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("FILE")
                .help("The program of the nodes")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Answers `/check/CHUNK/BYTES` with a body in chunks of that size, or with a length if it is 0.
fn serve(server: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(server)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // An error ends the connection alone.
            thread::spawn(move || serve_connection(stream));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut lines = BufReader::new(stream).lines();
    while let Some(first) = lines.next().transpose()? {
        let mut id = String::new();
        for line in lines.by_ref() {
            let line = line?;
            if line.is_empty() {
                break;
            }
            if line
                .to_ascii_lowercase()
                .starts_with("oriolering-request-id:")
            {
                id = format!("{line}\r\n");
            }
        }
        let target = first.split(' ').nth(1).unwrap_or_default();
        let numbers: Vec<usize> = target.split('/').filter_map(|n| n.parse().ok()).collect();
        let (framing, body) = match numbers[..] {
            [chunk, bytes] if chunk > 0 => {
                ("Transfer-Encoding: chunked".into(), encode(chunk, bytes))
            }
            [_, bytes] => (format!("Content-Length: {bytes}"), vec![b'x'; bytes]),
            _ => ("Content-Length: 0".to_owned(), Vec::new()),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id}Oriolering-Response-Signature: 3e1b\r\n\
             Oriolering-Server-Load: 0,0,{SLOTS},100\r\n{framing}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        writer.write_all(&body)?;
    }
    Ok(())
}

fn encode(chunk: usize, bytes: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for part in vec![b'x'; bytes].chunks(chunk) {
        encoded.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        encoded.extend_from_slice(part);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}

/// Sends a request, and returns the length of the body of a successful answer.
fn call(node: SocketAddr, chunk: usize, bytes: usize) -> io::Result<u64> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(WAIT))?;
    let request = format!(
        "GET /check/{chunk}/{bytes} HTTP/1.1\r\nHost: h.example\r\n\
         Oriolering-Request-Id: {chunk:08x}{bytes:08x}\r\n\
         Oriolering-Request-Deadline: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if !line.contains(" 200 ") {
        return Err(io::Error::other(line.trim().to_owned()));
    }
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line)?;
    }
    io::copy(&mut reader, &mut io::sink())
}

fn publish(store: &Store, instances: &[MeshInstance]) {
    let service = |name| json!({"name": name, "health_path": "/health", "max_connections": 240});
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "check", "host": "h.example", "prefix": "/check/", "kind": "idempotent",
            "timeout_ms": DEADLINE_MS, "target_latency_ms": DEADLINE_MS, "priority": 1,
            "max_attempts": 1, "service": SERVICES[0],
        }],
        "services": SERVICES.map(service),
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    });
    store.put("op/config", config.to_string());
    for instance in instances {
        let (key, entry) = instance.entry(SLOTS);
        store.put(&key, entry.to_string());
    }
}

/// Two nodes, of which the first one has a backend server.
struct Pair {
    instances: [MeshInstance; 2],
    nodes: Vec<Process>,
    _dir: tempfile::TempDir,
}

impl Pair {
    /// Starts the nodes; each pair of a process has a number of its own.
    async fn start(program: &Path, number: usize) -> io::Result<Self> {
        let dir = tempfile::tempdir()?;
        let store = Store::new(StoreLimits::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        ntex::rt::spawn(store.clone().serve(listener));
        let instance = |index| MeshInstance::new(2 * number + index, SERVICES[index]);
        let instances = [0, 1].map(instance);
        for instance in &instances {
            serve(instance.server())?;
        }
        publish(&store, &instances);
        let start = |instance: &MeshInstance| instance.start_node(dir.path(), program, address);
        let nodes = instances.iter().map(start).collect::<io::Result<_>>()?;
        for instance in &instances {
            instance.wait_ready().await?;
        }
        Ok(Self {
            instances,
            nodes,
            _dir: dir,
        })
    }

    fn processor_us(&self) -> u64 {
        let used = self.nodes.iter().filter_map(Process::processor_us);
        used.sum()
    }

    /// Returns what one response costs on average, or how the first one failed, in text.
    async fn measure(&self, chunk: usize, bytes: usize) -> String {
        let (before, target) = (self.processor_us(), self.instances[1].callers());
        for _ in 0..ROUNDS {
            let result = tokio::task::spawn_blocking(move || call(target, chunk, bytes)).await;
            let failure = match result.map_err(io::Error::other).flatten() {
                Ok(received) if received == bytes as u64 => continue,
                Ok(received) => format!("{received} bytes"),
                Err(e) => e.to_string(),
            };
            let seconds = (self.processor_us() - before) as f64 / 1e6;
            return format!("{failure} after {seconds:.2} s");
        }
        let used_us = self.processor_us() - before;
        format!("{:.3} s", used_us as f64 / 1e6 / ROUNDS as f64)
    }
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let args = command().get_matches();
    let given = args.get_one::<PathBuf>("node").cloned();
    let program = given.unwrap_or_else(|| program("oriolering-node"));
    println!("| body | Content-Length | chunks of 64 KB | of 1,024 bytes | of 16 bytes |");
    println!("|---|---|---|---|---|");
    for (row, size) in SIZES_KB.into_iter().enumerate() {
        let mut cells = Vec::new();
        for (column, chunk) in CHUNKS.into_iter().enumerate() {
            // Each has nodes of its own, so that none begins beside the work of another one.
            let pair = Pair::start(&program, CHUNKS.len() * row + column).await?;
            cells.push(pair.measure(chunk.unwrap_or(0), size * KB).await);
        }
        let size = size as f64 / KB as f64;
        println!("| {size} MB | {} |", cells.join(" | "));
    }
    Ok(())
}
