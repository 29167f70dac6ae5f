//! Why an exchange with a server brought no answer.

use std::io;

use snafu::Snafu;

/// Why an exchange with a server brought no whole answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// The server cannot be reached; nothing was sent.
    #[snafu(display("the server does not accept connections: {source}; check that it runs"))]
    Connect {
        /// What the system said.
        source: io::Error,
    },
    /// The request cannot be written as HTTP; nothing was sent.
    #[snafu(display("the request cannot be encoded: {reason}; check its target and headers"))]
    Encode {
        /// What the codec said.
        reason: String,
    },
    /// The connection ended before a byte of the answer; the request may have run.
    #[snafu(display("the connection ended without an answer: {reason}; the request may have run"))]
    Closed {
        /// How it ended.
        reason: String,
    },
    /// The answer ended early; the request may have run.
    #[snafu(display("the answer ended after {bytes} bytes of its body; the request may have run"))]
    Truncated {
        /// The bytes of the body that arrived.
        bytes: usize,
    },
    /// What arrived is not HTTP; the request may have run.
    #[snafu(display("the answer is not HTTP: {reason}; the request may have run"))]
    Garbled {
        /// What the codec said.
        reason: String,
    },
    /// The answer is larger than may be held; the request may have run.
    #[snafu(display("the answer is larger than {limit} bytes; raise the limit of answers"))]
    TooLarge {
        /// The largest answer, in bytes.
        limit: usize,
    },
    /// The answers under way take all the memory for them; the request may have run.
    #[snafu(display(
        "the answer ended after {bytes} bytes of its body, since there is no memory for more; look for servers that send without end, or give the process more memory"
    ))]
    Crowded {
        /// The bytes of the body that arrived.
        bytes: usize,
    },
    /// The server sent answers that nobody waits for, one after the other; the request may have
    /// run.
    #[snafu(display(
        "the server sent {count} answers that nobody waits for; the request may have run"
    ))]
    Strayed {
        /// How many they were.
        count: u32,
    },
}

impl ExchangeError {
    /// Returns whether nobody listens at the server's address, so that the server has ended.
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Connect { source } => source.kind() == io::ErrorKind::ConnectionRefused,
            Self::Encode { .. }
            | Self::Closed { .. }
            | Self::Truncated { .. }
            | Self::Garbled { .. }
            | Self::TooLarge { .. }
            | Self::Crowded { .. }
            | Self::Strayed { .. } => false,
        }
    }

    /// Returns whether no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Encode { .. } => true,
            Self::Closed { .. }
            | Self::Truncated { .. }
            | Self::Garbled { .. }
            | Self::TooLarge { .. }
            | Self::Crowded { .. }
            | Self::Strayed { .. } => false,
        }
    }
}
