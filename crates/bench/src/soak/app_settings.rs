//! What a stand-in of an application backend server is started with, and its faults.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a backend server does with a request that finds no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFull {
    /// Answers 503 and says that it did not run the request.
    Refuse,
    /// Resets the connection.
    Reset,
    /// Answers nothing, and nothing more on this connection.
    Silent,
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Flaw {
    /// It says 500.
    Error,
    /// It is never sent.
    Lost,
    /// The connection is reset in its place.
    Reset,
    /// Another answer follows at once.
    Extra,
    /// Another answer is sent in front of the next one.
    Late,
    /// It ends early.
    Truncated,
    /// It has no length and ends with its connection.
    Unframed,
    /// It has no length, and its connection is reset midway.
    UnframedReset,
    /// It is no answer in the protocol.
    Garbled,
    /// It is sent before the body of the request has been read.
    Early,
    /// The backend server crashes in its place.
    Crash,
    /// There is none: the request is treated as if there were no room.
    Shed,
}

/// The faults in force; a new set replaces the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AppFault {
    /// How long work takes, as a percentage of its usual duration.
    pub work_percent: u32,
    /// What is wrong with some answers.
    pub flaw: Option<Flaw>,
    /// The share of answers that the flaw shows at.
    pub share: f64,
    /// What happens to a request that finds no room.
    pub when_full: WhenFull,
    /// Whether the health endpoint says 503.
    pub unhealthy: bool,
    /// Whether it leaves: bad health, and answers say so and close their connections.
    pub leaving: bool,
    /// The limit that its answers name, in thousandths of a request a second.
    pub limit: Option<u32>,
}

impl Default for AppFault {
    fn default() -> Self {
        Self {
            work_percent: 100,
            flaw: None,
            share: 0.0,
            when_full: WhenFull::Refuse,
            unhealthy: false,
            leaving: false,
            limit: None,
        }
    }
}

/// What a backend server is started with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it takes faults.
    pub control: SocketAddr,
    /// The file to which its record is appended.
    pub record: PathBuf,
    /// The identity of this run.
    pub id: CompactString,
    /// The service that it belongs to.
    pub service: CompactString,
    /// The path of the health endpoint.
    pub health_path: CompactString,
    /// How many requests run at once.
    pub slots: u32,
    /// How many more may wait.
    pub queue: u32,
    /// The most connections; further ones are reset.
    pub connections: u32,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
    /// Whether answers tell the load.
    pub tells_load: bool,
    /// For how long after its start it is slow, in milliseconds.
    pub cold_ms: u64,
    /// The seed of flaws.
    pub seed: u64,
}
