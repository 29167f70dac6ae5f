//! The settings of one process.

use std::net::SocketAddr;

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::config::check::{Check, Role, check_required};
use crate::config::fault::Fault;
use crate::config::field::{Field, fields, flag_of};
use crate::config::node::{Entry, Node, Tree};
use crate::config::reader;
use crate::config::shape::{Kind, Shape, schema};
use crate::config::{Location, LogLevel, Problems};

/// The settings of one process: who it is, and the addresses that it uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The schema by which an editor checks the file; the system does not read it.
    #[serde(default, rename = "$schema", skip_serializing)]
    pub schema: Option<String>,
    /// The identity of the instance; the platform's list names it the same.
    #[schemars(with = "String", extend("x-form" = "name"))]
    pub id: CompactString,
    /// The service of the backend server beside the process.
    #[schemars(with = "String", extend("x-form" = "name"))]
    pub service: CompactString,
    /// The availability zone, which is also the site whose overlay applies.
    #[schemars(with = "String", extend("x-form" = "name"))]
    pub zone: CompactString,
    /// The region of the availability zone.
    #[schemars(with = "String", extend("x-form" = "name"))]
    pub region: CompactString,
    /// Where callers connect.
    #[schemars(with = "String", extend("x-form" = "ip-port"))]
    pub ingress: SocketAddr,
    /// Where the ingresses of other processes connect to reach the backend server.
    #[schemars(with = "String", extend("x-form" = "ip-port"))]
    pub gate: SocketAddr,
    /// Where the control parts of other processes connect.
    #[schemars(with = "String", extend("x-form" = "ip-port"))]
    pub control: SocketAddr,
    /// Where operators and metrics scrapers connect.
    #[serde(default = "default_admin")]
    #[schemars(with = "String", extend("x-form" = "ip-port"))]
    pub admin: SocketAddr,
    /// The backend server.
    #[schemars(with = "String", extend("x-form" = "ip-port"))]
    pub backend: SocketAddr,
    /// The platform's configuration service.
    #[schemars(with = "String", extend("x-form" = "ip-port"))]
    pub platform: SocketAddr,
    /// The least severe lines that are logged.
    #[serde(default)]
    pub log: LogLevel,
    /// The longest time that running calls have to end after the process was told to stop.
    #[serde(default = "default_drain_ms")]
    #[schemars(range(max = 3_600_000), extend("x-unit" = "ms"))]
    pub drain_ms: u64,
    /// The threads that serve calls.
    #[serde(default = "default_workers")]
    #[schemars(range(min = 1, max = 256), extend("x-unit" = "threads"))]
    pub workers: u32,
}

fn default_admin() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_400))
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_workers() -> u32 {
    1
}

impl ProcessSettings {
    /// Reads the settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        Self::parse_with_flags(file, text, &[])
    }

    /// Reads the settings from the text of a file, over which flags are laid. A flag is the
    /// path of a field with its text; where there are only flags, the text is `{}`.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text and of the flags.
    pub fn parse_with_flags(
        file: &str,
        text: &str,
        flags: &[(&str, &str)],
    ) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let shape = Shape::of::<Self>();
        let Some(mut node) = reader::read(file, text, &mut problems) else {
            return Err(problems);
        };
        check(&node, &shape, &mut problems);
        for (name, text) in flags {
            let flag = flag_node(name, text, &shape);
            check(&flag, &shape, &mut problems);
            node.merge(&flag);
        }
        check_required(&node, &shape, true, &mut problems);
        let json = problems.into_result(node.to_json())?;
        let settings: Self =
            serde_json::from_value(json).map_err(|e| Problems::unreadable(file, &e))?;
        settings.check(&node)
    }

    /// Returns the fields, each of which is also a flag.
    pub fn fields() -> Vec<Field> {
        let fields = fields(&Shape::of::<Self>());
        fields.into_iter().filter(|f| f.path != "$schema").collect()
    }

    /// Returns the JSON schema of the file.
    pub fn schema() -> serde_json::Value {
        schema::<Self>().to_value()
    }

    /// Checks the addresses against each other.
    fn check(self, node: &Node) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        self.check_listeners(node, &mut problems);
        for (name, address) in [("backend", self.backend), ("platform", self.platform)] {
            if address.port() == 0 || address.ip().is_unspecified() {
                let fault = Fault::Form {
                    found: address.to_string(),
                    wanted: "the IP number and port that it listens on",
                };
                problems.push(&location(node, name), name, fault);
            }
        }
        problems.into_result(self)
    }

    /// Reports addresses that stand twice; a backend server that is a listener of its own
    /// process would have calls go round for ever.
    fn check_listeners(&self, node: &Node, problems: &mut Problems) {
        let addresses = [
            ("ingress", self.ingress),
            ("gate", self.gate),
            ("control", self.control),
            ("admin", self.admin),
            ("backend", self.backend),
            ("platform", self.platform),
        ];
        for (i, (name, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..i].iter().find(|(_, a)| a == address);
            let Some((other, _)) = earlier.filter(|_| address.port() != 0) else {
                continue;
            };
            let fault = Fault::Conflict {
                found: address.to_string(),
                other: format!("{other} has the same address"),
                remedy: "give each its own port",
            };
            problems.push(&location(node, name), name, fault);
        }
    }
}

fn check(node: &Node, shape: &Shape, problems: &mut Problems) {
    let mut check = Check {
        role: Role::Base,
        problems,
    };
    check.value(node, shape, "");
}

/// Returns the location of a field, or of the file when the field has its default.
fn location(node: &Node, name: &str) -> Location {
    match node.get(name) {
        Some(field) => field.location.clone(),
        None => Location::whole(&node.location.file),
    }
}

/// Returns an object with the one field that a flag sets.
fn flag_node(name: &str, text: &str, shape: &Shape) -> Node {
    let location = Location::whole(&flag_of(name));
    let is_whole = matches!(shape.field(name).map(|f| &f.kind), Some(Kind::Whole { .. }));
    let is_number = serde_json::from_str::<serde_json::Number>(text).is_ok();
    let tree = match is_whole && is_number {
        true => Tree::Number(text.into()),
        false => Tree::Text(text.to_owned()),
    };
    let entry = Entry {
        key: name.into(),
        location: location.clone(),
        value: Node {
            location: location.clone(),
            tree,
        },
    };
    Node {
        location,
        tree: Tree::Object(vec![entry]),
    }
}
