//! Decisions of the gate.

mod fixture;
mod identity;
mod server;
mod waiting;
