//! Stand-ins of the platform's machines and a soak that judges what callers and servers saw.

pub mod app;
mod app_answer;
mod app_settings;
mod app_state;
pub mod client;
pub mod names;
pub mod record;
pub mod seal;
mod wire;

pub use app_settings::{AppFault, AppSettings, Flaw, WhenFull};
