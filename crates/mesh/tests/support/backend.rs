//! A backend server whose behavior is selected by the path of a request.
//!
//! The path after the route is one of these:
//!
//! - `echo`, `slow/MS`, `fail`, `unsigned`, `misdirected`, `full`;
//! - `answer/STATUS` runs the request and answers with the status, as `answer/STATUS/ID` does at one
//!   backend server; `answer-again/STATUS/MS` succeeds after some time for the first request for
//!   the target, and answers further ones with the status;
//! - `reject/STATUS` answers that the request did not run; `reject/STATUS/ID` does so at one backend
//!   server;
//! - `reset` resets the connection; `reset-once` does so only for the first request for the target
//!   at any backend server;
//! - `body/FRAMING/BYTES` streams a body, `sized` or `chunked`; `body/FRAMING/BYTES/HOW/AFTER` stops
//!   after some bytes: it `ends` the connection, `resets` it or `stays` silent. With `/once` at the
//!   end, it does so only for the first request for the target;
//! - `crash` ends the backend server with all its connections;
//! - `call/N` and `call/N/reset-once` first make N sequential calls to the route `inner` through
//!   the node of the instance. The query of a call consists of the caller's query, `first` or
//!   `repeat`, and a number.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream;
use ntex::http::DateService;
use oriolering_http::{
    Answer, BodyStream, Bytes, ConnLimits, HeaderMap, HeaderName, HeaderValue, Request, StatusCode,
    serve,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::raw::{RawPeer, sleep_ms};
use super::{CALLERS_PORT, get};

const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 65_536,
    body_bytes: 8_000_000,
    header_ms: 10_000,
    idle_ms: 60_000,
    pipelined: 1,
};
/// The health path of all services in the configurations.
const HEALTH_PATH: &str = "/health";
/// The load that answers report: nothing runs or waits on eight slots, at the usual speed.
pub const USUAL_LOAD: &str = "0,0,8,100";
pub const SIGNATURE: &str = "3e1b.07.5a2";
/// The body of an answer to a request that ran and failed.
pub const FAILURE_BODY: &str = "no database";

thread_local! {
    /// The targets for which [`is_first`] was called in this test.
    static SEEN_TARGETS: RefCell<HashSet<String>> = RefCell::default();
}

/// A request as the backend server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub method: String,
    pub target: String,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    /// The instance ID in its answers.
    answer_id: Rc<RefCell<String>>,
    pub service: String,
    pub address: SocketAddr,
    requests: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// The targets of requests that were dropped before they finished.
    dropped: Rc<RefCell<Vec<String>>>,
    running: Rc<Cell<usize>>,
    /// The maximum number of concurrent requests.
    peak: Rc<Cell<usize>>,
    /// Whether connections are accepted.
    accepting: Rc<Cell<bool>>,
    /// Notifies all connections that the backend server has crashed.
    crashed: Rc<Notify>,
    listening: Rc<RefCell<Option<AbortHandle>>>,
    /// Additional headers of all answers.
    extra_headers: Rc<RefCell<Vec<(&'static str, String)>>>,
    /// Additional headers of answers to misdirected requests.
    misdirected_headers: Rc<RefCell<Vec<(&'static str, String)>>>,
    /// Whether health answers have the additional headers, too.
    headers_in_health: Rc<Cell<bool>>,
    /// The load that its answers report, if they do.
    load: Rc<Cell<Option<&'static str>>>,
    /// How many bytes of streamed bodies were written.
    sent: Rc<Cell<usize>>,
    /// The times of health probes.
    probe_times: Rc<RefCell<Vec<Instant>>>,
}

/// The size of the pieces of streamed bodies, in bytes.
const PIECE_BYTES: usize = 8_000;

/// A body that is being streamed.
struct StreamedAnswer {
    how: String,
    /// How many bytes follow.
    left: usize,
    sent: Rc<Cell<usize>>,
    reset_connection: Rc<Notify>,
    guard: RunGuard,
}

impl StreamedAnswer {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        let count = self.left.min(PIECE_BYTES);
        if count > 0 {
            self.left -= count;
            self.sent.set(self.sent.get() + count);
            return Some((Ok(Bytes::from(vec![b'x'; count])), self));
        }
        match self.how.as_str() {
            "whole" => {
                self.guard.target = None;
                return None;
            }
            // Lets the bytes arrive, which a reset would discard.
            _ => sleep_ms(20).await,
        }
        match self.how.as_str() {
            "ends" => Some((Err(io::ErrorKind::Other.into()), self)),
            "resets" => {
                self.reset_connection.notify_one();
                std::future::pending().await
            }
            _ => std::future::pending().await,
        }
    }
}

