//! A client connection that runs one exchange at a time.

mod body_buffer;
mod body_reader;

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
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
use snafu::{ResultExt, ensure};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::answer_room::AnswerRoom;
use crate::connection::{CLOSE, KEEP_ALIVE, has_option};
use crate::error::{self, ExchangeError};
use crate::io::{fill_up_to, flush, try_fill};
use crate::turn::Turn;
use crate::{Request, Response};
use body_buffer::BodyBuffer;

pub use body_reader::BodyReader;

/// The largest response body, in bytes; a tenth of the memory of a small instance.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// How many bytes of chunk sizes and extensions a body of any length may have.
const FRAMING_BYTES: usize = 64 * 1024;
/// How many more framing bytes each byte of the body allows; a chunk of one byte has five.
const FRAMING_FACTOR: usize = 8;
/// The longest response head, in bytes; the decoder panics on a longer field name.
const HEAD_BYTES: usize = u16::MAX as usize;
/// The statuses that HTTP defines; the library accepts all of three digits from 100.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// How many responses are discarded before the matching one: more than a faulty server sends by
/// mistake.
const MAX_DISCARDED: u32 = 8;
/// The percentage of the server's announced idle timeout during which a connection is reused.
const KEEP_ALIVE_PERCENT: u64 = 70;
/// The idle timeout of a connection whose server announces none, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// The parameter of the `Keep-Alive` header that announces the idle timeout in seconds.
const TIMEOUT_PARAMETER: &str = "timeout=";
/// The transfer encoding of a body sent in chunks.
const CHUNKED: &[u8] = b"chunked";

/// A client connection to a server.
#[derive(Debug)]
pub struct ClientConn {
    stream: TcpStream,
    date: DateService,
    buf: BytesMut,
    reusable: bool,
    /// How writing the rest of the request failed; none while the server accepts it.
    write_error: Option<io::ErrorKind>,
    idle_ms: u64,
    room: Rc<AnswerRoom>,
    /// The most bytes that one read returns.
    read_bytes: usize,
    turn: Turn,
}

impl ClientConn {
    /// Connects to a server within `timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Connect`] when the connection fails or is not established in time.
    pub async fn connect(
        address: SocketAddr,
        date: DateService,
        timeout_ms: u64,
    ) -> Result<Self, ExchangeError> {
        let connect = open(address);
        let stream = match timeout(Duration::from_millis(timeout_ms), connect).await {
            Ok(result) => result.context(error::ConnectSnafu)?,
            Err(_) => {
                let error = io::Error::from(io::ErrorKind::TimedOut);
                return Err(error).context(error::ConnectSnafu);
            }
        };
        Ok(Self {
            stream,
            date,
            buf: BytesMut::new(),
            reusable: true,
            write_error: None,
            idle_ms: DEFAULT_IDLE_MS,
            room: AnswerRoom::new(ANSWER_BYTES),
            read_bytes: usize::MAX,
            turn: Turn::default(),
        })
    }

    /// Makes the connection share a memory limit for responses with others.
    #[must_use]
    pub fn with_room(mut self, room: &Rc<AnswerRoom>) -> Self {
        self.room = Rc::clone(room);
        self
    }

