//! Errors that end the process.

use std::path::PathBuf;

use oriolering::config::Problems;
use snafu::Snafu;

use crate::control::ControlError;

/// Why the node cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The arguments are not understood, or ask for help.
    #[snafu(display("{source}"))]
    Arguments {
        /// What clap has to say.
        source: clap::Error,
    },
    /// The settings file cannot be read.
    #[snafu(display("{}: {source}; give a readable file with --settings", path.display()))]
    File {
        /// The path as given.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The settings are wrong.
    #[snafu(display("{problems}"))]
    Settings {
        /// All problems of the file and the flags.
        problems: Problems,
    },
    /// The node cannot run on the platform.
    #[snafu(display("{source}"))]
    Platform {
        /// Which settings cannot be used, or which part cannot start.
        source: Box<dyn std::error::Error>,
    },
    /// The logger cannot be started.
    #[snafu(display("the log cannot be started: {source}; check the field log"))]
    Log {
        /// What the logger reported.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The thread that writes log lines cannot be started.
    #[snafu(display("the log cannot be written: {source}; check the limits of the process"))]
    Lines {
        /// What the system reported.
        source: std::io::Error,
    },
    /// The control part cannot be started.
    #[snafu(display("{source}"))]
    Control {
        /// What the control part reported.
        source: ControlError,
    },
    /// A listener of the data path cannot be bound.
    #[snafu(display(
        "a listener cannot be bound: {source}; check ingress, gate and admin in the settings"
    ))]
    Listen {
        /// What the system reported.
        source: std::io::Error,
    },
}
