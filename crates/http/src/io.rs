//! Socket reads and writes that hold no buffer for an idle connection.

use std::cell::RefCell;
use std::io;

use ntex::util::{Buf, BytesMut};
use tokio::net::TcpStream;

/// The most bytes that one read returns; the receive window of a fast link in the target
/// environment.
const READ_BYTES: usize = 64 * 1024;

thread_local! {
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Waits for bytes, passes them to `take` and returns their count; zero means the end of the
/// stream.
///
/// All connections of a thread read into the same buffer, so an idle one needs none of its own.
///
/// # Errors
///
/// Returns the I/O error of the connection.
pub async fn receive(stream: &TcpStream, take: impl FnMut(&[u8])) -> io::Result<usize> {
    receive_up_to(stream, READ_BYTES, take).await
}

async fn receive_up_to(
    stream: &TcpStream,
    max: usize,
    mut take: impl FnMut(&[u8]),
) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match try_receive(stream, max, &mut take) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Waits for bytes, appends them to `buf` and returns their count; zero means the end of the
/// stream.
pub(crate) async fn fill(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    receive(stream, |bytes| buf.extend_from_slice(bytes)).await
}

/// Waits for up to `max` bytes, appends them to `buf` and returns their count; zero means the end
/// of the stream.
pub(crate) async fn fill_up_to(
    stream: &TcpStream,
    buf: &mut BytesMut,
    max: usize,
) -> io::Result<usize> {
    receive_up_to(stream, max, |bytes| buf.extend_from_slice(bytes)).await
}

/// Appends the bytes that have already arrived to `buf` and returns their count; zero means the
/// end of the stream.
pub(crate) fn try_fill(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    try_receive(stream, READ_BYTES, |bytes| buf.extend_from_slice(bytes))
}

fn try_receive(stream: &TcpStream, max: usize, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    READ_BUFFER.with_borrow_mut(|buffer| {
        let count = stream.try_read(&mut buffer[..max.min(READ_BYTES)])?;
        take(&buffer[..count]);
        Ok(count)
    })
}

/// Waits until the socket accepts bytes from the front of `out`, and removes those written.
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
