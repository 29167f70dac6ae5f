//! Tests of the gate's decisions.

mod fixture;
mod identity;
mod load;
mod server;
mod waiting;
