//! A server connection: concurrent pipelined requests, responses in request order.

mod partial_request;

use std::any::Any;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use ntex::codec::{Decoder, Encoder};
use ntex::http::body::BodySize;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, Message, PayloadItem, PayloadType};
use ntex::http::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use ntex::http::{
    ConnectionType, DateService, HeaderMap, Method, RequestHead, Response, StatusCode, Version,
};
use ntex::util::{Buf, Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::connection::{CLOSE, has_option};
use crate::io::{fill, flush};
use crate::streamed_body::{StreamedBody, reads_chunks};
use crate::{Answer, BodyStream, ByteBudget, ByteReservation, ByteUse, ConnLimits, Request};

use partial_request::PartialRequest;

/// How long a closing connection stays half-open for the caller to read the last response.
const LINGER_MS: u64 = 1_000;
/// How many bytes are read ahead while the limit of pipelined requests is reached, so that the
/// end of the stream is noticed; enough for some small requests.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// The empty line that some callers send after a body.
const EMPTY_LINE: &[u8] = b"\r\n";
/// What a connection takes besides its buffered bytes, in bytes; many small heads add up.
const CONN_BYTES: usize = 4 * 1024;
/// The `retry-after` of requests that do not fit into memory, in seconds: most large bodies that
/// make progress are complete by then.
const RETRY_AFTER_S: &str = "1";
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request whose response is not yet written.
struct Pending {
    codec: Codec,
    /// Whether the connection may stay open after the response.
    keep_alive: bool,
    state: PendingState,
}

enum PendingState {
    Running(AbortOnDrop),
    Done(Answer),
}

/// A task that is aborted when its handle is dropped.
struct AbortOnDrop(JoinHandle<Answer>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Which part of the input is read next.
enum Reading {
    Head,
    Body(Box<PartialRequest>),
    /// No further request is read, since the connection is closing.
    Ended,
}

struct Conn<L, C, B: Fn(&Request, usize)> {
    stream: TcpStream,
    buf: BytesMut,
    /// The memory for `buf` while its bytes wait for the rest of a head, or for their turn.
    buffered: ByteReservation,
    budget: Rc<ByteBudget>,
    out: BytesMut,
    /// What the responses in `out` hold until they are written.
    held: Vec<Box<dyn Any>>,
    /// The rest of the response that is being written, if it is streamed.
    streaming: Option<StreamedBody>,
    /// When the caller last took bytes of a streamed response.
    taken_at: Instant,
    codec: Codec,
    reading: Reading,
    pending: VecDeque<Pending>,
    limits: L,
    closing: C,
    on_truncated: B,
    /// Start of the wait for the next request, or for the rest of the current one.
    waiting_since: Instant,
}

impl<L, C, B: Fn(&Request, usize)> Drop for Conn<L, C, B> {
    fn drop(&mut self) {
        if let Reading::Body(partial) = &self.reading {
            (self.on_truncated)(&partial.request, partial.bytes.len());
        }
    }
}

/// Serves the requests of one caller's connection until it ends.
///
/// `limits` is called for each request, since the limits may change. While `closing` returns
/// true, the connection is closed after the last pending response. When the caller closes the
/// connection, its requests are cancelled, since a half-closed connection cannot be told from an
/// abandoned one. If the body of a request was still arriving when the connection ended,
/// `on_truncated` is called with the request and the number of body bytes received.
///
/// A streamed response is read from its stream as the caller takes it. The connection is closed, with
/// the response truncated, if the stream fails or the caller takes nothing during the idle timeout.
pub async fn serve<H, F, L, C, B>(
    stream: TcpStream,
    date: DateService,
    limits: L,
    closing: C,
    on_truncated: B,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Answer> + 'static,
    L: Fn() -> ConnLimits,
    C: Fn() -> bool,
    B: Fn(&Request, usize),
{
    let budget = ByteBudget::unlimited();
    serve_within(budget, stream, date, limits, closing, on_truncated, handler).await;
}

/// Serves the requests of one caller's connection as [`serve`] does, within a memory budget.
///
/// A body that does not fit is not read until it does; if it does not within the header time, the
/// request is rejected with 503 and has not run. While memory is short, a large body that hardly
/// makes progress is rejected with 408.
pub async fn serve_within<H, F, L, C, B>(
    budget: Rc<ByteBudget>,
    stream: TcpStream,
    date: DateService,
    limits: L,
    closing: C,
    on_truncated: B,
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
        buffered: budget.reservation(ByteUse::Other),
        budget,
        out: BytesMut::new(),
        held: Vec::new(),
        streaming: None,
        taken_at: Instant::now(),
        codec: Codec::new(date, true),
        reading: Reading::Head,
        pending: VecDeque::new(),
        limits,
        closing,
        on_truncated,
        waiting_since: Instant::now(),
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
            self.check_body();
            self.count_buffered();
            if self.is_finished() {
                return self.linger().await;
            }
            self.handle_event().await?;
            if !self.is_blocked() && self.waiting_since.elapsed() >= self.timeout() {
                if self.is_idle() {
                    return Ok(());
                }
                if matches!(self.reading, Reading::Body(_)) {
                    self.reject(StatusCode::REQUEST_TIMEOUT);
                }
            }
            if matches!(self.reading, Reading::Body(_)) {
                // A caller that sends without a pause must not keep others waiting.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Returns whether the rest of a body does not fit into memory now.
    fn is_blocked(&self) -> bool {
        matches!(&self.reading, Reading::Body(partial) if partial.blocked_since.is_some())
    }

    /// Rejects a request whose body has waited too long for memory, or that keeps memory from
    /// others without making progress.
    fn check_body(&mut self) {
        let limit = Duration::from_millis((self.limits)().header_ms);
        let Reading::Body(partial) = &mut self.reading else {
            return;
        };
        if let Some(since) = partial.blocked_since {
            if since.elapsed() >= limit {
                self.reject_for_memory();
            }
        } else if partial.is_too_slow(limit) && self.budget.is_short() {
            self.reject(StatusCode::REQUEST_TIMEOUT);
        }
    }

    /// Counts the received bytes that are not decoded, and rejects the request if they do not fit.
    fn count_buffered(&mut self) {
        if matches!(self.reading, Reading::Ended) {
            // Bytes after the last request are never read as a request.
            self.buf = BytesMut::new();
        }
        let bytes = match self.buf.len() {
            0 => 0,
            bytes => bytes + CONN_BYTES,
        };
        if !self.buffered.resize(bytes) {
            self.reject_for_memory();
            self.buf = BytesMut::new();
            self.buffered.force(0);
        }
    }

    fn reject_for_memory(&mut self) {
        self.budget.record_rejected();
        self.reject(StatusCode::SERVICE_UNAVAILABLE);
    }

    /// Waits for the next response, for the socket to accept or deliver bytes, or for the timeout,
    /// and handles what comes first.
    async fn handle_event(&mut self) -> io::Result<()> {
        let (mut since, mut blocked) = (self.waiting_since, false);
        if let Reading::Body(partial) = &self.reading
            && let Some(at) = partial.blocked_since
        {
            (since, blocked) = (at, true);
        }
        let deadline = since + self.timeout();
        let timed = self.is_idle() || matches!(self.reading, Reading::Body(_));
        let may_read = self.may_read() && !blocked;
        let streaming = self.streaming.is_some();
        let unsent = !self.out.is_empty();
        let stalled_at = self.taken_at + Duration::from_millis((self.limits)().idle_ms);
        tokio::select! {
            biased;
            (context, answer) = next_response(&mut self.pending), if !self.pending.is_empty() && !streaming => {
                self.write_response(context, answer);
            }
            result = flush(&self.stream, &mut self.out), if !self.out.is_empty() => {
                result?;
                self.taken_at = Instant::now();
                self.release_held();
            }
            piece = next_piece(&mut self.streaming), if streaming && !unsent => {
                self.write_piece(piece)?;
            }
            result = fill(&self.stream, &mut self.buf), if may_read => self.handle_read(result?)?,
            () = self.budget.released(), if blocked => {}
            () = sleep_until(deadline), if timed => {}
            () = sleep_until(stalled_at), if streaming && unsent => {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }

    /// Handles a read of `count` bytes; the end of the stream ends the connection and cancels all
    /// its requests.
    fn handle_read(&mut self, count: usize) -> io::Result<()> {
        if count == 0 {
            self.pending.clear();
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if matches!(self.reading, Reading::Ended) {
            // Bytes after the last request are never read as a request.
            self.buf.clear();
        }
        if self.buf.len() == count {
            // The first bytes of a request end the idle time.
            self.waiting_since = Instant::now();
        }
        Ok(())
    }

    /// Returns whether more bytes may be read from the caller.
    fn may_read(&self) -> bool {
        let below_limit = self.pending.len() < (self.limits)().pipelined;
        below_limit || self.buf.len() < READ_AHEAD_BYTES
    }

    /// Returns whether no request is pending and all output is written.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.out.is_empty() && self.streaming.is_none()
    }

    /// Returns whether all responses are written and none will follow.
    fn is_finished(&self) -> bool {
        self.is_idle() && matches!(self.reading, Reading::Ended)
    }

    /// Returns how long the connection may wait for the caller.
    fn timeout(&self) -> Duration {
        let limits = (self.limits)();
        let waiting = self.buf.is_empty() && matches!(self.reading, Reading::Head);
        Duration::from_millis(if waiting {
            limits.idle_ms
        } else {
            limits.header_ms
        })
    }

    /// Decodes the received bytes and starts the complete requests.
    fn read_requests<H, F>(&mut self, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Answer> + 'static,
    {
        let limits = (self.limits)();
        while self.pending.len() < limits.pipelined {
            let result = match std::mem::replace(&mut self.reading, Reading::Ended) {
                Reading::Head => self.read_head(limits),
                Reading::Body(partial) => self.read_body(limits, partial),
                Reading::Ended => return,
            };
            match result {
                ReadResult::Incomplete(reading) => {
                    self.reading = reading;
                    return;
                }
                ReadResult::Next(reading) => self.reading = reading,
                ReadResult::Complete(received) => self.start(*received, handler),
                ReadResult::Reject(status) => self.reject(status),
            }
        }
    }

    fn read_head(&mut self, limits: ConnLimits) -> ReadResult {
        while self.buf.starts_with(EMPTY_LINE) {
            self.buf.advance(EMPTY_LINE.len());
        }
        if self.buf.is_empty() {
            return ReadResult::Incomplete(Reading::Head);
        }
        let before = self.buf.len();
        let (mut message, payload) = match self.codec.decode(&mut self.buf) {
            Ok(Some(item)) => item,
            Ok(None) if before > limits.header_bytes => {
                return ReadResult::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Ok(None) => return ReadResult::Incomplete(Reading::Head),
            Err(DecodeError::TooLarge(_)) => {
                return ReadResult::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Err(e) => {
                log::debug!(error = e.to_string().as_str(); "a request is not HTTP");
                return ReadResult::Reject(StatusCode::BAD_REQUEST);
            }
        };
        if before - self.buf.len() > limits.header_bytes {
            return ReadResult::Reject(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        self.waiting_since = Instant::now();
        let expects = message.head().expect();
        let head = message.head_mut();
        if has_ambiguous_framing(head, &payload) {
            log::debug!("the framing of a request is in doubt");
            return ReadResult::Reject(StatusCode::BAD_REQUEST);
        }
        let keep_alive = self.codec.keepalive() && !has_option(&head.headers, CLOSE);
        let request = Request {
            method: std::mem::take(&mut head.method),
            uri: std::mem::take(&mut head.uri),
            headers: std::mem::replace(&mut head.headers, ntex::http::HeaderMap::new()),
            body: ntex::util::Bytes::new(),
        };
        let codec = self.codec.clone();
        match payload {
            PayloadType::None => ReadResult::Complete(Box::new(ReceivedRequest {
                codec,
                keep_alive,
                request,
                reserved: self.budget.reservation(ByteUse::Body),
            })),
            PayloadType::Payload(decoder) => {
                let length = content_length(&request.headers);
                if length.is_some_and(|length| length > limits.body_bytes) {
                    return ReadResult::Reject(StatusCode::PAYLOAD_TOO_LARGE);
                }
                if expects && self.is_idle() {
                    self.out.extend_from_slice(CONTINUE);
                }
                ReadResult::Next(Reading::Body(Box::new(PartialRequest {
                    request,
                    codec,
                    keep_alive,
                    decoder,
                    length,
                    bytes: Vec::new(),
                    reserved: self.budget.reservation(ByteUse::Body),
                    blocked_since: None,
                    mark: (self.waiting_since, 0),
                })))
            }
            PayloadType::Stream(_) if request.method == Method::CONNECT => {
                ReadResult::Reject(StatusCode::NOT_IMPLEMENTED)
            }
            // A protocol upgrade is not accepted; bytes that may follow the request are not read.
            PayloadType::Stream(_) => ReadResult::Complete(Box::new(ReceivedRequest {
                codec,
                keep_alive: false,
                request,
                reserved: self.budget.reservation(ByteUse::Body),
            })),
        }
    }

    fn read_body(&mut self, limits: ConnLimits, mut partial: Box<PartialRequest>) -> ReadResult {
        loop {
            if !partial.make_room(self.buf.len(), limits.body_bytes) {
                partial.blocked_since.get_or_insert_with(Instant::now);
                return ReadResult::Incomplete(Reading::Body(partial));
            }
            if partial.blocked_since.take().is_some() {
                self.waiting_since = Instant::now();
                partial.mark = (self.waiting_since, partial.bytes.len());
            }
            match partial.decoder.decode(&mut self.buf) {
                Ok(Some(PayloadItem::Chunk(chunk))) => partial.bytes.extend_from_slice(&chunk),
                Ok(Some(PayloadItem::Eof)) => {
                    let PartialRequest {
                        codec,
                        keep_alive,
                        mut request,
                        bytes,
                        reserved,
                        ..
                    } = *partial;
                    request.body = Bytes::from(bytes);
                    return ReadResult::Complete(Box::new(ReceivedRequest {
                        codec,
                        keep_alive,
                        request,
                        reserved,
                    }));
                }
                Ok(None) => return ReadResult::Incomplete(Reading::Body(partial)),
                Err(e) => {
                    log::debug!(error = e.to_string().as_str(); "a body is not HTTP");
                    return ReadResult::Reject(StatusCode::BAD_REQUEST);
                }
            }
            self.waiting_since = Instant::now();
            if partial.bytes.len() > limits.body_bytes {
                return ReadResult::Reject(StatusCode::PAYLOAD_TOO_LARGE);
            }
        }
    }

    fn start<H, F>(&mut self, received: ReceivedRequest, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Answer> + 'static,
    {
        let ReceivedRequest {
            codec,
            keep_alive,
            request,
            reserved,
        } = received;
        self.reading = match keep_alive {
            true => Reading::Head,
            false => Reading::Ended,
        };
        let response = handler(request);
        let task = tokio::task::spawn_local(async move {
            let answer = response.await;
            // The handler holds the body until it ends.
            drop(reserved);
            answer
        });
        let state = PendingState::Running(AbortOnDrop(task));
        self.pending.push_back(Pending {
            codec,
            keep_alive,
            state,
        });
    }

    fn reject(&mut self, status: StatusCode) {
        self.reading = Reading::Ended;
        let mut answer = Answer::new(status);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let value = HeaderValue::from_static(RETRY_AFTER_S);
            answer.headers.insert(RETRY_AFTER, value);
        }
        answer.close = true;
        let codec = self.codec.clone();
        let state = PendingState::Done(answer);
        let keep_alive = false;
        self.pending.push_back(Pending {
            codec,
            keep_alive,
            state,
        });
    }

    /// Encodes a response into the output buffer.
    fn write_response(&mut self, context: ResponseContext, answer: Answer) {
        let ResponseContext { codec, keep_alive } = context;
        let unchunked = answer
            .rest
            .as_ref()
            .is_some_and(|rest| rest.length.is_none())
            && !reads_chunks(&codec);
        let keep_alive = keep_alive && !unchunked;
        let last = self.pending.is_empty();
        let close = answer.close || !keep_alive || (last && (self.closing)());
        self.held.extend(answer.held);
        let mut head = Response::new(answer.status);
        *head.headers_mut() = answer.headers;
        if close {
            head.head_mut().set_connection_type(ConnectionType::Close);
            self.reading = Reading::Ended;
            self.pending.clear();
        }
        head.head_mut().no_chunking(unchunked);
        let size = body_size(&answer.body, answer.rest.as_deref());
        let (head, _) = head.into_parts();
        let length = answer.body.len();
        let result = codec
            .encode(Message::Item((head, size)), &mut self.out)
            .and_then(|()| match length {
                0 => Ok(()),
                _ => codec.encode(Message::Chunk(Some(answer.body)), &mut self.out),
            });
        if let Err(e) = result {
            log::warn!(error = e.to_string().as_str(); "an answer cannot be encoded");
            self.reading = Reading::Ended;
        }
        let rest = answer.rest;
        self.streaming = rest.map(|rest| StreamedBody::new(codec, *rest, length));
        self.waiting_since = Instant::now();
        self.taken_at = self.waiting_since;
    }

    /// Encodes the next piece of a streamed response into the output buffer, or its end.
    fn write_piece(&mut self, piece: io::Result<Option<Bytes>>) -> io::Result<()> {
        let Some(body) = &mut self.streaming else {
            return Ok(());
        };
        self.taken_at = Instant::now();
        let ended = matches!(piece, Ok(None));
        let result = piece.and_then(|piece| body.encode(piece, &mut self.out));
        if let Err(e) = result {
            if body.ends_with_connection() {
                // An orderly end of the connection would look like the end of the body.
                socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            }
            return Err(e);
        }
        if ended {
            self.streaming = None;
            self.waiting_since = Instant::now();
            self.release_held();
        }
        Ok(())
    }

    /// Drops what the written responses hold, once all of them are written.
    fn release_held(&mut self) {
        if self.out.is_empty() && self.streaming.is_none() {
            self.held.clear();
        }
    }

    /// Closes the connection so that the caller can still read the last response.
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

/// A complete request, with the codec that encodes its response.
struct ReceivedRequest {
    codec: Codec,
    keep_alive: bool,
    request: Request,
    reserved: ByteReservation,
}

/// What is needed to write the response to a request.
struct ResponseContext {
    codec: Codec,
    keep_alive: bool,
}

/// The result of decoding a part of a request.
enum ReadResult {
    /// More bytes are needed.
    Incomplete(Reading),
    /// The head is complete, and the body can be read.
    Next(Reading),
    /// A request is complete.
    Complete(Box<ReceivedRequest>),
    /// The request is rejected, and the connection closes.
    Reject(StatusCode),
}

/// Returns how the length of a body is declared.
fn body_size(body: &Bytes, rest: Option<&BodyStream>) -> BodySize {
    let length = match rest {
        Some(rest) => rest.length,
        None => Some(body.len() as u64),
    };
    match length {
        None => BodySize::Stream,
        Some(0) => BodySize::Empty,
        Some(length) => BodySize::Sized(length),
    }
}

/// Waits for the next piece of a streamed response.
async fn next_piece(streaming: &mut Option<StreamedBody>) -> io::Result<Option<Bytes>> {
    match streaming {
        Some(body) => body.next().await,
        None => std::future::pending().await,
    }
}

/// Waits for the response to the oldest request.
async fn next_response(pending: &mut VecDeque<Pending>) -> (ResponseContext, Answer) {
    let Some(first) = pending.front_mut() else {
        return std::future::pending().await;
    };
    if let PendingState::Running(task) = &mut first.state {
        let answer = match (&mut task.0).await {
            Ok(answer) => answer,
            Err(e) => {
                log::error!(error = e.to_string().as_str(); "a request's task ended");
                Answer::new(StatusCode::INTERNAL_SERVER_ERROR)
            }
        };
        first.state = PendingState::Done(answer);
    }
    match pending.pop_front() {
        Some(Pending {
            codec,
            keep_alive,
            state: PendingState::Done(answer),
        }) => (ResponseContext { codec, keep_alive }, answer),
        Some(Pending {
            state: PendingState::Running(_),
            ..
        })
        | None => std::future::pending().await,
    }
}

/// Returns the announced length of a body; the codec has rejected lengths that are not valid.
fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// Returns whether two parsers might disagree on where a request ends, which allows request
/// smuggling.
///
/// The codec itself rejects a length together with chunked encoding, several lengths and unknown
/// encodings.
fn has_ambiguous_framing(head: &RequestHead, payload: &PayloadType) -> bool {
    let length = head.headers.contains_key(CONTENT_LENGTH);
    if let Some(encoding) = head.headers.get(TRANSFER_ENCODING) {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return length || !chunked || head.version != Version::HTTP_11;
    }
    length && matches!(payload, PayloadType::Stream(_))
}
