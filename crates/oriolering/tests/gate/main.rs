//! Decisions of the gate.

mod fixture;
mod identity;
mod load;
mod server;
mod waiting;
