//! Reading and writing of a connection without buffers of its own while it is idle.

use std::cell::RefCell;
use std::io;

use ntex::util::{Buf, BytesMut};
use tokio::net::TcpStream;

/// The most bytes that one read takes; the receive window of a fast link in the target.
const READ_BYTES: usize = 64 * 1024;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Waits for bytes and passes them to `take`; zero stands for the end of the stream.
///
/// All connections of a thread read into the same memory, so one that is idle holds none.
///
/// # Errors
///
/// Returns the error of the connection.
pub async fn receive(stream: &TcpStream, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match try_receive(stream, &mut take) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Waits for bytes and appends them to `buf`; zero stands for the end of the stream.
pub(crate) async fn fill(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    receive(stream, |bytes| buf.extend_from_slice(bytes)).await
}

/// Appends the bytes that have arrived to `buf`; zero stands for the end of the stream.
pub(crate) fn try_fill(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    try_receive(stream, |bytes| buf.extend_from_slice(bytes))
}

fn try_receive(stream: &TcpStream, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    SCRATCH.with_borrow_mut(|scratch| {
        let count = stream.try_read(scratch)?;
        take(&scratch[..count]);
        Ok(count)
    })
}

/// Writes what the connection takes now from the front of `out`.
pub(crate) async fn flush(stream: &TcpStream, out: &mut BytesMut) -> io::Result<()> {
    loop {
        match stream.try_write(out) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                out.advance(count);
                return Ok(());
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
}
