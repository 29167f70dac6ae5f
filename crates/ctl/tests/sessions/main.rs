//! Whole sessions with the command, kept as golden files.

mod common;
mod documents;
mod node_commands;
mod set_commands;
