//! The process that runs beside each backend server.

mod platform;

use std::process::ExitCode;

fn main() -> ExitCode {
    oriolering_node::run(std::env::args_os(), platform::run)
}
