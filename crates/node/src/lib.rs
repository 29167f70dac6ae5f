//! The node of oriolering: ingress, gate and control beside one backend server.
//!
//! The ingress takes calls of callers and picks a backend server; the gate is the only way to
//! the local backend server and decides finally whether a call runs; the control part
//! exchanges configuration, membership and quarantines with peers.

// The HTTP client's connector is a chain of generic services, too deep for the default limit.
#![recursion_limit = "256"]

mod admin;
mod admission;
mod admit;
mod answers;
mod args;
mod attempt;
mod body;
mod call;
mod cancel;
mod cancels;
pub mod control;
mod crash;
mod directory;
mod error;
mod filters;
mod forward;
mod headers;
mod hedge;
mod incoming;
mod ingress;
mod linger;
mod listeners;
mod logging;
mod metrics;
mod permit;
mod poll;
mod probe;
mod reached;
mod recover;
mod refuse;
mod reply;
mod reserved;
mod running;
mod serve;
mod servers;
mod sessions;
mod settings;
mod startup;
mod state;
mod status;
mod timer;
mod validity;
mod watch;
mod wire;
mod word;

use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;

use oriolering::CrossZoneCost;
use snafu::ResultExt;

use args::Task;

pub use error::NodeError;
pub use logging::{Take, start_with as start_log_with};

/// The exit code of a process that got wrong arguments or settings.
const USAGE: u8 = 2;

/// What runs a node on a platform, which is built on top of this crate.
type Platform = fn(CrossZoneCost) -> Result<(), Box<dyn Error>>;

/// Runs a node with the arguments of a command line until it is told to stop.
///
/// `platform` runs the node of the subcommand for a platform.
pub fn run(args: impl IntoIterator<Item = OsString>, platform: Platform) -> ExitCode {
    match start(args, platform) {
        Ok(()) => ExitCode::SUCCESS,
        Err(NodeError::Arguments { source }) => source.exit(),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(USAGE)
        }
    }
}

fn start(args: impl IntoIterator<Item = OsString>, platform: Platform) -> Result<(), NodeError> {
    let card = match args::task(args)? {
        Task::Node(card) => *card,
        Task::Platform(crossing) => return platform(crossing).context(error::PlatformSnafu),
    };
    let _logger = logging::start(card.log.as_str()).context(error::LogSnafu)?;
    startup::run(card)
}
