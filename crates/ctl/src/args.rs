//! Arguments that several subcommands share.

use std::net::SocketAddr;

use clap::{Arg, ArgAction};

/// Returns the argument that names a node by its admin address.
pub(crate) fn node() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("IP:PORT")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(parse_address)
        .help("The admin address of a node")
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let explain = |_| "write an IP number with a port, such as 127.0.0.1:7400".to_owned();
    text.parse().map_err(explain)
}
