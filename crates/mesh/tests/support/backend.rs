//! A backend server that does what the path of a request says.
//!
//! The last parts of the path name the behaviour: `echo`, `slow/MS`, `fail`, `unsigned`,
//! `misdirected`, `full`, `reset`, `reset-once`, which resets the first of all backend servers
//! that see the target, `crash`, which ends the backend server with all its connections, and
//! `call/N` and `call/N/reset-once`, which first make N calls, one after the other, to the route
//! `inner` through the node of the instance. Their queries name the caller's query, `first` or
//! `repeat`, and a number.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::http::DateService;
use oriolering_http::{
    Answer, Bytes, ConnLimits, HeaderMap, HeaderName, HeaderValue, Request, StatusCode, serve,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::raw::{Raw, pass};
use super::{CALLERS_PORT, get};

const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 65_536,
    body_bytes: 8_000_000,
    header_ms: 10_000,
    idle_ms: 60_000,
    pipelined: 1,
};
/// The path under which configurations name the health of all services.
const HEALTH_PATH: &str = "/health";
pub const SIGNATURE: &str = "3e1b.07.5a2";

thread_local! {
    /// The targets that were reset once in this test.
    static RESET: RefCell<HashSet<String>> = RefCell::default();
}

/// A request as it reached the backend server.
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
    /// The identity that it answers with.
    answers_as: Rc<RefCell<String>>,
    pub service: String,
    pub address: SocketAddr,
    seen: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// The targets whose work was dropped before its end.
    dropped: Rc<RefCell<Vec<String>>>,
    running: Rc<Cell<usize>>,
    /// The most requests that ran at once.
    peak: Rc<Cell<usize>>,
    /// Whether connections are accepted.
    up: Rc<Cell<bool>>,
    /// Tells all connections that the backend server has crashed.
    crashed: Rc<Notify>,
    listening: Rc<RefCell<Option<AbortHandle>>>,
    /// What all its answers say besides.
    says: Rc<RefCell<Vec<(&'static str, String)>>>,
    /// What its answers to requests for others say besides.
    misdirected_says: Rc<RefCell<Vec<(&'static str, String)>>>,
    /// Whether answers about its health say that, too.
    health_says: Rc<Cell<bool>>,
    /// When its health was asked for.
    probed: Rc<RefCell<Vec<Instant>>>,
}

/// Writes down that work was dropped before its end.
struct Guard {
    dropped: Rc<RefCell<Vec<String>>>,
    target: Option<String>,
    running: Rc<Cell<usize>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
        self.dropped.borrow_mut().extend(self.target.take());
    }
}

impl Backend {
    pub async fn start(id: &str, service: &str, address: SocketAddr) -> Self {
        let backend = Self {
            id: id.to_owned(),
            answers_as: Rc::new(RefCell::new(id.to_owned())),
            service: service.to_owned(),
            address,
            seen: Rc::default(),
            dropped: Rc::default(),
            running: Rc::default(),
            peak: Rc::default(),
            up: Rc::new(Cell::new(true)),
            crashed: Rc::default(),
            listening: Rc::default(),
            says: Rc::default(),
            misdirected_says: Rc::default(),
            health_says: Rc::default(),
            probed: Rc::default(),
        };
        backend.listen().await;
        backend
    }

