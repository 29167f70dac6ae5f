//! A fleet of separate processes on loopback addresses.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::backend_state::Runs;
use crate::history::merge_runs;
use crate::http::{http_get, http_post};
use crate::member::{Member, MemberPlan};
use crate::process::{Process, free_address, program, wait_for_listener};

const READY_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// The default of the setting `drain_ms` of a node.
const DRAIN_MS: u64 = 30_000;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The services and the number of their backend servers.
    pub services: Vec<(CompactString, usize)>,
    /// The availability zones, which the members of a service take in turn.
    pub zones: Vec<CompactString>,
    /// The settings of all services, as the base file names them.
    pub settings: Value,
    /// Further arguments of each backend server.
    pub backend_args: Vec<String>,
    /// The time that running calls have to end when a node is stopped, in milliseconds.
    pub drain_ms: u64,
    /// Whether a relay stands before each gate.
    pub relay_gates: bool,
    /// Whether a relay stands between each node and its backend server.
    pub relay_backends: bool,
}

impl FleetPlan {
    /// Returns a plan of one service in one availability zone.
    pub fn new(service: &str, count: usize) -> Self {
        Self {
            services: vec![(service.into(), count)],
            zones: vec!["huaraz".into()],
            settings: json!({}),
            backend_args: Vec::new(),
            drain_ms: DRAIN_MS,
            relay_gates: false,
            relay_backends: false,
        }
    }

    /// Replaces the settings that every service has.
    #[must_use]
    pub fn settings(mut self, settings: Value) -> Self {
        self.settings = settings;
        self
    }

    /// Replaces the further arguments of each backend server.
    #[must_use]
    pub fn backend_args(mut self, args: &[&str]) -> Self {
        self.backend_args = args.iter().map(ToString::to_string).collect();
        self
    }

    /// Returns the published value: a base file of all services.
    pub fn bundle(&self) -> Value {
        let entry = |(name, _): &(CompactString, usize)| (name.to_string(), self.settings.clone());
        let services: serde_json::Map<String, Value> = self.services.iter().map(entry).collect();
        let base = json!({ "services": services }).to_string();
        json!({ "base": base, "overlays": {} })
    }
}

/// A running fleet; its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The members, service by service.
    pub members: Vec<Member>,
    /// The stand-in of the platform.
    pub platform: Process,
    /// The address of the platform.
    pub address: SocketAddr,
    dir: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of a start, or the logs of a node that did not get ready.
    pub async fn start(plan: &FleetPlan) -> io::Result<Self> {
        let dir = tempfile::tempdir()?;
        let address = free_address();
        let platform = start_platform(&dir, address, plan)?;
        if !wait_for_listener(address, READY_LIMIT).await {
            return Err(not_ready("the platform", &[&platform]));
        }
        let mut members = Vec::new();
        for (service, count) in &plan.services {
            for number in 0..*count {
                let zone = plan.zones[number % plan.zones.len()].clone();
                let plan = MemberPlan {
                    id: format_compact!("{service}-{number}"),
                    service: service.clone(),
                    zone,
                    platform: address,
                    backend_args: plan.backend_args.clone(),
                    drain_ms: plan.drain_ms,
                    relay_gate: plan.relay_gates,
                    relay_backend: plan.relay_backends,
                };
                members.push(Member::start(dir.path(), plan)?);
            }
        }
        let mut fleet = Self {
            members,
            platform,
            address,
            dir,
        };
        if !fleet.list(|_| "live").await {
            return Err(not_ready("the list of instances", &[&fleet.platform]));
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Replaces the platform's list of instances by all members in the states given.
    pub async fn list(&self, state: impl Fn(&Member) -> &'static str) -> bool {
        let entries = self
            .members
            .iter()
            .map(|member| member.entry(state(member)));
        let list = json!({ "instances": entries.collect::<Vec<Value>>() });
        http_post(self.address, "/_instances", &list).await == Some(202)
    }

    /// Waits until every node that runs says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns the logs of a node that ends or takes too long, and of the platform.
    pub async fn wait_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + READY_LIMIT;
        let count = self.members.len();
        for member in &mut self.members {
            wait_for_listener(member.backend, READY_LIMIT).await;
            while !is_ready(member.admin, count).await {
                if Instant::now() > end || !member.node.is_running() {
                    return Err(not_ready(&member.id, &[&member.node, &self.platform]));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Restarts the backend servers that have ended; returns how many there were.
    ///
    /// # Errors
    ///
    /// Returns the error of a start.
    pub fn restart_dead(&mut self) -> io::Result<usize> {
        let mut deaths = 0;
        for member in &mut self.members {
            if !member.server.is_running() {
                deaths += 1;
                member.restart_server()?;
            }
        }
        Ok(deaths)
    }

    /// Returns the addresses at which callers enter.
    pub fn ingresses(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.ingress).collect()
    }

    /// Returns the runs of all backend servers, also of those that were killed.
    ///
    /// # Errors
    ///
    /// Returns the error of a file.
    pub fn runs(&self) -> io::Result<Runs> {
        let mut all = Runs::default();
        for member in &self.members {
            merge_runs(&mut all, &member.runs()?);
        }
        Ok(all)
    }

    /// Returns the directory of settings, logs and records.
    pub fn dir(&self) -> &std::path::Path {
        self.dir.path()
    }
}

/// Returns whether a node is ready and knows all members.
async fn is_ready(admin: SocketAddr, members: usize) -> bool {
    if !matches!(http_get(admin, "/ready").await, Some((200, _))) {
        return false;
    }
    let Some((200, body)) = http_get(admin, "/status").await else {
        return false;
    };
    let status: Value = serde_json::from_slice(&body).unwrap_or_default();
    status["members"].as_array().map(Vec::len) == Some(members)
}

/// Returns the error for a part of a fleet that is not ready, with the logs of these processes.
fn not_ready(part: &str, processes: &[&Process]) -> io::Error {
    let logs = processes.iter().map(|process| {
        let log = fs::read_to_string(&process.log).unwrap_or_default();
        format!("{}:\n{log}", process.log.display())
    });
    let logs: Vec<String> = logs.collect();
    io::Error::other(format!("{part} is not ready:\n{}", logs.join("\n")))
}

fn start_platform(dir: &TempDir, address: SocketAddr, plan: &FleetPlan) -> io::Result<Process> {
    let bundle = dir.path().join("bundle.json");
    fs::write(&bundle, plan.bundle().to_string())?;
    let args = [
        "--listen".to_owned(),
        address.to_string(),
        "--bundle".to_owned(),
        bundle.display().to_string(),
    ];
    Process::start(
        &program("platform"),
        &args,
        &dir.path().join("platform.log"),
    )
}
