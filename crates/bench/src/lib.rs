//! Stand-ins, load generation and whole-path tests of oriolering.

mod backend;
mod backend_fault;
mod backend_state;
mod echo;

pub use backend::serve_backend;
pub use backend_fault::Fault;
pub use backend_state::{BackendSettings, Load, Runs};
pub use echo::{CHECK, Check, Echo, EchoReader, NONCE};
