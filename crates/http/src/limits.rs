//! The bounds of a caller's connection.

/// The bounds on what a caller may send on a connection, and on the time that it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for a head to arrive, in milliseconds.
    pub header_ms: u64,
    /// The longest time without a request, in milliseconds.
    pub idle_ms: u64,
    /// The most requests of one connection that run at once.
    pub pipelined: usize,
}
