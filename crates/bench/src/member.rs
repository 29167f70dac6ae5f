//! One member of a fleet: a backend server and the node beside it.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use compact_str::CompactString;
use serde_json::{Value, json};

use crate::backend_fault::Fault;
use crate::backend_state::Runs;
use crate::http::http_post;
use crate::process::{Process, free_address, program};
use crate::relay::Relay;

/// What a member needs to know to be started.
#[derive(Clone, Debug)]
pub(crate) struct MemberPlan {
    pub(crate) id: CompactString,
    pub(crate) service: CompactString,
    pub(crate) zone: CompactString,
    pub(crate) platform: SocketAddr,
    pub(crate) backend_args: Vec<String>,
    pub(crate) drain_ms: u64,
    pub(crate) relay_gate: bool,
    pub(crate) relay_backend: bool,
}

/// A backend server and the node beside it, as two processes.
#[derive(Debug)]
pub struct Member {
    /// The identity in the list of instances.
    pub id: CompactString,
    /// The service of the backend server.
    pub service: CompactString,
    /// The availability zone.
    pub zone: CompactString,
    /// The node's listener for callers.
    pub ingress: SocketAddr,
    /// The node's listener for other nodes' calls, as the list tells it.
    pub gate: SocketAddr,
    /// The node's listener for peers.
    pub control: SocketAddr,
    /// The node's listener for operators.
    pub admin: SocketAddr,
    /// The backend server's own listener.
    pub backend: SocketAddr,
    /// The relay before the gate.
    pub gate_relay: Option<Relay>,
    /// The relay between node and backend server.
    pub backend_relay: Option<Relay>,
    /// The process of the node.
    pub node: Process,
    /// The process of the backend server.
    pub server: Process,
    settings: PathBuf,
    record: PathBuf,
    dir: PathBuf,
    backend_args: Vec<String>,
}

impl Member {
    pub(crate) fn start(dir: &Path, plan: MemberPlan) -> io::Result<Self> {
        let (listen, control, admin) = (free_address(), free_address(), free_address());
        let (ingress, backend) = (free_address(), free_address());
        let gate_relay = plan.relay_gate.then(|| Relay::start(listen)).transpose()?;
        let backend_relay = plan
            .relay_backend
            .then(|| Relay::start(backend))
            .transpose()?;
        let settings = json!({
            "id": plan.id, "service": plan.service, "zone": plan.zone, "region": "region-1",
            "ingress": ingress, "gate": listen, "control": control, "admin": admin,
            "backend": backend_relay.as_ref().map_or(backend, |relay| relay.address),
            "platform": plan.platform, "drain_ms": plan.drain_ms,
        });
        let settings_path = dir.join(format!("{}.jsonc", plan.id));
        fs::write(&settings_path, settings.to_string())?;
        let record = dir.join(format!("{}.runs", plan.id));
        let server = start_server(dir, &plan.id, backend, &record, &plan.backend_args)?;
        let node = start_node(dir, &plan.id, &settings_path)?;
        Ok(Self {
            id: plan.id,
            service: plan.service,
            zone: plan.zone,
            ingress,
            gate: gate_relay.as_ref().map_or(listen, |relay| relay.address),
            control,
            admin,
            backend,
            gate_relay,
            backend_relay,
            node,
            server,
            settings: settings_path,
            record,
            dir: dir.to_path_buf(),
            backend_args: plan.backend_args,
        })
    }

    /// Kills the node if it runs and starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of the start.
    pub fn restart_node(&mut self) -> io::Result<()> {
        self.node.kill();
        self.node = start_node(&self.dir, &self.id, &self.settings)?;
        Ok(())
    }

    /// Kills the backend server if it runs and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Returns the error of the start.
    pub fn restart_server(&mut self) -> io::Result<()> {
        self.server.kill();
        let (id, record) = (&self.id, &self.record);
        self.server = start_server(&self.dir, id, self.backend, record, &self.backend_args)?;
        Ok(())
    }

    /// Returns the record of runs, which outlives the backend server's process.
    ///
    /// # Errors
    ///
    /// Returns the error of the file.
    pub fn runs(&self) -> io::Result<Runs> {
        Ok(Runs::parse(&fs::read_to_string(&self.record)?))
    }

    /// Puts faults into force at the backend server; returns whether it took them.
    pub async fn set_fault(&self, fault: Fault) -> bool {
        http_post(self.backend, "/_fault", &fault).await == Some(204)
    }

    /// Returns the member's entry in the list of instances.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "id": self.id, "service": self.service, "zone": self.zone, "region": "region-1",
            "state": state, "ingress": self.ingress, "gate": self.gate, "control": self.control,
        })
    }
}

fn start_node(dir: &Path, id: &str, settings: &Path) -> io::Result<Process> {
    let args = ["--settings".into(), settings.display().to_string()];
    let log = dir.join(format!("{id}.node.log"));
    Process::start(&program("oriolering-node"), &args, &log)
}

fn start_server(
    dir: &Path,
    id: &str,
    listen: SocketAddr,
    record: &Path,
    extra: &[String],
) -> io::Result<Process> {
    let mut args = vec!["--listen".into(), listen.to_string()];
    args.extend(["--runs".into(), record.display().to_string()]);
    args.extend_from_slice(extra);
    let log = dir.join(format!("{id}.backend.log"));
    Process::start(&program("backend"), &args, &log)
}
