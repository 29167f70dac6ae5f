//! The process that runs beside each backend server.

pub mod control;
