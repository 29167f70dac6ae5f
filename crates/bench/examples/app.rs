//! A stand-in of an application backend server as a process.

use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use oriolering_bench::soak::AppSettings;
use oriolering_bench::soak::app::serve_app;
use tokio::net::TcpListener;

fn command() -> Command {
    let needed = |name: &'static str| Arg::new(name).long(name).required(true);
    Command::new("app")
        .about("Serves a stand-in of an application backend server")
        .arg(needed("listen").value_parser(value_parser!(SocketAddr)))
        .arg(needed("control").value_parser(value_parser!(SocketAddr)))
        .arg(needed("settings").help("The settings as JSON"))
        .arg(needed("record").value_parser(value_parser!(PathBuf)))
}

fn address(args: &ArgMatches, name: &str) -> SocketAddr {
    *args.get_one(name).expect("clap requires the address")
}

#[ntex::main]
async fn main() -> io::Result<()> {
    let args = command().get_matches();
    let settings: &String = args.get_one("settings").expect("clap requires settings");
    let settings: AppSettings = serde_json::from_str(settings)?;
    let record: &PathBuf = args.get_one("record").expect("clap requires a record");
    let record = OpenOptions::new().create(true).append(true).open(record)?;
    let listener = TcpListener::bind(address(&args, "listen")).await?;
    let control = TcpListener::bind(address(&args, "control")).await?;
    serve_app(listener, control, settings, record).await
}
