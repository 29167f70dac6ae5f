//! Reads the body of a response piece by piece, at the pace of the reader.

use std::fmt::{self, Formatter};

use ntex::codec::Decoder;
use ntex::http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use ntex::http::{Method, ResponseHead};
use ntex::util::{Bytes, BytesMut};

use super::{
    ClientConn, FRAMING_BYTES, FRAMING_FACTOR, MAX_DISCARDED, declared_length, encode,
    has_zero_length, is_bodiless, is_framed, payload_error,
};
use crate::error::{self, ExchangeError};
use crate::{Request, Response};

/// The receive buffer of a connection whose response is streamed, in bytes. The system holds twice as
/// much; without a limit it may hold megabytes that nobody reads.
const RECEIVE_BYTES: usize = 64 * 1024;

/// How the end of a body is found.
enum Framing {
    /// By its length or its last chunk.
    Payload(ClientPayloadCodec),
    /// It is the end of the connection.
    Connection,
    /// The end was reached.
    Complete,
}

/// The body of a response, of which a part may not have arrived.
///
/// It holds the connection; dropping it cancels the request at the server.
pub struct BodyReader {
    conn: ClientConn,
    /// The rest of the request.
    out: BytesMut,
    framing: Framing,
    length: Option<u64>,
    /// Decoded bytes that were not returned yet.
    ready: BytesMut,
    /// How many bytes arrived after the head, and how many of them were decoded as the body.
    received: u64,
    decoded: u64,
    /// Whether the response and the request allow the connection to be reused.
    reusable: bool,
}

impl ClientConn {
    /// Sends a request and reads the head of its response; those that `matches` rejects are
    /// discarded. At most `read_bytes` bytes are read ahead.
    ///
    /// Only the body of a successful response is left to the reader; the returned response has the
    /// body of any other one, whose reader is complete.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid head arrived, or no complete response that is not successful.
    pub async fn exchange_streamed(
        mut self,
        request: Request,
        read_bytes: usize,
        matches: impl Fn(&ResponseHead) -> bool,
    ) -> Result<(Response, BodyReader), ExchangeError> {
        self.reusable = false;
        self.read_bytes = read_bytes;
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(e) = socket.set_recv_buffer_size(RECEIVE_BYTES) {
            log::warn!(error = e.to_string().as_str(); "a receive buffer cannot be limited");
        }
        let is_head = request.method == Method::HEAD;
        let mut out = BytesMut::new();
        let sender = ClientCodec::new(self.date.clone(), true);
        encode(&sender, request, &mut out)?;
        for _ in 0..=MAX_DISCARDED {
            let codec = ClientCodec::new(self.date.clone(), true);
            let head = self.read_head(&codec, &mut out).await?;
            let last = !head.status.is_informational() && matches(&head);
            let (framing, body) = if last && head.status.is_success() {
                (framing(codec, &head, is_head), Bytes::new())
            } else {
                let body = self.read_body(codec, &head, is_head, &mut out).await?;
                (Framing::Complete, body)
            };
            if !last {
                continue;
            }
            self.update_reuse(&head, sender.keepalive());
            let reusable = std::mem::replace(&mut self.reusable, false);
            let reader = BodyReader {
                received: self.buf.len() as u64,
                length: declared_length(&head),
                conn: self,
                out,
                framing,
                ready: BytesMut::new(),
                decoded: 0,
                reusable,
            };
            let response = Response {
                status: head.status,
                headers: head.headers,
                body,
            };
            return Ok((response, reader));
        }
        error::UnmatchedSnafu {
            count: MAX_DISCARDED + 1,
        }
        .fail()
    }
}

impl BodyReader {
    /// Returns the length that the head declared, if it did.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether the whole body was returned.
    pub fn is_complete(&self) -> bool {
        matches!(self.framing, Framing::Complete) && self.ready.is_empty()
    }

    /// Waits for more of the body and returns up to `max` bytes, or none at its end.
    ///
    /// The future may be dropped at any point without losing bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is truncated or not valid; it has no more pieces then.
    pub async fn next(&mut self, max: usize) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            self.decode(max)?;
            if !self.ready.is_empty() {
                let piece = self.ready.split_to(max.min(self.ready.len())).freeze();
                // Finds the end of the body if it has arrived, so that no further read is needed.
                self.decode(max)?;
                return Ok(Some(piece));
            }
            if matches!(self.framing, Framing::Complete) {
                return Ok(None);
            }
            self.fill().await?;
        }
    }

    /// Returns the connection if the whole body has arrived and it can be reused.
    pub fn into_conn(mut self) -> Option<ClientConn> {
        let reusable = self.reusable && self.is_complete() && self.out.is_empty();
        self.conn.reusable = reusable;
        self.conn.read_bytes = usize::MAX;
        reusable.then_some(self.conn)
    }

    /// Decodes received bytes until `max` are ready.
    fn decode(&mut self, max: usize) -> Result<(), ExchangeError> {
        while self.ready.len() < max {
            let chunk = match &self.framing {
                Framing::Complete => return Ok(()),
                Framing::Connection if self.conn.buf.is_empty() => return Ok(()),
                Framing::Connection => self.conn.buf.split().freeze(),
                Framing::Payload(codec) => match codec.decode(&mut self.conn.buf) {
                    Ok(Some(Some(chunk))) => chunk,
                    Ok(Some(None)) => {
                        self.framing = Framing::Complete;
                        return Ok(());
                    }
                    Ok(None) => return self.check_framing(),
                    Err(e) => return Err(payload_error(e)),
                },
            };
            self.decoded += chunk.len() as u64;
            self.ready.extend_from_slice(&chunk);
        }
        Ok(())
    }

    /// Checks that the framing is not much longer than the body.
    fn check_framing(&self) -> Result<(), ExchangeError> {
        if self.received <= FRAMING_BYTES as u64 + self.decoded * FRAMING_FACTOR as u64 {
            return Ok(());
        }
        let reason = "its chunk framing is too long for its body".to_owned();
        error::MalformedSnafu { reason }.fail()
    }

    async fn fill(&mut self) -> Result<(), ExchangeError> {
        match self.conn.fill(&mut self.out).await {
            // A failed write may have consumed the error that a reset would show here.
            Ok(0) if matches!(self.framing, Framing::Connection) => {
                self.framing = Framing::Complete;
                Ok(())
            }
            Ok(0) | Err(_) => error::TruncatedSnafu {
                bytes: self.decoded as usize,
            }
            .fail(),
            Ok(count) => {
                self.received += count as u64;
                Ok(())
            }
        }
    }
}

impl fmt::Debug for BodyReader {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyReader")
            .field("conn", &self.conn)
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

fn framing(codec: ClientCodec, head: &ResponseHead, is_head: bool) -> Framing {
    if is_head || is_bodiless(head) {
        return Framing::Complete;
    }
    if !is_framed(head) {
        return Framing::Connection;
    }
    if codec.message_type() == MessageType::None || has_zero_length(head) {
        return Framing::Complete;
    }
    Framing::Payload(codec.into_payload_codec())
}
