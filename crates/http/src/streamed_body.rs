//! Writes a streamed body to a caller's connection.

use std::io;

use futures_util::stream::StreamExt;
use ntex::codec::Encoder;
use ntex::http::Response;
use ntex::http::body::BodySize;
use ntex::http::h1::{Codec, Message};
use ntex::util::{Bytes, BytesMut};

use crate::BodyStream;

/// The start of a status line for a caller that cannot read chunks.
const HTTP_10: &[u8] = b"HTTP/1.0";

/// A streamed body of which a part may already be written.
pub(crate) struct StreamedBody {
    codec: Codec,
    stream: BodyStream,
    /// How many bytes were encoded.
    encoded: u64,
    /// Whether the end of the connection is the end of the body.
    ends_with_connection: bool,
}

impl StreamedBody {
    /// Returns the rest of a body whose first `encoded` bytes were encoded by `codec`.
    pub(crate) fn new(codec: Codec, stream: BodyStream, encoded: usize) -> Self {
        let ends_with_connection = stream.length.is_none() && !reads_chunks(&codec);
        Self {
            codec,
            stream,
            encoded: encoded as u64,
            ends_with_connection,
        }
    }

    /// Returns whether the end of the connection is the end of the body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Waits for the next piece; none is the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is truncated.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.stream.pieces.next().await.transpose()
    }

    /// Encodes a piece, or the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body has another length than its head declared.
    pub(crate) fn encode(&mut self, piece: Option<Bytes>, out: &mut BytesMut) -> io::Result<()> {
        self.encoded += piece.as_ref().map_or(0, |piece| piece.len() as u64);
        let ended = piece.is_none();
        let fits = self.stream.length.is_none_or(|length| match ended {
            true => self.encoded == length,
            false => self.encoded <= length,
        });
        if !fits {
            return Err(io::ErrorKind::InvalidData.into());
        }
        // The codec takes an empty chunk for the last one.
        if piece.as_ref().is_some_and(Bytes::is_empty) {
            return Ok(());
        }
        let result = self.codec.encode(Message::Chunk(piece), out);
        result.map_err(|e| io::Error::other(e.to_string()))
    }
}

/// Returns whether the caller whose request `codec` decoded can read chunks.
pub(crate) fn reads_chunks(codec: &Codec) -> bool {
    // The codec shows the version of the request only in what it encodes.
    let (head, _) = Response::new(ntex::http::StatusCode::OK).into_parts();
    let mut out = BytesMut::new();
    let result = codec
        .clone()
        .encode(Message::Item((head, BodySize::Empty)), &mut out);
    result.is_ok() && !out.starts_with(HTTP_10)
}
