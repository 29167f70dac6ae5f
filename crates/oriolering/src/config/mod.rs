//! The settings of services and routes: one base file, and an overlay for each site.
//!
//! An operator publishes a [`Bundle`]; every node reads it into a [`SettingsSet`], which is either
//! valid for all sites or refused as a whole.

mod base;
mod bundle;
mod change;
mod check;
mod effective;
mod fault;
mod field;
mod limits;
mod location;
mod log_level;
mod method;
mod nearest;
mod node;
mod problem;
mod process;
mod quantity;
mod reader;
mod route_fields;
mod route_match;
mod route_rules;
mod rules;
mod service_settings;
mod settings_set;
mod shape;
mod site_settings;

pub use bundle::{Bundle, MAX_BUNDLE_BYTES};
pub use change::{Change, Effect, Scope, Subject, diff};
pub use fault::Fault;
pub use field::Field;
pub use limits::{Buffer, Choice, Hedge, Measure, Queue, Retry, Shed, Slots};
pub use location::Location;
pub use log_level::LogLevel;
pub use method::Method;
pub use problem::{Problem, Problems};
pub use process::ProcessSettings;
pub use route_fields::RouteFields;
pub use route_match::{FieldOrigin, RouteMatch, find_route};
pub use service_settings::ServiceSettings;
pub use settings_set::SettingsSet;
pub use site_settings::SiteSettings;
