//! Whole sessions with the command, kept as golden files.

mod common;
mod documents;
mod lines;
mod node_commands;
mod set_commands;
