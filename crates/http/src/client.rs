//! A connection to a server that runs one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::codec::{Decoder, Encoder};
use ntex::http::body::BodySize;
use ntex::http::error::{DecodeError, PayloadError};
use ntex::http::h1::{ClientCodec, Message, MessageType};
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{
    DateService, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Version,
};
use ntex::util::BytesMut;
use snafu::ResultExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::answer_room::{AnswerPart, AnswerRoom};
use crate::connection::{CLOSE, KEEP_ALIVE, names};
use crate::error::{self, ExchangeError};
use crate::io::{fill, flush, try_fill};
use crate::{Request, Response};

/// The largest answer that is held, in bytes; a tenth of the memory of a small instance.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The bytes of chunk sizes and extensions that a body may have whatever its length.
const FRAMING_BYTES: usize = 64 * 1024;
/// How many bytes of them may come for each byte of a body; a chunk of one byte has five.
const FRAMING_FACTOR: usize = 8;
/// The most answers before the right one that are passed over: more than a faulty server sends
/// by mistake.
const STRAYS_MAX: u32 = 8;
/// The part of a peer's announced idle time in which a connection is used again.
const KEEP_ALIVE_PERCENT: u64 = 70;
/// The idle time of a connection whose peer announces none, in milliseconds.
const IDLE_MS: u64 = 4_000;
/// The parameter of the `Keep-Alive` header that announces the idle time in seconds.
const TIMEOUT: &str = "timeout=";
/// The encoding of a body whose length is not known in advance.
const CHUNKED: &[u8] = b"chunked";

/// A connection to a server.
#[derive(Debug)]
pub struct ClientConn {
    stream: TcpStream,
    date: DateService,
    buf: BytesMut,
    reusable: bool,
    /// Whether the rest of a request can still be written.
    writable: bool,
    idle_ms: u64,
    room: Rc<AnswerRoom>,
}

impl ClientConn {
    /// Connects to a server within `within_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Connect`] when the server does not accept in time.
    pub async fn connect(
        address: SocketAddr,
        date: DateService,
        within_ms: u64,
    ) -> Result<Self, ExchangeError> {
        let connect = open(address);
        let stream = match timeout(Duration::from_millis(within_ms), connect).await {
            Ok(result) => result.context(error::ConnectSnafu)?,
            Err(_) => {
                let late = io::Error::from(io::ErrorKind::TimedOut);
                return Err(late).context(error::ConnectSnafu);
            }
        };
        Ok(Self {
            stream,
            date,
            buf: BytesMut::new(),
            reusable: true,
            writable: true,
            idle_ms: IDLE_MS,
            room: AnswerRoom::new(ANSWER_BYTES),
        })
    }

    /// Shares the memory for answers with other connections.
    #[must_use]
    pub fn with_room(mut self, room: &Rc<AnswerRoom>) -> Self {
        self.room = Rc::clone(room);
        self
    }

    /// Returns whether the connection can carry another exchange.
    ///
    /// Bytes that nobody asked for, and the end of the stream, rule it out.
    pub fn is_reusable(&mut self) -> bool {
        if !self.reusable || !self.buf.is_empty() {
            return false;
        }
        match try_fill(&self.stream, &mut self.buf) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Returns how long the connection may stay idle before it is used again, in milliseconds.
    pub fn idle_ms(&self) -> u64 {
        self.idle_ms
    }

    /// Sends a request and reads its answer; answers that `wanted` rejects are passed over.
    ///
    /// The future may be dropped at any point; the connection must be dropped with it, which
    /// cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole answer arrived; the connection is of no use then.
    pub async fn exchange(
        &mut self,
        request: Request,
        wanted: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Response, ExchangeError> {
        self.reusable = false;
        let is_head = request.method == Method::HEAD;
        let mut out = BytesMut::new();
        let sender = ClientCodec::new(self.date.clone(), true);
        encode(&sender, request, &mut out)?;
        for _ in 0..=STRAYS_MAX {
            // What one answer left in a codec does not concern the next.
            let codec = ClientCodec::new(self.date.clone(), true);
            let head = self.read_head(&codec, &mut out).await?;
            let body = self.read_body(codec, &head, is_head, &mut out).await?;
            if head.status.is_informational() || !wanted(&head) {
                continue;
            }
            self.note_end(&head, sender.keepalive() && out.is_empty());
            return Ok(Response {
                status: head.status,
                headers: head.headers,
                body,
            });
        }
        error::StrayedSnafu {
            count: STRAYS_MAX + 1,
        }
        .fail()
    }

    /// Waits for bytes of the answer while the rest of the request is written.
    ///
    /// A server may answer and end before it has read everything, so what it sent is still read
    /// when nothing more can be written.
    async fn fill(&mut self, out: &mut BytesMut) -> io::Result<usize> {
        loop {
            tokio::select! {
                biased;
                result = fill(&self.stream, &mut self.buf) => return result,
                result = flush(&self.stream, out), if !out.is_empty() && self.writable => {
                    self.writable = result.is_ok();
                }
            }
        }
    }

    async fn read_head(
        &mut self,
        codec: &ClientCodec,
        out: &mut BytesMut,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            if !self.buf.is_empty()
                && let Some(head) = codec.decode(&mut self.buf).map_err(garbled)?
            {
                return Ok(head);
            }
            let reason = match self.fill(out).await {
                Ok(0) => "the server closed it".to_owned(),
                Ok(_) => continue,
                Err(e) => e.to_string(),
            };
            return error::ClosedSnafu { reason }.fail();
        }
    }

    /// Reads the body that belongs to `head`.
    async fn read_body(
        &mut self,
        codec: ClientCodec,
        head: &ResponseHead,
        is_head: bool,
        out: &mut BytesMut,
    ) -> Result<ntex::util::Bytes, ExchangeError> {
        if is_head || is_bodiless(head) {
            return Ok(ntex::util::Bytes::new());
        }
        if !is_framed(head) {
            return self.read_to_end(out).await;
        }
        if codec.message_type() == MessageType::None || is_empty(head) {
            return Ok(ntex::util::Bytes::new());
        }
        let payload = codec.into_payload_codec();
        let mut body = BytesMut::new();
        let mut part = self.room.begin();
        let mut received = self.buf.len();
        loop {
            match payload.decode(&mut self.buf) {
                Ok(Some(Some(chunk))) => append(&mut body, &mut part, &chunk)?,
                Ok(Some(None)) => return Ok(body.freeze()),
                Ok(None) if received > FRAMING_BYTES + body.len() * FRAMING_FACTOR => {
                    let reason = "the sizes of its chunks have no end".to_owned();
                    return error::GarbledSnafu { reason }.fail();
                }
                Ok(None) => received += self.fill_body(body.len(), out).await?,
                Err(e) => return Err(spoiled(e)),
            }
        }
    }

    /// Returns how many bytes arrived.
    async fn fill_body(
        &mut self,
        bytes: usize,
        out: &mut BytesMut,
    ) -> Result<usize, ExchangeError> {
        match self.fill(out).await {
            Ok(0) | Err(_) => error::TruncatedSnafu { bytes }.fail(),
            Ok(count) => Ok(count),
        }
    }

    /// Reads a body that ends with its connection; one that is reset is not whole.
    async fn read_to_end(
        &mut self,
        out: &mut BytesMut,
    ) -> Result<ntex::util::Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        let mut part = self.room.begin();
        append(&mut body, &mut part, &self.buf.split())?;
        loop {
            match self.fill(out).await {
                Ok(0) => return Ok(body.freeze()),
                Ok(_) => append(&mut body, &mut part, &self.buf.split())?,
                Err(_) => return error::TruncatedSnafu { bytes: body.len() }.fail(),
            }
        }
    }

