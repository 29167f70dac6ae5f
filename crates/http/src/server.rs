//! The connection of a caller: requests side by side, answers in order.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use ntex::codec::{Decoder, Encoder};
use ntex::http::body::BodySize;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, Message, PayloadDecoder, PayloadItem, PayloadType};
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{ConnectionType, DateService, Method, RequestHead, Response, StatusCode, Version};
use ntex::util::{Buf, BytesMut};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::connection::{CLOSE, names};
use crate::io::{fill, flush};
use crate::{Answer, ConnLimits, Request};

/// How long the end of a connection waits for the caller to take the last answer.
const LINGER_MS: u64 = 1_000;
/// How many bytes are read ahead while as many requests run as may, so that a caller's end is
/// noticed; some small requests.
const AHEAD_BYTES: usize = 64 * 1024;
/// The empty line that some callers send behind a body.
const EMPTY_LINE: &[u8] = b"\r\n";
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that runs, or the answer to one that was rejected while it was read.
struct Pending {
    codec: Codec,
    /// Whether the connection may stay after the answer.
    keep: bool,
    work: Work,
}

enum Work {
    Running(AbortOnDrop),
    Done(Answer),
}

/// A task that ends when its handle is dropped.
struct AbortOnDrop(JoinHandle<Answer>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request whose body is still arriving.
struct Body {
    request: Request,
    codec: Codec,
    keep: bool,
    decoder: PayloadDecoder,
    bytes: BytesMut,
}

/// What of a request is still to arrive.
enum Reading {
    Head,
    Body(Box<Body>),
    /// Nothing more is read, since the connection ends.
    Ended,
}

struct Conn<L, C, B: Fn(&Request, usize)> {
    stream: TcpStream,
    buf: BytesMut,
    out: BytesMut,
    codec: Codec,
    reading: Reading,
    pending: VecDeque<Pending>,
    limits: L,
    closing: C,
    cut: B,
    since: Instant,
}

impl<L, C, B: Fn(&Request, usize)> Drop for Conn<L, C, B> {
    fn drop(&mut self) {
        if let Reading::Body(body) = &self.reading {
            (self.cut)(&body.request, body.bytes.len());
        }
    }
}

/// Serves the requests of one caller's connection until it ends.
///
/// `limits` is asked for each request, since they may change. While `closing` says so, the last
/// answer that is due ends the connection. A caller that closes its connection has its requests
/// dropped, since a half-closed connection cannot be told from one that is given up. `cut` is
/// told of a request whose body was still arriving then, with the bytes of it that had come.
pub async fn serve<H, F, L, C, B>(
    stream: TcpStream,
    date: DateService,
    limits: L,
    closing: C,
    cut: B,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Answer> + 'static,
    L: Fn() -> ConnLimits,
    C: Fn() -> bool,
    B: Fn(&Request, usize),
{
    let mut conn = Conn {
        stream,
        buf: BytesMut::new(),
        out: BytesMut::new(),
        codec: Codec::new(date, true),
        reading: Reading::Head,
        pending: VecDeque::new(),
        limits,
        closing,
        cut,
        since: Instant::now(),
    };
    if let Err(e) = conn.run(handler).await {
        log::debug!(error = e.to_string().as_str(); "a caller's connection ended");
    }
}

impl<L, C, B> Conn<L, C, B>
where
    L: Fn() -> ConnLimits,
    C: Fn() -> bool,
    B: Fn(&Request, usize),
{
    async fn run<H, F>(&mut self, handler: H) -> io::Result<()>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Answer> + 'static,
    {
        loop {
            self.read_requests(&handler);
            if self.is_over() {
                return self.linger().await;
            }
            self.step().await?;
            if self.is_idle() && self.since.elapsed() >= self.patience() {
                return Ok(());
            }
        }
    }

    /// Waits for the next answer, room to write, bytes to read or the end of the patience.
    async fn step(&mut self) -> io::Result<()> {
        let deadline = self.since + self.patience();
        let idle = self.is_idle();
        let reads = self.reads();
        tokio::select! {
            biased;
            (turn, answer) = front(&mut self.pending), if !self.pending.is_empty() => {
                self.answer(turn, answer);
            }
            result = flush(&self.stream, &mut self.out), if !self.out.is_empty() => result?,
            result = fill(&self.stream, &mut self.buf), if reads => self.filled(result?)?,
            () = sleep_until(deadline), if idle => {}
        }
        Ok(())
    }

    /// Takes note of a read; the end of the stream ends the connection and all its requests.
    fn filled(&mut self, count: usize) -> io::Result<()> {
        if count == 0 {
            self.pending.clear();
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if matches!(self.reading, Reading::Ended) {
            // What follows the last request is never read as one.
            self.buf.clear();
        }
        if self.buf.len() == count {
            // The first bytes of a request end the time without one.
            self.since = Instant::now();
        }
        Ok(())
    }

    /// Returns whether more bytes are taken from the caller.
    fn reads(&self) -> bool {
        let room = self.pending.len() < (self.limits)().pipelined;
        room || self.buf.len() < AHEAD_BYTES
    }

    /// Returns whether no request is on its way in or out.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.out.is_empty()
    }

    /// Returns whether all answers are written and none will follow.
    fn is_over(&self) -> bool {
        self.is_idle() && matches!(self.reading, Reading::Ended)
    }

    /// Returns how long the connection may stay as it is.
    fn patience(&self) -> Duration {
        let limits = (self.limits)();
        let waits = self.buf.is_empty() && matches!(self.reading, Reading::Head);
        Duration::from_millis(if waits {
            limits.idle_ms
        } else {
            limits.header_ms
        })
    }

    /// Decodes what has arrived and starts the requests that are whole.
    fn read_requests<H, F>(&mut self, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Answer> + 'static,
    {
        let limits = (self.limits)();
        while self.pending.len() < limits.pipelined {
            let step = match std::mem::replace(&mut self.reading, Reading::Ended) {
                Reading::Head => self.read_head(limits),
                Reading::Body(body) => self.read_body(limits, body),
                Reading::Ended => return,
            };
            match step {
                Step::More(reading) => {
                    self.reading = reading;
                    return;
                }
                Step::Goes(reading) => self.reading = reading,
                Step::Whole(arrived) => self.start(*arrived, handler),
                Step::Reject(status) => self.reject(status),
            }
        }
    }

    fn read_head(&mut self, limits: ConnLimits) -> Step {
        while self.buf.starts_with(EMPTY_LINE) {
            self.buf.advance(EMPTY_LINE.len());
        }
        if self.buf.is_empty() {
            return Step::More(Reading::Head);
        }
        let before = self.buf.len();
        let (mut message, payload) = match self.codec.decode(&mut self.buf) {
            Ok(Some(item)) => item,
            Ok(None) if before > limits.header_bytes => {
                return Step::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Ok(None) => return Step::More(Reading::Head),
            Err(DecodeError::TooLarge(_)) => {
                return Step::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Err(e) => {
                log::debug!(error = e.to_string().as_str(); "a request is not HTTP");
                return Step::Reject(StatusCode::BAD_REQUEST);
            }
        };
        if before - self.buf.len() > limits.header_bytes {
            return Step::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        self.since = Instant::now();
        let expects = message.head().expect();
        let head = message.head_mut();
        if is_doubtful(head, &payload) {
            log::debug!("the framing of a request is in doubt");
            return Step::Reject(StatusCode::BAD_REQUEST);
        }
        let keep = self.codec.keepalive() && !names(&head.headers, CLOSE);
        let request = Request {
            method: std::mem::take(&mut head.method),
            uri: std::mem::take(&mut head.uri),
            headers: std::mem::replace(&mut head.headers, ntex::http::HeaderMap::new()),
            body: ntex::util::Bytes::new(),
        };
        let codec = self.codec.clone();
        match payload {
            PayloadType::None => Step::Whole(Box::new(Arrived {
                codec,
                keep,
                request,
            })),
            PayloadType::Payload(decoder) => {
                if expects && self.is_idle() {
                    self.out.extend_from_slice(CONTINUE);
                }
                let bytes = BytesMut::new();
                Step::Goes(Reading::Body(Box::new(Body {
                    request,
                    codec,
                    keep,
                    decoder,
                    bytes,
                })))
            }
            PayloadType::Stream(_) if request.method == Method::CONNECT => {
                Step::Reject(StatusCode::NOT_IMPLEMENTED)
            }
            // An offer of another protocol is not taken up; what may follow it is not read.
            PayloadType::Stream(_) => Step::Whole(Box::new(Arrived {
                codec,
                keep: false,
                request,
            })),
        }
    }

    fn read_body(&mut self, limits: ConnLimits, mut body: Box<Body>) -> Step {
        loop {
            match body.decoder.decode(&mut self.buf) {
                Ok(Some(PayloadItem::Chunk(chunk))) => body.bytes.extend_from_slice(&chunk),
                Ok(Some(PayloadItem::Eof)) => {
                    body.request.body = body.bytes.freeze();
                    let Body {
                        codec,
                        keep,
                        request,
                        ..
                    } = *body;
                    return Step::Whole(Box::new(Arrived {
                        codec,
                        keep,
                        request,
                    }));
                }
                Ok(None) => return Step::More(Reading::Body(body)),
                Err(e) => {
                    log::debug!(error = e.to_string().as_str(); "a body is not HTTP");
                    return Step::Reject(StatusCode::BAD_REQUEST);
                }
            }
            self.since = Instant::now();
            if body.bytes.len() > limits.body_bytes {
                return Step::Reject(StatusCode::PAYLOAD_TOO_LARGE);
            }
        }
    }

    fn start<H, F>(&mut self, arrived: Arrived, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Answer> + 'static,
    {
        let Arrived {
            codec,
            keep,
            request,
        } = arrived;
        self.reading = match keep {
            true => Reading::Head,
            false => Reading::Ended,
        };
        let task = tokio::task::spawn_local(handler(request));
        let work = Work::Running(AbortOnDrop(task));
        self.pending.push_back(Pending { codec, keep, work });
    }

    fn reject(&mut self, status: StatusCode) {
        self.reading = Reading::Ended;
        let mut answer = Answer::new(status);
        answer.close = true;
        let codec = self.codec.clone();
        let work = Work::Done(answer);
        let keep = false;
        self.pending.push_back(Pending { codec, keep, work });
    }

    /// Writes an answer behind those before it.
    fn answer(&mut self, turn: Turn, answer: Answer) {
        let Turn { codec, keep } = turn;
        let last = self.pending.is_empty();
        let close = answer.close || !keep || (last && (self.closing)());
        let mut head = Response::new(answer.status);
        *head.headers_mut() = answer.headers;
        if close {
            head.head_mut().set_connection_type(ConnectionType::Close);
            self.reading = Reading::Ended;
            self.pending.clear();
        }
        let size = match answer.body.len() {
            0 => BodySize::Empty,
            length => BodySize::Sized(length as u64),
        };
        let (head, _) = head.into_parts();
        let result = codec
            .encode(Message::Item((head, size)), &mut self.out)
            .and_then(|()| match size {
                BodySize::Empty | BodySize::None | BodySize::Stream => Ok(()),
                BodySize::Sized(_) => {
                    codec.encode(Message::Chunk(Some(answer.body)), &mut self.out)
                }
            });
        if let Err(e) = result {
            log::warn!(error = e.to_string().as_str(); "an answer cannot be encoded");
            self.reading = Reading::Ended;
        }
        self.since = Instant::now();
    }

    /// Ends the connection so that the caller can still read the last answer.
    async fn linger(&mut self) -> io::Result<()> {
        let socket = socket2::SockRef::from(&self.stream);
        socket.shutdown(std::net::Shutdown::Write)?;
        let end = Instant::now() + Duration::from_millis(LINGER_MS);
        loop {
            self.buf.clear();
            tokio::select! {
                result = fill(&self.stream, &mut self.buf) => if result? == 0 { return Ok(()) },
                () = sleep_until(end) => return Ok(()),
            }
        }
    }
}

/// A whole request, with the codec that writes its answer.
struct Arrived {
    codec: Codec,
    keep: bool,
    request: Request,
}

/// What is left of a request when its answer is there.
struct Turn {
    codec: Codec,
    keep: bool,
}

/// What the reading of a connection came to.
enum Step {
    /// More bytes are needed.
    More(Reading),
    /// The next part of the request can be read.
    Goes(Reading),
    /// A request is whole.
    Whole(Box<Arrived>),
    /// A request is rejected, and the connection ends.
    Reject(StatusCode),
}

/// Waits for the answer to the oldest request.
async fn front(pending: &mut VecDeque<Pending>) -> (Turn, Answer) {
    let Some(first) = pending.front_mut() else {
        return std::future::pending().await;
    };
    if let Work::Running(task) = &mut first.work {
        let answer = match (&mut task.0).await {
            Ok(answer) => answer,
            Err(e) => {
                log::error!(error = e.to_string().as_str(); "a request's task ended");
                Answer::new(StatusCode::INTERNAL_SERVER_ERROR)
            }
        };
        first.work = Work::Done(answer);
    }
    match pending.pop_front() {
        Some(Pending {
            codec,
            keep,
            work: Work::Done(answer),
        }) => (Turn { codec, keep }, answer),
        Some(Pending {
            work: Work::Running(_),
            ..
        })
        | None => std::future::pending().await,
    }
}

/// Returns whether two readers of a request might disagree on where it ends.
///
/// The codec itself rejects a length beside chunks, several lengths and unknown encodings.
fn is_doubtful(head: &RequestHead, payload: &PayloadType) -> bool {
    let length = head.headers.contains_key(CONTENT_LENGTH);
    if let Some(encoding) = head.headers.get(TRANSFER_ENCODING) {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return length || !chunked || head.version != Version::HTTP_11;
    }
    length && matches!(payload, PayloadType::Stream(_))
}
