//! A connection and the bytes that were read from it and not yet used.

use std::io;
use std::time::Duration;

use ntex::codec::Decoder;
use ntex::http::Request;
use ntex::http::h1::{Codec, PayloadDecoder, PayloadItem, PayloadType};
use ntex::util::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How much is read at once; a page of the kernel's socket buffers.
const READ_BYTES: usize = 16 * 1024;
/// How much a peer may send ahead before it is left unread.
const AHEAD_BYTES: usize = 256 * 1024;
/// Lets bytes that were written reach the peer before a reset discards them.
const FLUSH: Duration = Duration::from_millis(5);

/// A connection with its input buffer.
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    pub(crate) input: BytesMut,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without it answers would wait for Nagle's algorithm; a failure only slows them.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: BytesMut::new(),
        }
    }

    /// Reads more; returns whether the connection is still open.
    pub(crate) async fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; READ_BYTES];
        let size = self.stream.read(&mut part).await?;
        self.input.extend_from_slice(&part[..size]);
        Ok(size > 0)
    }

    /// Waits for the next message; `None` when the connection ends.
    pub(crate) async fn next<D: Decoder>(&mut self, decoder: &D) -> io::Result<Option<D::Item>> {
        loop {
            let item = decoder.decode(&mut self.input);
            match item.map_err(|e| io::Error::other(format!("{e:?}")))? {
                Some(item) => return Ok(Some(item)),
                None if !self.fill().await? => return Ok(None),
                None => {}
            }
        }
    }

    /// Waits for the head of the next request.
    pub(crate) async fn request(
        &mut self,
        codec: &Codec,
    ) -> io::Result<Option<(Request, Option<PayloadDecoder>)>> {
        let Some((request, payload)) = self.next(codec).await? else {
            return Ok(None);
        };
        let body = match payload {
            PayloadType::None => None,
            PayloadType::Payload(decoder) | PayloadType::Stream(decoder) => Some(decoder),
        };
        Ok(Some((request, body)))
    }

    /// Reads a body to its end.
    pub(crate) async fn body(&mut self, decoder: Option<&PayloadDecoder>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let Some(decoder) = decoder else {
            return Ok(body);
        };
        loop {
            match self.next(decoder).await? {
                Some(PayloadItem::Chunk(part)) => body.extend_from_slice(&part),
                Some(PayloadItem::Eof) => return Ok(body),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
    }

    /// Waits until the peer closes; what it sends meanwhile is kept.
    pub(crate) async fn closed(&mut self) {
        while self.input.len() < AHEAD_BYTES {
            if !matches!(self.fill().await, Ok(true)) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Returns whether the connection is open; bytes that wait on it are an error.
    pub(crate) fn is_open(&self) -> io::Result<bool> {
        let mut part = [0; 1];
        match (self.input.is_empty(), self.stream.try_read(&mut part)) {
            (true, Err(e)) => Ok(e.kind() == io::ErrorKind::WouldBlock),
            (true, Ok(0)) => Ok(false),
            (_, _) => Err(io::Error::other("bytes that no request asked for")),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes while a peer's bytes are read, so that neither side waits for the other.
    pub(crate) async fn write_and_fill(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (mut reader, mut writer) = self.stream.split();
        let mut part = [0; READ_BYTES];
        let write = writer.write_all(bytes);
        tokio::pin!(write);
        loop {
            tokio::select! {
                done = &mut write => return done,
                size = reader.read(&mut part) => match size? {
                    0 => return Ok(()),
                    size => self.input.extend_from_slice(&part[..size]),
                }
            }
        }
    }

    /// Closes with a reset.
    pub(crate) async fn reset(self) {
        tokio::time::sleep(FLUSH).await;
        // A peer that is gone already needs no reset.
        let _ = self.stream.set_zero_linger();
    }
}
