//! Stand-ins, load generation and whole-path tests of oriolering.

// The HTTP client's connector is a chain of generic services, too deep for the default limit.
#![recursion_limit = "256"]

mod args;
mod backend;
mod backend_fault;
mod backend_state;
mod bound;
mod call;
mod caller;
pub mod control_fleet;
mod echo;
mod fleet;
mod history;
mod http;
mod load;
mod member;
mod mesh_node;
pub mod platform;
mod plot;
mod process;
mod relay;
mod report;
mod scenario;
mod signal;
pub mod soak;
mod store;
mod store_control;
mod store_data;
mod store_fault;
mod store_front;
mod store_limits;
mod timer;
mod trial;

pub use args::{number_arg, number_of};
pub use backend::serve_backend;
pub use backend_fault::Fault;
pub use backend_state::{BackendSettings, Load, Runs};
pub use bound::one_queue;
pub use call::{Call, Request, Told, Upload};
pub use caller::Caller;
pub use echo::{CHECK, Check, Echo, EchoReader, NONCE, SPENT};
pub use fleet::{Fleet, FleetPlan};
pub use history::{Breach, Violation, check_history, merge_runs};
pub use http::{http_get, http_post};
pub use load::{Arrival, draw_exponential, poisson_times, run_load};
pub use member::Member;
pub use mesh_node::MeshInstance;
pub use plot::plot_quantiles;
pub use process::{Process, free_address, program, wait_for_listener};
pub use relay::Relay;
pub use report::{Report, histogram, label};
pub use scenario::{Outcomes, Scenario, Trouble};
pub use signal::Signal;
pub use store::{Store, StoreCopy};
pub use store_fault::StoreFault;
pub use store_limits::{StoreLimits, StoreReads};
pub use trial::{Mix, Trial, Verdict, block_on, seed_or};
