//! Measures the processor time of nodes on a platform for each request, for programs in turn.
//!
//! A request enters at one node and runs beside another one, at an even rate. Given two programs,
//! for instance before and after a change, it starts both in turn, so that what else the machine
//! does weighs on both.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use compact_str::format_compact;
use oriolering_bench::soak::AppSettings;
use oriolering_bench::soak::client::{Attempt, Connection};
use oriolering_bench::{MeshInstance, Process, Signal, Store, StoreLimits, program};
use serde_json::json;
use tokio::time::{Instant, sleep_until};

const HOST: &str = "jepu9.example";
/// The service of each instance; requests enter at the last one and run at the first one.
const SERVICES: [&str; 2] = ["rack", "caja"];
const CONNECTIONS: u64 = 8;
const SLOTS: u32 = 16;
const END: Duration = Duration::from_secs(30);
const DEADLINE_MS: u64 = 4_000;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("log_cost")
        .about("Measures the processor time of nodes on a platform for each request")
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("FILE")
                .action(ArgAction::Append)
                .help("The program of a node; several take turns")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(number("rate", "200").help("Requests a second"))
        .arg(number("seconds", "10"))
        .arg(number("turns", "3"))
}

/// An instance with a node and a backend server.
struct Instance {
    place: MeshInstance,
    node: Process,
    _app: Process,
}

impl Instance {
    fn start(dir: &Path, node: &Path, number: usize, store: SocketAddr) -> io::Result<Self> {
        let place = MeshInstance::new(number, SERVICES[number]);
        let file = |name: &str| dir.join(format!("{name}-{number}"));
        let settings = AppSettings {
            listen: place.server(),
            control: SocketAddr::new(place.ip, 8_700),
            record: file("record"),
            id: format_compact!("i-{number}"),
            service: SERVICES[number].into(),
            health_path: "/health".into(),
            slots: SLOTS,
            queue: 16,
            connections: 240,
            idle_ms: 15_000,
            tells_load: true,
            cold_ms: 0,
            seed: 1,
        };
        let args = [serde_json::to_string(&settings)?];
        let app = Process::start(&program("app"), &args, &file("app-log"))?;
        Ok(Self {
            place,
            node: place.start_node(dir, node, store)?,
            _app: app,
        })
    }
}

fn publish(store: &Store, instances: &[Instance]) {
    let service = |name| json!({"name": name, "health_path": "/health", "max_connections": 240});
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "check", "host": HOST, "prefix": "/check/", "kind": "idempotent",
            "timeout_ms": DEADLINE_MS, "target_latency_ms": 2_000, "priority": 1,
            "max_attempts": 2, "service": SERVICES[0],
        }],
        "services": SERVICES.map(service),
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    });
    store.put("op/config", config.to_string());
    for instance in instances {
        let (key, entry) = instance.place.entry(SLOTS);
        store.put(&key, entry.to_string());
    }
}

/// Sends requests one after another at even times; returns how many were answered with success.
async fn send(target: SocketAddr, session: u64, rate: u64, seconds: u64) -> io::Result<u64> {
    let mut connection = Some(Connection::open(target).await?);
    let begun = Instant::now();
    let mut good = 0;
    for index in 0..rate * seconds / CONNECTIONS {
        let number = index * CONNECTIONS + session;
        sleep_until(begun + Duration::from_micros(number * 1_000_000 / rate)).await;
        let open = match connection.take() {
            Some(open) => open,
            None => Connection::open(target).await?,
        };
        let mut attempts = [Attempt {
            id: format_compact!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            method: "GET",
            path: "/check/stock?work=5&bytes=300".into(),
            idempotent: true,
            deadline_ms: DEADLINE_MS,
            ..Attempt::default()
        }];
        connection = open.exchange(&mut attempts).await;
        good += u64::from(attempts[0].told.is_success());
    }
    Ok(good)
}

/// What one run came to.
struct Figures {
    sent: u64,
    good: u64,
    gate_us: u64,
    ingress_us: u64,
}

impl Figures {
    fn each_us(&self) -> f64 {
        (self.gate_us + self.ingress_us) as f64 / self.sent.max(1) as f64
    }
}

async fn run(node: &Path, rate: u64, seconds: u64) -> io::Result<Figures> {
    let dir = tempfile::tempdir()?;
    let store = Store::new(StoreLimits::default());
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    ntex::rt::spawn(store.clone().serve(listener));
    let start = |number| Instance::start(dir.path(), node, number, address);
    let mut instances: Vec<Instance> = (0..SERVICES.len()).map(start).collect::<io::Result<_>>()?;
    publish(&store, &instances);
    for instance in &instances {
        instance.place.wait_ready().await?;
    }
    let target = instances[1].place.callers();
    // Connections, pools and memory are in place before it counts.
    send_all(target, rate, 1).await?;
    let used = |i: &Instance| i.node.processor_us().unwrap_or_default();
    let before: Vec<u64> = instances.iter().map(used).collect();
    let good = send_all(target, rate, seconds).await?;
    let after: Vec<u64> = instances.iter().map(used).collect();
    for instance in &mut instances {
        instance.node.signal(Signal::Terminate);
    }
    for instance in &mut instances {
        instance.node.wait(END).await;
    }
    Ok(Figures {
        sent: rate * seconds / CONNECTIONS * CONNECTIONS,
        good,
        gate_us: after[0] - before[0],
        ingress_us: after[1] - before[1],
    })
}

async fn send_all(target: SocketAddr, rate: u64, seconds: u64) -> io::Result<u64> {
    let session = |number| send(target, number, rate, seconds);
    let all = futures_util::future::try_join_all((0..CONNECTIONS).map(session));
    Ok(all.await?.iter().sum())
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let args = command().get_matches();
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let given: Vec<PathBuf> = args
        .get_many("node")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let nodes = match given.is_empty() {
        true => vec![program("oriolering-node")],
        false => given,
    };
    println!("| program | sent | good | gate us | ingress us | us a request |");
    println!("|---|---:|---:|---:|---:|---:|");
    let mut sums = vec![Vec::new(); nodes.len()];
    for turn in 0..number("turns") as usize {
        for step in 0..nodes.len() {
            // The one that begins changes with each turn.
            let index = (step + turn) % nodes.len();
            let figures = run(&nodes[index], number("rate"), number("seconds")).await?;
            println!(
                "| {} | {} | {} | {} | {} | {:.1} |",
                index + 1,
                figures.sent,
                figures.good,
                figures.gate_us,
                figures.ingress_us,
                figures.each_us()
            );
            sums[index].push(figures.each_us());
        }
    }
    for (index, each) in sums.iter_mut().enumerate() {
        each.sort_by(f64::total_cmp);
        let mean = each.iter().sum::<f64>() / each.len().max(1) as f64;
        let median = each.get(each.len() / 2).copied().unwrap_or_default();
        println!(
            "program {}: mean {mean:.1}, median {median:.1} us a request",
            index + 1
        );
    }
    Ok(())
}