    /// Accepts connections, at first and after a crash.
    pub async fn listen(&self) {
        let listener = TcpListener::bind(self.address).await.expect("a port");
        let served = self.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !served.up.get() {
                    continue;
                }
                tokio::task::spawn_local(served.clone().connection(stream));
            }
        });
        *self.listening.borrow_mut() = Some(task.abort_handle());
    }

    /// Ends with all connections; new ones are refused until it listens again.
    pub fn crash(&self) {
        if let Some(task) = self.listening.borrow_mut().take() {
            task.abort();
        }
        self.crashed.notify_waiters();
    }

    /// Returns whether it has not crashed.
    pub fn is_listening(&self) -> bool {
        self.listening.borrow().is_some()
    }

    /// Returns how often a target has reached this backend server.
    pub fn request_count(&self, target: &str) -> usize {
        self.seen
            .borrow()
            .iter()
            .filter(|s| s.target == target)
            .count()
    }

    /// Returns how many requests whose targets begin like this have reached it.
    pub fn request_count_by_prefix(&self, begin: &str) -> usize {
        let seen = self.seen.borrow();
        seen.iter().filter(|s| s.target.starts_with(begin)).count()
    }

    /// Returns the request with this target.
    pub fn find(&self, target: &str) -> Option<ReceivedRequest> {
        let seen = self.seen.borrow();
        seen.iter().find(|s| s.target == target).cloned()
    }

    pub fn has_dropped(&self, target: &str) -> bool {
        self.dropped.borrow().iter().any(|t| t == target)
    }

    /// Returns the most requests that ran at once since the last call.
    pub fn take_peak(&self) -> usize {
        self.peak.replace(self.running.get())
    }

    /// Ends each new connection at once, or serves again.
    pub fn set_accepting(&self, up: bool) {
        self.up.set(up);
    }

    /// Answers with another identity from now on.
    pub fn set_id(&self, id: &str) {
        *self.answers_as.borrow_mut() = id.to_owned();
    }

    /// Says this in all answers to requests from now on, and nothing that it said before.
    pub fn set_answer_headers(&self, says: &[(&'static str, &str)]) {
        *self.says.borrow_mut() = owned(says);
    }

    /// Says this in answers to requests that are meant for another one.
    pub fn set_misdirected_headers(&self, says: &[(&'static str, &str)]) {
        *self.misdirected_says.borrow_mut() = owned(says);
    }

    /// Says it in answers about its health, too.
    pub fn set_headers_in_health(&self, says: bool) {
        self.health_says.set(says);
    }

    /// Returns the most requests and probes that reached it in any span of this length whose end
    /// is not before `from`.
    pub fn max_requests_in(&self, span: Duration, from: Instant) -> usize {
        let mut times: Vec<Instant> = self.seen.borrow().iter().map(|s| s.at).collect();
        times.extend(self.probed.borrow().iter());
        times.sort_unstable();
        let ends = times.iter().filter(|at| **at >= from);
        let within = |end: &Instant| {
            let of_span = times.iter().filter(|at| **at <= *end && **at + span > *end);
            of_span.count()
        };
        ends.map(within).max().unwrap_or(0)
    }

    pub fn clear_requests(&self) {
        self.probed.borrow_mut().clear();
        self.seen.borrow_mut().clear();
    }

    /// Returns how many requests other than for its health have reached it.
    pub fn total_requests(&self) -> usize {
        self.seen.borrow().len()
    }

    async fn connection(self, stream: TcpStream) {
        let socket = socket2::SockRef::from(&stream)
            .try_clone()
            .expect("a handle");
        let cut = Rc::new(Notify::new());
        let crashed = Rc::clone(&self.crashed);
        let (backend, asked) = (self, Rc::clone(&cut));
        let handler = move |request| backend.clone().answer(Rc::clone(&asked), request);
        let date = DateService::default();
        tokio::select! {
            () = serve(stream, date, || LIMITS, || false, |_, _| {}, handler) => {}
            () = cut.notified() => {}
            () = crashed.notified() => {}
        }
        let now = Some(std::time::Duration::ZERO);
        socket.set_linger(now).expect("an option");
    }

    async fn answer(self, cut: Rc<Notify>, request: Request) -> Answer {
        let path = request.uri.path().to_owned();
        let target = request.uri.to_string();
        if path == HEALTH_PATH {
            self.probed.borrow_mut().push(Instant::now());
            return self.signed(StatusCode::OK, &request, None);
        }
        self.seen.borrow_mut().push(ReceivedRequest {
            at: Instant::now(),
            method: request.method.to_string(),
            target: target.clone(),
            headers: request.headers.clone(),
            body: request.body.to_vec(),
        });
        self.running.set(self.running.get() + 1);
        self.peak.set(self.peak.get().max(self.running.get()));
        let mut guard = Guard {
            dropped: Rc::clone(&self.dropped),
            target: Some(target.clone()),
            running: Rc::clone(&self.running),
        };
        let answer = self.act(&cut, &request, &path, &target).await;
        guard.target = None;
        answer
    }

    async fn act(&self, cut: &Notify, request: &Request, path: &str, target: &str) -> Answer {
        let parts: Vec<&str> = path.split('/').collect();
        match parts[2..] {
            ["slow", ms] => {
                pass(ms.parse().expect("milliseconds")).await;
                self.signed(StatusCode::OK, request, Some("slow"))
            }
            ["fail"] => self.signed(StatusCode::INTERNAL_SERVER_ERROR, request, Some("failed")),
            ["unsigned"] => {
                let mut answer = self.signed(StatusCode::OK, request, Some("who knows"));
                answer.headers.remove("oriolering-response-signature");
                answer
            }
            ["misdirected"] if is_first(target) => {
                let mut answer = self.unsigned(StatusCode::MISDIRECTED_REQUEST, request);
                add_all(&mut answer, &self.misdirected_says.borrow());
                answer
            }
            ["full"] if is_first(target) => {
                let mut answer = self.unsigned(StatusCode::SERVICE_UNAVAILABLE, request);
                set(&mut answer, "oriolering-not-executed", "1");
                answer
            }
            ["reset"] => reset(cut).await,
            ["crash"] => {
                self.crash();
                std::future::pending().await
            }
            ["reset-once"] if is_first(target) => reset(cut).await,
            ["call", calls] => {
                self.make_calls(request, calls, is_first(target)).await;
                self.signed(StatusCode::OK, request, Some("called"))
            }
            ["call", calls, "reset-once"] => {
                let first = is_first(target);
                self.make_calls(request, calls, first).await;
                match first {
                    true => reset(cut).await,
                    false => self.signed(StatusCode::OK, request, Some("called")),
                }
            }
            _ => {
                let id = self.answers_as.borrow().clone();
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

    /// Makes calls to other services, as a part of running `request`.
    async fn make_calls(&self, request: &Request, calls: &str, first: bool) {
        let id = request.headers.get("oriolering-request-id");
        let parent = id.expect("an identity").to_str().expect("text");
        let query = request.uri.query().unwrap_or_default();
        let run = if first { "first" } else { "repeat" };
        let node = SocketAddr::new(self.address.ip(), CALLERS_PORT);
        for number in 0..calls.parse().expect("a number") {
            let target = format!("/inner/echo?{query}-{run}-{number}");
            let call = get(&target).replace("id-1", &format!("{parent}.{run}{number}"));
            let mut caller = Raw::connect(node).await;
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
        set(&mut answer, "oriolering-server-load", "0,0,8,100");
        set(
            &mut answer,
            "oriolering-instance-id",
            &self.answers_as.borrow(),
        );
        if request.uri.path() != HEALTH_PATH || self.health_says.get() {
            add_all(&mut answer, &self.says.borrow());
        }
        answer
    }
}

fn owned(says: &[(&'static str, &str)]) -> Vec<(&'static str, String)> {
    let says = says.iter();
    says.map(|(name, value)| (*name, (*value).to_owned()))
        .collect()
}

fn add_all(answer: &mut Answer, says: &[(&'static str, String)]) {
    for (name, value) in says {
        set(answer, name, value);
    }
}

fn is_first(target: &str) -> bool {
    RESET.with_borrow_mut(|targets| targets.insert(target.to_owned()))
}

async fn reset(cut: &Notify) -> Answer {
    cut.notify_one();
    std::future::pending().await
}

fn set(answer: &mut Answer, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("a value");
    answer.headers.insert(HeaderName::from_static(name), value);
}