    /// Notes whether the connection can be used again, and for how long.
    fn note_end(&mut self, head: &ResponseHead, sent: bool) {
        let framed = is_framed(head) || is_bodiless(head);
        self.reusable = sent && framed && stays_open(head);
        if let Some(ms) = scan_keep_alive(head) {
            self.idle_ms = ms;
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

fn encode(codec: &ClientCodec, request: Request, out: &mut BytesMut) -> Result<(), ExchangeError> {
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = request.uri;
    head.headers = request.headers;
    let size = match request.body.len() {
        0 if head.method == Method::GET || head.method == Method::HEAD => BodySize::None,
        0 => BodySize::Empty,
        length => BodySize::Sized(length as u64),
    };
    let head = RequestHeadType::Owned(Box::new(head));
    let result = codec.encode(Message::Item((head, size)), out);
    let result = result.and_then(|()| match request.body.is_empty() {
        true => Ok(()),
        false => codec.encode(Message::Chunk(Some(request.body)), out),
    });
    result.map_err(|e| ExchangeError::Encode {
        reason: e.to_string(),
    })
}

fn append(body: &mut BytesMut, part: &mut AnswerPart, chunk: &[u8]) -> Result<(), ExchangeError> {
    if body.len() + chunk.len() > ANSWER_BYTES {
        return error::TooLargeSnafu {
            limit: ANSWER_BYTES,
        }
        .fail();
    }
    if !part.grow(chunk.len()) {
        return error::CrowdedSnafu { bytes: body.len() }.fail();
    }
    body.extend_from_slice(chunk);
    Ok(())
}

fn garbled(e: DecodeError) -> ExchangeError {
    ExchangeError::Garbled {
        reason: e.to_string(),
    }
}

fn spoiled(e: PayloadError) -> ExchangeError {
    ExchangeError::Garbled {
        reason: e.to_string(),
    }
}

/// Returns whether an answer with this head never has a body.
fn is_bodiless(head: &ResponseHead) -> bool {
    head.status.is_informational()
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED
}

/// Returns whether the head says where its body ends.
fn is_framed(head: &ResponseHead) -> bool {
    let encoding = head.headers.get(TRANSFER_ENCODING);
    let chunked = encoding.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(CHUNKED));
    chunked || head.headers.contains_key(CONTENT_LENGTH)
}

/// Returns whether the head says that the body is empty; the codec does not see it in the old
/// version.
fn is_empty(head: &ResponseHead) -> bool {
    let length = head.headers.get(CONTENT_LENGTH);
    length.is_some_and(|l| l.as_bytes().iter().all(|b| *b == b'0'))
}

/// Returns whether the server keeps the connection after this answer.
fn stays_open(head: &ResponseHead) -> bool {
    let kept = head.version == Version::HTTP_11 || names(&head.headers, KEEP_ALIVE);
    kept && !names(&head.headers, CLOSE)
}

/// Returns the idle time that a server announces, with a margin for what is under way.
fn scan_keep_alive(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let value = value.to_ascii_lowercase();
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|p| p.strip_prefix(TIMEOUT))?;
    let seconds: u64 = seconds.parse().ok()?;
    Some(seconds.saturating_mul(1_000 * KEEP_ALIVE_PERCENT) / 100)
}
