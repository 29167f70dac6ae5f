//! Runs the stand-in for the platform's store.

use std::fs::File;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use oriolering_bench::{Store, StoreLimits};
use serde_json::{Map, Value};

fn command() -> Command {
    Command::new("store")
        .about("A stand-in for the platform's store")
        .arg(address("listen", "127.0.0.1:9100", "Where it serves reads"))
        .arg(address(
            "control",
            "127.0.0.1:9101",
            "Where it takes changes and faults",
        ))
        .arg(
            Arg::new("items")
                .long("items")
                .value_name("FILE")
                .help("A JSON object of keys and values to start with; values are kept as JSON")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("history-ms")
                .long("history-ms")
                .value_name("MS")
                .help("How long changes are kept for watches")
                .value_parser(value_parser!(u64)),
        )
}

fn address(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(SocketAddr))
}

fn bind(args: &ArgMatches, name: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = *args
        .get_one(name)
        .expect("clap gives the address a default");
    TcpListener::bind(address)
}

fn limits(args: &ArgMatches) -> StoreLimits {
    let mut limits = StoreLimits::default();
    if let Some(&ms) = args.get_one("history-ms") {
        limits.history = Duration::from_millis(ms);
    }
    limits
}

fn put_all(store: &Store, path: &Path) -> io::Result<()> {
    let items: Map<String, Value> = serde_json::from_reader(BufReader::new(File::open(path)?))?;
    for (key, value) in &items {
        store.put(key, value.to_string());
    }
    Ok(())
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let args = command().get_matches();
    let store = Store::new(limits(&args));
    if let Some(path) = args.get_one::<PathBuf>("items") {
        put_all(&store, path)?;
    }
    let (listener, control) = (bind(&args, "listen")?, bind(&args, "control")?);
    println!("listening on {}", listener.local_addr()?);
    println!("control on {}", control.local_addr()?);
    let (reads, changes) =
        futures_util::join!(store.clone().serve(listener), store.serve_control(control));
    reads.and(changes)
}