    /// Returns whether the connection can be used for another exchange.
    ///
    /// It cannot once unexpected bytes or the end of the stream have arrived.
    pub fn is_reusable(&mut self) -> bool {
        if !self.reusable || !self.buf.is_empty() {
            return false;
        }
        match try_fill(&self.stream, &mut self.buf) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Returns how long the connection may be idle and still be reused, in milliseconds.
    pub fn idle_ms(&self) -> u64 {
        self.idle_ms
    }

    /// Sends a request and reads its response; those that `matches` rejects are discarded.
    ///
    /// The future may be dropped at any point; the connection must be dropped with it, which
    /// cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrived; the connection must not be reused then.
    pub async fn exchange(
        &mut self,
        request: Request,
        matches: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Response, ExchangeError> {
        self.reusable = false;
        let is_head = request.method == Method::HEAD;
        let mut out = BytesMut::new();
        let sender = ClientCodec::new(self.date.clone(), true);
        encode(&sender, request, &mut out)?;
        for _ in 0..=MAX_DISCARDED {
            // A new codec for each response, so that no state of the previous one is left.
            let codec = ClientCodec::new(self.date.clone(), true);
            let head = self.read_head(&codec, &mut out).await?;
            let body = self.read_body(codec, &head, is_head, &mut out).await?;
            if head.status.is_informational() || !matches(&head) {
                continue;
            }
            self.update_reuse(&head, sender.keepalive() && out.is_empty());
            return Ok(Response {
                status: head.status,
                headers: head.headers,
                body,
            });
        }
        error::UnmatchedSnafu {
            count: MAX_DISCARDED + 1,
        }
        .fail()
    }

    /// Waits for bytes of the response while writing the rest of the request.
    ///
    /// A server may respond and close the connection before it has read the whole request, so a
    /// failed write does not stop the reading.
    async fn fill(&mut self, out: &mut BytesMut) -> io::Result<usize> {
        self.turn.end_if_used().await;
        let result = self.fill_or_flush(out).await;
        if let Ok(count) = result {
            self.turn.record(count);
        }
        result
    }

    async fn fill_or_flush(&mut self, out: &mut BytesMut) -> io::Result<usize> {
        loop {
            tokio::select! {
                biased;
                result = fill_up_to(&self.stream, &mut self.buf, self.read_bytes) => return self.check_end(result),
                result = flush(&self.stream, out), if !out.is_empty() && self.write_error.is_none() => {
                    self.write_error = result.err().map(|e| e.kind());
                }
            }
        }
    }

    /// Replaces the end of the stream by the error that a failed write reported.
    ///
    /// A socket reports an error once: after a write has taken it, reads return the end of the
    /// stream also where the connection was reset. The system reports a reset as a broken pipe if
    /// the server had ended its side of the stream before; then that end is real.
    fn check_end(&self, result: io::Result<usize>) -> io::Result<usize> {
        match (result, self.write_error) {
            (Ok(0), Some(kind)) if kind != io::ErrorKind::BrokenPipe => Err(kind.into()),
            (result, _) => result,
        }
    }

    async fn read_head(
        &mut self,
        codec: &ClientCodec,
        out: &mut BytesMut,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            if !self.buf.is_empty()
                && let Some(head) = decode_head(codec, &mut self.buf)?
            {
                check_status(&head)?;
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

    /// Reads the body of the response with this head.
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
        if codec.message_type() == MessageType::None || has_zero_length(head) {
            return Ok(ntex::util::Bytes::new());
        }
        self.check_length(head)?;
        let payload = codec.into_payload_codec();
        let mut body = BodyBuffer::new(self.room.reservation(), declared_length(head));
        let mut received = self.buf.len();
        loop {
            match payload.decode(&mut self.buf) {
                Ok(Some(Some(chunk))) => body.append(&chunk)?,
                Ok(Some(None)) => return Ok(body.into_bytes()),
                Ok(None) if received > FRAMING_BYTES + body.len() * FRAMING_FACTOR => {
                    let reason = "its chunk framing is too long for its body".to_owned();
                    return error::MalformedSnafu { reason }.fail();
                }
                Ok(None) => received += self.fill_body(body.len(), out).await?,
                Err(e) => return Err(payload_error(e)),
            }
        }
    }

    /// Checks that a body of the declared length can be kept whole, so that none is read in vain.
    fn check_length(&self, head: &ResponseHead) -> Result<(), ExchangeError> {
        let limit = ANSWER_BYTES.min(self.room.longest());
        let fits = declared_length(head).is_none_or(|length| length <= limit as u64);
        ensure!(fits, error::TooLargeSnafu { limit });
        Ok(())
    }

    /// Waits for more of a body of which `bytes` are decoded; returns how many bytes arrived.
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

    /// Reads a body that ends with the connection; a reset counts as truncation.
    async fn read_to_end(
        &mut self,
        out: &mut BytesMut,
    ) -> Result<ntex::util::Bytes, ExchangeError> {
        let mut body = BodyBuffer::new(self.room.reservation(), None);
        body.append(&self.buf.split())?;
        loop {
            match self.fill(out).await {
                Ok(0) => return Ok(body.into_bytes()),
                Ok(_) => body.append(&self.buf.split())?,
                Err(_) => return error::TruncatedSnafu { bytes: body.len() }.fail(),
            }
        }
    }

    /// Records whether the connection can be reused, and its idle timeout.
    fn update_reuse(&mut self, head: &ResponseHead, sent: bool) {
        let framed = is_framed(head) || is_bodiless(head);
        self.reusable = sent && framed && is_persistent(head);
        if let Some(ms) = parse_keep_alive(head) {
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

/// Takes the next head from the front of `buf`, or returns none if it is incomplete.
///
/// The decoder sees at most [`HEAD_BYTES`], since it panics on a longer field name.
fn decode_head(
    codec: &ClientCodec,
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, ExchangeError> {
    if buf.len() <= HEAD_BYTES {
        return codec.decode(buf).map_err(decode_error);
    }
    let mut start = buf.split_to(HEAD_BYTES);
    let head = codec.decode(&mut start).map_err(decode_error)?;
    start.extend_from_slice(buf);
    *buf = start;
    Ok(head)
}

fn decode_error(e: DecodeError) -> ExchangeError {
    ExchangeError::Malformed {
        reason: e.to_string(),
    }
}

/// Checks that the status is one that may be passed on.
fn check_status(head: &ResponseHead) -> Result<(), ExchangeError> {
    let status = head.status.as_u16();
    ensure!(
        VALID_STATUSES.contains(&status),
        error::MalformedSnafu {
            reason: format!("{status} is not a valid HTTP status"),
        }
    );
    Ok(())
}

fn payload_error(e: PayloadError) -> ExchangeError {
    ExchangeError::Malformed {
        reason: e.to_string(),
    }
}

/// Returns whether a response with this status never has a body.
fn is_bodiless(head: &ResponseHead) -> bool {
    head.status.is_informational()
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED
}

/// Returns whether the head tells the length of the body.
fn is_framed(head: &ResponseHead) -> bool {
    is_chunked(head) || head.headers.contains_key(CONTENT_LENGTH)
}

/// Returns whether the head announces a body in chunks.
fn is_chunked(head: &ResponseHead) -> bool {
    let encoding = head.headers.get(TRANSFER_ENCODING);
    encoding.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(CHUNKED))
}

/// Returns the length of the body that the head declares, if it does; chunks have precedence.
fn declared_length(head: &ResponseHead) -> Option<u64> {
    if is_chunked(head) {
        return None;
    }
    let length = head.headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Returns whether the head announces an empty body, which the codec does not recognise in
/// HTTP/1.0.
fn has_zero_length(head: &ResponseHead) -> bool {
    let length = head.headers.get(CONTENT_LENGTH);
    length.is_some_and(|l| l.as_bytes().iter().all(|b| *b == b'0'))
}

/// Returns whether the server keeps the connection open after this response.
fn is_persistent(head: &ResponseHead) -> bool {
    let persistent = head.version == Version::HTTP_11 || has_option(&head.headers, KEEP_ALIVE);
    persistent && !has_option(&head.headers, CLOSE)
}

/// Returns the idle time for reuse from the server's `Keep-Alive` header, reduced by a margin for
/// requests in transit.
fn parse_keep_alive(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let value = value.to_ascii_lowercase();
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|p| p.strip_prefix(TIMEOUT_PARAMETER))?;
    let seconds: u64 = seconds.parse().ok()?;
    Some(seconds.saturating_mul(1_000 * KEEP_ALIVE_PERCENT) / 100)
}
