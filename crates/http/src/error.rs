//! The errors of an exchange with a server.

use std::io;

use snafu::Snafu;

/// An exchange with a server that yielded no complete response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("the server does not accept connections: {source}; check that it runs"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The request cannot be encoded as HTTP; nothing was sent.
    #[snafu(display("the request cannot be encoded: {reason}; check its target and headers"))]
    Encode {
        /// The error message of the codec.
        reason: String,
    },
    /// The connection ended before a response head was complete; the request may have run.
    #[snafu(display("the connection ended without an answer: {reason}; the request may have run"))]
    Closed {
        /// How the connection ended.
        reason: String,
    },
    /// The response was truncated; the request may have run.
    #[snafu(display("the answer ended after {bytes} bytes of its body; the request may have run"))]
    Truncated {
        /// How many bytes of the body arrived.
        bytes: usize,
    },
    /// The response is not valid HTTP; the request may have run.
    #[snafu(display("the answer is not valid HTTP: {reason}; the request may have run"))]
    Malformed {
        /// The error message of the codec.
        reason: String,
    },
    /// The response exceeds the size limit; the request may have run.
    #[snafu(display(
        "the answer is larger than the limit of {limit} bytes; raise the size limit of answers"
    ))]
    TooLarge {
        /// The size limit of a response, in bytes.
        limit: usize,
    },
    /// The responses being read use up the memory limit that they share; the request may have run.
    #[snafu(display(
        "reading the answer stopped after {bytes} bytes of its body, since the memory limit for answers is reached; look for servers that send endless answers, or give the process more memory"
    ))]
    MemoryFull {
        /// How many bytes of the body arrived.
        bytes: usize,
    },
    /// The server sent several responses, none of them final and for this request; the request
    /// may have run.
    #[snafu(display(
        "the server sent {count} answers, none of them final and for this request; the request may have run"
    ))]
    Unmatched {
        /// How many responses were discarded.
        count: u32,
    },
}

impl ExchangeError {
    /// Returns whether the server's address refused the connection, so that no server runs there.
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Connect { source } => source.kind() == io::ErrorKind::ConnectionRefused,
            Self::Encode { .. }
            | Self::Closed { .. }
            | Self::Truncated { .. }
            | Self::Malformed { .. }
            | Self::TooLarge { .. }
            | Self::MemoryFull { .. }
            | Self::Unmatched { .. } => false,
        }
    }

    /// Returns whether certainly no byte of the request reached the server.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Encode { .. } => true,
            Self::Closed { .. }
            | Self::Truncated { .. }
            | Self::Malformed { .. }
            | Self::TooLarge { .. }
            | Self::MemoryFull { .. }
            | Self::Unmatched { .. } => false,
        }
    }
}