/// Records that a request was dropped before it finished.
struct RunGuard {
    dropped: Rc<RefCell<Vec<String>>>,
    target: Option<String>,
    running: Rc<Cell<usize>>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
        self.dropped.borrow_mut().extend(self.target.take());
    }
}

impl Backend {
    pub async fn start(id: &str, service: &str, address: SocketAddr) -> Self {
        let backend = Self {
            id: id.to_owned(),
            answer_id: Rc::new(RefCell::new(id.to_owned())),
            service: service.to_owned(),
            address,
            requests: Rc::default(),
            dropped: Rc::default(),
            running: Rc::default(),
            peak: Rc::default(),
            accepting: Rc::new(Cell::new(true)),
            crashed: Rc::default(),
            listening: Rc::default(),
            extra_headers: Rc::default(),
            misdirected_headers: Rc::default(),
            headers_in_health: Rc::default(),
            load: Rc::new(Cell::new(Some(USUAL_LOAD))),
            sent: Rc::default(),
            probe_times: Rc::default(),
        };
        backend.listen().await;
        backend
    }

    /// Starts to accept connections, initially or after a crash.
    pub async fn listen(&self) {
        let listener = TcpListener::bind(self.address).await.expect("a port");
        let served = self.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !served.accepting.get() {
                    continue;
                }
                tokio::task::spawn_local(served.clone().serve_connection(stream));
            }
        });
        *self.listening.borrow_mut() = Some(task.abort_handle());
    }

    /// Closes all connections; new ones are refused until [`Self::listen`] is called.
    pub fn crash(&self) {
        if let Some(task) = self.listening.borrow_mut().take() {
            task.abort();
        }
        self.crashed.notify_waiters();
    }

    /// Returns whether the backend server accepts connections and has not crashed.
    pub fn is_listening(&self) -> bool {
        self.listening.borrow().is_some()
    }

    /// Returns how many requests for a target were received.
    pub fn request_count(&self, target: &str) -> usize {
        self.requests
            .borrow()
            .iter()
            .filter(|r| r.target == target)
            .count()
    }

    /// Returns how many requests whose targets have this prefix were received.
    pub fn request_count_by_prefix(&self, prefix: &str) -> usize {
        let requests = self.requests.borrow();
        requests
            .iter()
            .filter(|r| r.target.starts_with(prefix))
            .count()
    }

    /// Returns the first received request for a target.
    pub fn find(&self, target: &str) -> Option<ReceivedRequest> {
        let requests = self.requests.borrow();
        requests.iter().find(|r| r.target == target).cloned()
    }

    pub fn has_dropped(&self, target: &str) -> bool {
        self.dropped.borrow().iter().any(|t| t == target)
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns how many bytes of streamed bodies were written.
    pub fn sent_bytes(&self) -> usize {
        self.sent.get()
    }

    /// Returns the maximum number of concurrent requests since the last call.
    pub fn take_peak(&self) -> usize {
        self.peak.replace(self.running.get())
    }

    /// Closes each new connection immediately, or serves connections again.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
    }

    /// Sets the instance ID in answers.
    pub fn set_id(&self, id: &str) {
        *self.answer_id.borrow_mut() = id.to_owned();
    }

    /// Replaces the additional headers of all answers.
    pub fn set_answer_headers(&self, extra_headers: &[(&'static str, &str)]) {
        *self.extra_headers.borrow_mut() = to_owned_pairs(extra_headers);
    }

    /// Sets the additional headers of answers to misdirected requests.
    pub fn set_misdirected_headers(&self, extra_headers: &[(&'static str, &str)]) {
        *self.misdirected_headers.borrow_mut() = to_owned_pairs(extra_headers);
    }

    /// Sets whether health answers have the additional headers, too.
    pub fn set_headers_in_health(&self, enabled: bool) {
        self.headers_in_health.set(enabled);
    }

    /// Sets the load that its answers report, or that they report none.
    pub fn set_load(&self, load: Option<&'static str>) {
        self.load.set(load);
    }

    /// Returns the maximum number of requests and probes in any interval of length `span` that ends
    /// at `from` or later.
    pub fn max_requests_in(&self, span: Duration, from: Instant) -> usize {
        let mut times: Vec<Instant> = self.requests.borrow().iter().map(|r| r.at).collect();
        times.extend(self.probe_times.borrow().iter());
        times.sort_unstable();
        let ends = times.iter().filter(|at| **at >= from);
        let within = |end: &Instant| {
            let of_span = times.iter().filter(|at| **at <= *end && **at + span > *end);
            of_span.count()
        };
        ends.map(within).max().unwrap_or(0)
    }

    pub fn clear_requests(&self) {
        self.probe_times.borrow_mut().clear();
        self.requests.borrow_mut().clear();
    }

    /// Returns how many requests were received, without health probes.
    pub fn total_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    async fn serve_connection(self, stream: TcpStream) {
        let socket = socket2::SockRef::from(&stream)
            .try_clone()
            .expect("a handle");
        let reset_connection = Rc::new(Notify::new());
        let crashed = Rc::clone(&self.crashed);
        let (backend, reset_handle) = (self, Rc::clone(&reset_connection));
        let handler = move |request| backend.clone().answer(Rc::clone(&reset_handle), request);
        let date = DateService::default();
        tokio::select! {
            () = serve(stream, date, || LIMITS, || false, |_, _| {}, handler) => {}
            () = reset_connection.notified() => {}
            () = crashed.notified() => {}
        }
        let now = Some(std::time::Duration::ZERO);
        socket.set_linger(now).expect("an option");
    }

    async fn answer(self, reset_connection: Rc<Notify>, request: Request) -> Answer {
        let path = request.uri.path().to_owned();
        let target = request.uri.to_string();
        if path == HEALTH_PATH {
            self.probe_times.borrow_mut().push(Instant::now());
            return self.signed(StatusCode::OK, &request, None);
        }
        self.requests.borrow_mut().push(ReceivedRequest {
            at: Instant::now(),
            method: request.method.to_string(),
            target: target.clone(),
            headers: request.headers.clone(),
            body: request.body.to_vec(),
        });
        self.running.set(self.running.get() + 1);
        self.peak.set(self.peak.get().max(self.running.get()));
        let mut guard = RunGuard {
            dropped: Rc::clone(&self.dropped),
            target: Some(target.clone()),
            running: Rc::clone(&self.running),
        };
        let answer = self
            .run_behavior(&reset_connection, &request, &path, &target)
            .await;
        guard.target = None;
        answer
    }

    async fn run_behavior(
        &self,
        reset_connection: &Rc<Notify>,
        request: &Request,
        path: &str,
        target: &str,
    ) -> Answer {
        let parts: Vec<&str> = path.split('/').collect();
        match parts[2..] {
            ["slow", ms] => {
                sleep_ms(ms.parse().expect("milliseconds")).await;
                self.signed(StatusCode::OK, request, Some("slow"))
            }
            ["fail"] => self.signed(StatusCode::INTERNAL_SERVER_ERROR, request, Some("failed")),
            ["answer", status] => self.answer_with(status, request),
            ["answer", status, id] if id == self.id => self.answer_with(status, request),
            ["answer-again", _, ms] if is_first(target) => {
                sleep_ms(ms.parse().expect("milliseconds")).await;
                self.signed(StatusCode::OK, request, Some("slow"))
            }
            ["answer-again", status, _] => self.answer_with(status, request),
            ["reject", status] => self.reject_with(status, request),
            ["reject", status, id] if id == self.id => self.reject_with(status, request),
            ["unsigned"] => {
                let mut answer = self.signed(StatusCode::OK, request, Some("who knows"));
                answer.headers.remove("oriolering-response-signature");
                answer
            }
            ["misdirected"] if is_first(target) => {
                let mut answer = self.unsigned(StatusCode::MISDIRECTED_REQUEST, request);
                set_all(&mut answer, &self.misdirected_headers.borrow());
                answer
            }
            ["full"] if is_first(target) => {
                let mut answer = self.unsigned(StatusCode::SERVICE_UNAVAILABLE, request);
                set(&mut answer, "oriolering-not-executed", "1");
                answer
            }
            ["body", framing, bytes, ref end @ ..] => {
                let (how, after) = match end {
                    [_, _, "once"] if !is_first(target) => ("whole", bytes),
                    [how, after, ..] => (*how, *after),
                    [] | [_] => ("whole", bytes),
                };
                let mut answer = self.signed(StatusCode::OK, request, None);
                let count = |text: &str| text.parse().expect("a number");
                let body = StreamedAnswer {
                    how: how.to_owned(),
                    left: count(after),
                    sent: Rc::clone(&self.sent),
                    reset_connection: Rc::clone(reset_connection),
                    guard: RunGuard {
                        dropped: Rc::clone(&self.dropped),
                        target: Some(target.to_owned()),
                        running: Rc::clone(&self.running),
                    },
                };
                self.running.set(self.running.get() + 1);
                let length = (framing == "sized").then(|| count(bytes) as u64);
                let pieces = stream::unfold(body, StreamedAnswer::next);
                answer.rest = Some(Box::new(BodyStream::new(length, pieces)));
                answer
            }
            ["reset"] => reset(reset_connection).await,
            ["crash"] => {
                self.crash();
                std::future::pending().await
            }
            ["reset-once"] if is_first(target) => reset(reset_connection).await,
            ["call", calls] => {
                self.make_calls(request, calls, is_first(target)).await;
                self.signed(StatusCode::OK, request, Some("called"))
            }
            ["call", calls, "reset-once"] => {
                let first = is_first(target);
                self.make_calls(request, calls, first).await;
                match first {
                    true => reset(reset_connection).await,
                    false => self.signed(StatusCode::OK, request, Some("called")),
                }
            }
            _ => {
                let id = self.answer_id.borrow().clone();
                let body = [id.as_bytes(), b" ", &request.body].concat();
                let mut answer = self.unsigned(StatusCode::OK, request);
                set(&mut answer, "oriolering-response-signature", SIGNATURE);
                set(&mut answer, "x-end", "stays");
                set(&mut answer, "keep-alive", "timeout=5");
                answer.body = Bytes::from(body);
                answer
            }
        }
    }

    /// Answers a request that ran with a status, and names a retry time.
    fn answer_with(&self, status: &str, request: &Request) -> Answer {
        let mut answer = self.signed(parse_status(status), request, Some(FAILURE_BODY));
        set(&mut answer, "retry-after", "1");
        answer
    }

    /// Answers that a request did not run.
    fn reject_with(&self, status: &str, request: &Request) -> Answer {
        let mut answer = self.unsigned(parse_status(status), request);
        set(&mut answer, "oriolering-not-executed", "1");
        answer
    }

    /// Makes calls to the route `inner` as part of running `request`.
    async fn make_calls(&self, request: &Request, calls: &str, first: bool) {
        let id = request.headers.get("oriolering-request-id");
        let parent = id.expect("an identity").to_str().expect("text");
        let query = request.uri.query().unwrap_or_default();
        let run = if first { "first" } else { "repeat" };
        let node = SocketAddr::new(self.address.ip(), CALLERS_PORT);
        for number in 0..calls.parse().expect("a number") {
            let target = format!("/inner/echo?{query}-{run}-{number}");
            let call = get(&target).replace("id-1", &format!("{parent}.{run}{number}"));
            let mut caller = RawPeer::connect(node).await;
            caller.send(call).await;
            caller.reply().await;
        }
    }

    fn signed(&self, status: StatusCode, request: &Request, body: Option<&str>) -> Answer {
        let mut answer = self.unsigned(status, request);
        set(&mut answer, "oriolering-response-signature", SIGNATURE);
        answer.body = Bytes::from(body.unwrap_or_default().to_owned());
        answer
    }

    fn unsigned(&self, status: StatusCode, request: &Request) -> Answer {
        let mut answer = Answer::new(status);
        if let Some(id) = request.headers.get("oriolering-request-id") {
            let name = HeaderName::from_static("oriolering-request-id");
            answer.headers.insert(name, id.clone());
        }
        if let Some(load) = self.load.get() {
            set(&mut answer, "oriolering-server-load", load);
        }
        set(
            &mut answer,
            "oriolering-instance-id",
            &self.answer_id.borrow(),
        );
        if request.uri.path() != HEALTH_PATH || self.headers_in_health.get() {
            set_all(&mut answer, &self.extra_headers.borrow());
        }
        answer
    }
}

fn to_owned_pairs(extra_headers: &[(&'static str, &str)]) -> Vec<(&'static str, String)> {
    let headers = extra_headers.iter();
    headers
        .map(|(name, value)| (*name, (*value).to_owned()))
        .collect()
}

fn set_all(answer: &mut Answer, extra_headers: &[(&'static str, String)]) {
    for (name, value) in extra_headers {
        set(answer, name, value);
    }
}

fn parse_status(text: &str) -> StatusCode {
    text.parse().expect("a status")
}

fn is_first(target: &str) -> bool {
    SEEN_TARGETS.with_borrow_mut(|targets| targets.insert(target.to_owned()))
}

async fn reset(reset_connection: &Notify) -> Answer {
    reset_connection.notify_one();
    std::future::pending().await
}

fn set(answer: &mut Answer, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("a value");
    answer.headers.insert(HeaderName::from_static(name), value);
}
