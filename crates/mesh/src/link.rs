//! A connection between two nodes.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use oriolering_http::{Turn, receive};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

use crate::frame::{self, Frame, FrameError};
use crate::outbox::Outbox;

/// How long sent bytes may stay unacknowledged before the system ends the connection, in
/// milliseconds: the longest disturbance of a machine's network link that is not a partition.
const USER_TIMEOUT_MS: u64 = 3_000;

/// Why a link ended.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Io {
        /// The error of the system.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// This node closed the connection, since the peer did not answer.
    #[snafu(display("the connection was given up, since the peer did not answer"))]
    GivenUp,
    /// The peer sent an invalid message.
    #[snafu(display("{source}"))]
    Protocol {
        /// Why the message is invalid.
        source: FrameError,
    },
}

/// Sets the socket options for short messages, and for peers that stop responding.
///
/// # Errors
///
/// Returns an error when the system rejects an option.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(USER_TIMEOUT_MS)))
}

/// Writes the messages of `outbox` and passes received ones to `on_frame`, until the connection
/// ends.
///
/// `on_sent` is called with the kind and the size in bytes of each message that is written.
///
/// # Errors
///
/// Returns why the connection ended.
pub(crate) async fn run(
    stream: &TcpStream,
    outbox: &Outbox,
    on_sent: impl Fn(&'static str, usize),
    mut on_frame: impl FnMut(Frame),
) -> Result<(), LinkError> {
    let mut codec = frame::codec();
    let mut buf = BytesMut::new();
    let mut out = BytesMut::new();
    let mut turn = Turn::default();
    loop {
        turn.end_if_used().await;
        if out.is_empty() {
            // Frees the buffer, so that an idle link holds no memory for messages.
            out = BytesMut::new();
            outbox
                .fill(&mut codec, &mut out, &on_sent)
                .context(ProtocolSnafu)?;
        }
        if outbox.is_closed() {
            return GivenUpSnafu.fail();
        }
        tokio::select! {
            biased;
            result = write(stream, &mut out), if !out.is_empty() => {
                turn.record(result.context(IoSnafu)?);
            }
            result = receive(stream, |bytes| buf.extend_from_slice(bytes)) => {
                let count = result.context(IoSnafu)?;
                if count == 0 {
                    return ClosedSnafu.fail();
                }
                turn.record(count);
                while let Some(frame) = frame::decode(&mut codec, &mut buf).context(ProtocolSnafu)? {
                    on_frame(frame);
                }
                if buf.is_empty() {
                    buf = BytesMut::new();
                }
            }
            () = outbox.changed(), if out.is_empty() => {}
        }
    }
}

/// Writes bytes from the front of `out`, and returns their count.
async fn write(stream: &TcpStream, out: &mut BytesMut) -> io::Result<usize> {
    loop {
        match stream.try_write(out) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                out.advance(count);
                return Ok(count);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
}
