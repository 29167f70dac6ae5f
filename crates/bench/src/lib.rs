//! Stand-ins, load generation and whole-path tests.

pub mod platform;
