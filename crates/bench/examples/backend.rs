//! A stand-in backend server as a process.

use std::fs::OpenOptions;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use oriolering_bench::{BackendSettings, serve_backend};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("backend")
        .about("Serves a stand-in backend server")
        .arg(
            Arg::new("listen")
                .long("listen")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(number("slots", "12"))
        .arg(number("connections", "240"))
        .arg(number("service-us", "10000"))
        .arg(number("seed", "1"))
        .arg(
            Arg::new("exponential")
                .long("exponential")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("runs")
                .long("runs")
                .help("The file to which the nonce of each run is appended")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn settings(args: &ArgMatches) -> io::Result<BackendSettings> {
    let record = match args.get_one::<PathBuf>("runs") {
        Some(path) => Some(OpenOptions::new().create(true).append(true).open(path)?),
        None => None,
    };
    Ok(BackendSettings {
        slots: number(args, "slots") as u32,
        service_us: number(args, "service-us"),
        exponential: args.get_flag("exponential"),
        seed: number(args, "seed"),
        record,
    })
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let args = command().get_matches();
    let listen: SocketAddr = *args
        .get_one("listen")
        .expect("clap requires the listen address");
    let listener = TcpListener::bind(listen)?;
    let connections = number(&args, "connections") as usize;
    serve_backend(listener, connections, settings(&args)?).await
}
