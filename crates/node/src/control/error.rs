//! Errors of the control part.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why an exchange with a peer failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The connection was refused or cut.
    #[snafu(display("no connection to {address}: {source}; check that the node runs there"))]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The exchange took too long.
    #[snafu(display("no answer from {address} within {ms} ms; check the network path to it"))]
    Timeout {
        /// The peer.
        address: SocketAddr,
        /// The time that was allowed.
        ms: u64,
    },
    /// The connection ended before the answer.
    #[snafu(display("the exchange with {address} broke off: {reason}; try again"))]
    Exchange {
        /// The peer.
        address: SocketAddr,
        /// What the transport reported.
        reason: String,
    },
    /// The peer does not take this message from this node.
    #[snafu(display("{address} refused the message; check that this node is in its list"))]
    Refused {
        /// The peer.
        address: SocketAddr,
    },
    /// The control part of this node has ended.
    #[snafu(display("the control part has ended; start the node again"))]
    Ended,
}

/// Why the control part did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The address for peers cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; set control to a free address"))]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[snafu(display("cannot start the control thread: {source}; raise the limit of threads"))]
    Thread {
        /// What the system reported.
        source: std::io::Error,
    },
    /// The settings name no run of this node.
    #[snafu(display("the member of the settings has no incarnation; set it to a random number"))]
    Incarnation,
}
