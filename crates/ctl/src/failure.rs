//! The failures of the command and their exit codes.

use std::net::SocketAddr;
use std::process::ExitCode;

use snafu::Snafu;

/// The exit code when a set has problems or the output cannot be written.
pub(crate) const EXIT_PROBLEMS: u8 = 1;
/// The exit code when the command line is wrong.
const EXIT_USAGE: u8 = 2;
/// The exit code when a node could not be asked.
const EXIT_UNREACHABLE: u8 = 3;

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Failure {
    /// A check found problems; `report` is its result.
    #[snafu(display("the set has problems; correct them and check it again"))]
    Problems { report: String },
    /// A set that is needed for something else has problems, which `report` lists.
    #[snafu(display("the set has problems; correct them and try again"))]
    Invalid { report: String },
    /// The command line or a file that it names is wrong.
    #[snafu(display("{text}; {remedy}"))]
    Usage { text: String, remedy: &'static str },
    /// A node could not be asked; `report` holds what the others answered.
    #[snafu(display("node {node} {cause}; {remedy}"))]
    Unreachable {
        node: SocketAddr,
        cause: String,
        remedy: &'static str,
        report: String,
    },
}

impl Failure {
    /// Returns what still goes to the standard output.
    pub(crate) fn report(&self) -> String {
        match self {
            Self::Problems { report } | Self::Unreachable { report, .. } => report.clone(),
            Self::Invalid { .. } | Self::Usage { .. } => String::new(),
        }
    }

    /// Returns what goes to the standard error.
    pub(crate) fn advice(&self) -> String {
        match self {
            Self::Problems { .. } => String::new(),
            Self::Invalid { report } => report.clone(),
            Self::Usage { .. } => format!("error: {self}\n\nFor more, try 'oriolering --help'.\n"),
            Self::Unreachable { .. } => format!("error: {self}\n"),
        }
    }

    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Problems { .. } | Self::Invalid { .. } => ExitCode::from(EXIT_PROBLEMS),
            Self::Usage { .. } => ExitCode::from(EXIT_USAGE),
            Self::Unreachable { .. } => ExitCode::from(EXIT_UNREACHABLE),
        }
    }
}
