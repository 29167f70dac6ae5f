//! The listening sockets of the data path, which break no connection when they close.

use std::io;
use std::net::{SocketAddr, TcpListener};

use libc::{BPF_ABS, BPF_ALU, BPF_AND, BPF_B, BPF_JEQ, BPF_JMP, BPF_K, BPF_LD, BPF_RET};
use ntex::server::create_tcp_listener;
use socket2::{SockFilter, SockRef};

/// Connections that the kernel holds for a listener until they are accepted; a burst of callers
/// of the aimed size that comes within a few milliseconds.
const BACKLOG: i32 = 4_096;
/// The place of the flags in a TCP header (RFC 9293, section 3.1).
const FLAGS_OFFSET: u32 = 13;
/// The flag of a segment that opens a connection.
const SYN: u32 = 0x02;
/// The flag of a segment that acknowledges another.
const ACK: u32 = 0x10;
/// The verdict of a filter that lets a segment through whole.
const PASS: u32 = u32::MAX;
/// The verdict of a filter that drops a segment.
const DROP: u32 = 0;

/// The listening sockets, beside the handles that the server accepts from.
pub(crate) struct Listeners(Vec<TcpListener>);

impl Listeners {
    /// Listens on each address.
    ///
    /// # Errors
    ///
    /// Returns the error of an address that cannot be bound.
    pub(crate) fn bind(addresses: &[SocketAddr]) -> io::Result<Self> {
        let bound = addresses.iter().map(|at| create_tcp_listener(*at, BACKLOG));
        bound.collect::<io::Result<_>>().map(Self)
    }

    /// Returns handles to accept connections from.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when it has no handle left.
    pub(crate) fn handles(&self) -> io::Result<Vec<TcpListener>> {
        self.0.iter().map(TcpListener::try_clone).collect()
    }

    /// Lets no new connection begin, while those that have begun are still accepted.
    ///
    /// The kernel resets what waits in the backlog of a socket that closes. So the segments that
    /// open a connection are dropped first; their senders repeat them after a second.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when it takes no filter.
    pub(crate) fn hush(&self) -> io::Result<()> {
        let filter = opening_filter();
        self.0
            .iter()
            .try_for_each(|l| SockRef::from(l).attach_filter(&filter))
    }

    /// Lets new connections begin again.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub(crate) fn resume(&self) -> io::Result<()> {
        self.0
            .iter()
            .try_for_each(|l| SockRef::from(l).detach_filter())
    }
}

/// Returns a filter that drops the segments that open a connection and no others.
fn opening_filter() -> [SockFilter; 5] {
    let step = |code: u32, skip, k| SockFilter::new(code as u16, 0, skip, k);
    [
        step(BPF_LD | BPF_B | BPF_ABS, 0, FLAGS_OFFSET),
        step(BPF_ALU | BPF_AND | BPF_K, 0, SYN | ACK),
        step(BPF_JMP | BPF_JEQ | BPF_K, 1, SYN),
        step(BPF_RET | BPF_K, 0, DROP),
        step(BPF_RET | BPF_K, 0, PASS),
    ]
}
