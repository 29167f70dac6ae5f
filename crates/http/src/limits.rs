//! The limits of a caller's connection.

/// The size, time and concurrency limits of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnLimits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest wait for the rest of a request head or for more of a body, in milliseconds.
    pub header_ms: u64,
    /// The longest time that an idle connection stays open, in milliseconds.
    pub idle_ms: u64,
    /// The most pipelined requests of one connection that run concurrently.
    pub pipelined: usize,
}
