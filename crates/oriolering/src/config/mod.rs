//! The settings of services: one base file, and an overlay for each site.
//!
//! An operator publishes a [`Bundle`]; every node reads it into a [`Set`], which is either
//! valid for all sites or refused as a whole.

mod bundle;
mod limits;
mod method;
mod problem;
mod service;
mod set;
mod settings;

pub use bundle::{Bundle, MAX_BUNDLE_BYTES};
pub use limits::{Buffer, Choice, Hedge, Measure, Queue, Retry, Shed, Slots};
pub use method::Method;
pub use problem::{Problem, Problems};
pub use service::Service;
pub use set::Set;
pub use settings::Settings;
