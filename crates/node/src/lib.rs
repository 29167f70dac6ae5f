//! The process that runs beside each backend server.

#![recursion_limit = "256"]

pub mod control;
