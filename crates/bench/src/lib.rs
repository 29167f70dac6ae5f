//! Stand-ins, load generation and whole-path tests.

pub mod fleet;
pub mod platform;
