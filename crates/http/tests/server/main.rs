//! Tests of the server connection.

mod bodies;
mod closing;
mod leaving;
mod limits;
mod order;
mod streamed;
#[path = "../support/mod.rs"]
mod support;
mod times;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::http::DateService;
use oriolering_http::{Answer, Bytes, ConnLimits, Request, StatusCode, serve};
use support::{RawPeer, listen, sleep_ms, within_deadline};

const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 4_096,
    body_bytes: 10_000,
    header_ms: 300,
    idle_ms: 600,
    pipelined: 16,
};

/// How late an event may be on a busy machine, in milliseconds.
const SLACK_MS: u64 = 400;

/// A service whose handler records which requests begin, end and are dropped.
#[derive(Clone)]
struct Service {
    limits: Rc<Cell<ConnLimits>>,
    closing: Rc<Cell<bool>>,
    events: Rc<RefCell<Vec<String>>>,
}

/// Records on drop whether a handler's future ended or was dropped before its end.
struct EventGuard {
    events: Rc<RefCell<Vec<String>>>,
    path: String,
    ended: bool,
}

impl Drop for EventGuard {
    fn drop(&mut self) {
        let what = if self.ended { "ended" } else { "dropped" };
        let event = format!("{what} {}", self.path);
        self.events.borrow_mut().push(event);
    }
}

impl Service {
    fn new(limits: ConnLimits) -> Self {
        Self {
            limits: Rc::new(Cell::new(limits)),
            closing: Rc::default(),
            events: Rc::default(),
        }
    }

    async fn start(&self) -> SocketAddr {
        let listener = listen().await;
        let address = listener.local_addr().expect("an address");
        let service = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("an option");
                tokio::task::spawn_local(service.clone().connection(stream));
            }
        });
        address
    }

    async fn connection(self, stream: tokio::net::TcpStream) {
        let (limits, closing) = (Rc::clone(&self.limits), Rc::clone(&self.closing));
        let events = Rc::clone(&self.events);
        let handler = move |request| handle(Rc::clone(&events), request);
        let date = DateService::default();
        serve(
            stream,
            date,
            || limits.get(),
            || closing.get(),
            |_, _| {},
            handler,
        )
        .await;
        self.events.borrow_mut().push("closed".to_owned());
    }

    fn saw(&self, event: &str) -> bool {
        self.events.borrow().iter().any(|e| e == event)
    }

    fn count(&self, event: &str) -> usize {
        self.events.borrow().iter().filter(|e| *e == event).count()
    }

    async fn wait_for(&self, event: &str) {
        within_deadline(async {
            while !self.saw(event) {
                sleep_ms(1).await;
            }
        })
        .await;
    }
}

/// Echoes the method, target and body; `/sleep/MS` responds after `MS` milliseconds, and `/close`
/// closes the connection.
async fn handle(events: Rc<RefCell<Vec<String>>>, request: Request) -> Answer {
    let path = request.uri.path().to_owned();
    events.borrow_mut().push(format!("began {path}"));
    let mut guard = EventGuard {
        events,
        path: path.clone(),
        ended: false,
    };
    if let Some(rest) = path.strip_prefix("/sleep/") {
        let ms = rest.split('/').next().expect("a time");
        sleep_ms(ms.parse().expect("milliseconds")).await;
    }
    guard.ended = true;
    let mut answer = Answer::new(StatusCode::OK);
    let mut text = format!("{} {} ", request.method, request.uri).into_bytes();
    text.extend_from_slice(&request.body);
    answer.body = Bytes::from(text);
    answer.close = path.starts_with("/close");
    answer
}

async fn start(limits: ConnLimits) -> (Service, RawPeer) {
    let service = Service::new(limits);
    let address = service.start().await;
    (service, RawPeer::connect(address).await)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}
