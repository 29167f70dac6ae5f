//! The data path of a node on a platform that publishes routes and backend servers.
//!
//! The ingress of a node accepts requests from the callers on its instance, chooses a backend
//! server for each, and sends it over a link to the node on the instance of that backend server.
//! The gate of that node makes the final decision: it runs, queues or refuses the request. A link
//! between two nodes carries calls, cancellations, the load of the gate and configuration updates.
//!
//! The decision logic is in [`oriolering`], the HTTP connections are in [`oriolering_http`], and
//! the names and formats of the platform are in [`oriolering_platform`].

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
mod response_sink;
mod routes_text;
mod runs;
mod second_run;
mod segment_reader;
mod server_table;
mod spans;
mod start;
mod store_client;
mod store_read_error;
mod store_reader;
mod stream_budget;
mod subscribers;
mod suspects;
mod trail;

pub use options::Options;
pub use start::{StartError, run, run_until};
pub use trail::{DroppedLines, LogWriter, Rank};
