//! The data path of a node on a platform that publishes routes and backend servers.
//!
//! A node takes the requests of the callers on its instance, chooses a backend server for
//! each, and sends it over a link to the node beside that backend server, whose gate decides
//! finally: it runs the request, lets it wait or refuses it. One link between two nodes carries
//! calls, cancellations, the load of the gate and news of the configuration.
//!
//! Decisions are in [`oriolering`], connections in [`oriolering_http`], and the platform's
//! names and formats in [`oriolering_platform`].

mod age;
mod attempt;
mod attempt_result;
mod backend_health;
mod backend_request;
mod budgets;
mod counts;
mod dispatch;
mod field_name;
mod fingerprint;
mod frame;
mod gate;
mod gossip;
mod headers;
mod inbound;
mod ingress;
mod link;
mod metrics;
mod node;
mod notice;
mod options;
mod outbound;
mod outbox;
mod peer;
mod pool;
mod progress;
mod reload;
mod reply;
mod routes_text;
mod runs;
mod second_run;
mod server_table;
mod source;
mod spans;
mod start;
mod subscribers;
mod suspects;
mod trail;

pub use options::Options;
pub use start::{StartError, run, run_until};
pub use trail::{DroppedLines, LogWriter, Rank};
