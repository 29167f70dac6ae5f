//! The control part: configuration, members and quarantines, exchanged with peers.
//!
//! It runs on a thread of its own, so that a long validation never holds up a call.

mod client;
mod error;
mod gossip;
mod handle;
mod list;
mod message;
mod platform;
mod pull;
mod read;
mod report;
mod server;
mod settings;
mod start;
mod state;
mod status;
mod usage;

pub use error::{ControlError, PeerError};
pub use handle::Handle;
pub use settings::{
    Configured, ControlSettings, Hooks, Inquire, Members, Quarantined, Reach, Validate,
};
pub use start::start;
pub use status::{ControlCounts, ControlStatus, Rejected};
