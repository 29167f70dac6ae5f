//! The control parts of a small fleet over real connections.

mod fixture;
mod members;
mod quarantine;
mod values;
