//! A stand-in backend server: a few slots, a record of its runs, and faults on demand.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use futures_util::stream;
use ntex::http::body::{Body, SizedStream};
use ntex::http::error::PayloadError;
use ntex::io::IoRef;
use ntex::time::Seconds;
use ntex::util::Bytes;
use ntex::web::types::{Json, Payload, State as WebState};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use oriolering::DEADLINE;
use tokio::time::{sleep, timeout};

use crate::backend_fault::Fault;
use crate::backend_state::{BackendSettings, State};
use crate::echo::{CHECK, Check, Echo, NONCE, SPENT};
use crate::timer::sleep_precisely;

const CRASH_STATUS: i32 = 86;
const SHUTDOWN_S: u16 = 30;
const KEEP_ALIVE_S: u16 = 600;

type Shared = WebState<Arc<State>>;

/// Serves a backend server on `listener` until the process ends.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve_backend(
    listener: TcpListener,
    connections: usize,
    settings: BackendSettings,
) -> io::Result<()> {
    let state = Arc::new(State::new(settings));
    HttpServer::new(move || {
        App::new()
            .state(state.clone())
            .route("/_health", web::get().to(health))
            .route("/_load", web::get().to(load))
            .route("/_polls", web::get().to(polls))
            .route("/_runs", web::get().to(runs))
            .route("/_fault", web::post().to(set_fault))
            .default_service(web::to(work))
    })
    .workers(1)
    .maxconn(connections)
    .keep_alive(Seconds(KEEP_ALIVE_S))
    .shutdown_timeout(Seconds(SHUTDOWN_S))
    .listen(listener)?
    .run()
    .await
}

async fn health(state: Shared) -> HttpResponse {
    state.note_poll();
    match state.fault().drain {
        true => HttpResponse::ServiceUnavailable().body("draining\n"),
        false => HttpResponse::Ok().body("ok\n"),
    }
}

async fn polls(state: Shared) -> HttpResponse {
    let polls = state.polls.lock().clone();
    HttpResponse::Ok().json(&polls)
}

async fn load(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&state.reported())
}

async fn runs(state: Shared) -> HttpResponse {
    let runs = state.runs.lock().clone();
    HttpResponse::Ok().json(&runs)
}

async fn set_fault(state: Shared, fault: Json<Fault>) -> HttpResponse {
    state.set_fault(fault.into_inner());
    HttpResponse::NoContent().finish()
}

/// Counts a request whose handler is dropped before its answer as cancelled.
struct Watch {
    state: Arc<State>,
    answered: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.answered {
            self.state.runs.lock().cancelled += 1;
        }
    }
}

/// Holds a counter one higher as long as it lives.
struct Held<'a>(&'a AtomicU32);

impl<'a> Held<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn work(state: Shared, req: HttpRequest, body: Payload) -> HttpResponse {
    let state = state.get_ref().clone();
    state.runs.lock().arrived += 1;
    let mut watch = Watch {
        state: state.clone(),
        answered: false,
    };
    let left = scan_number(&req, DEADLINE).map_or(Duration::MAX, Duration::from_millis);
    let answer = match timeout(left, answer(&state, &req, body)).await {
        Ok(answer) => answer,
        Err(_) => expire(&state),
    };
    watch.answered = true;
    answer
}

fn expire(state: &State) -> HttpResponse {
    state.runs.lock().expired += 1;
    HttpResponse::GatewayTimeout().finish()
}

async fn answer(state: &State, req: &HttpRequest, body: Payload) -> HttpResponse {
    let fault = state.fault();
    if fault.shed {
        state.runs.lock().shed += 1;
        return HttpResponse::ServiceUnavailable()
            .header("x-shed", "1")
            .finish();
    }
    let nonce = header(req, NONCE).unwrap_or_default();
    if fault.fail_fast {
        state.record(nonce);
        return HttpResponse::InternalServerError().finish();
    }
    match run(state, req, body, nonce).await {
        Ok(done) => reply(state, req, nonce, &done),
        Err(_) => HttpResponse::BadRequest().finish(),
    }
}

/// A finished run.
struct Done {
    check: String,
    spent: Duration,
}

/// Waits for a slot and runs the request.
async fn run(
    state: &State,
    req: &HttpRequest,
    mut body: Payload,
    nonce: &str,
) -> Result<Done, PayloadError> {
    let queued = Held::new(&state.queued);
    let _permit = state.permits.acquire().await;
    drop(queued);
    let start = Instant::now();
    let _running = Held::new(&state.running);
    state.record(nonce);
    let target = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let mut check = Check::new(req.method().as_str(), target);
    while let Some(part) = body.recv().await {
        check.update(&part?);
    }
    sleep_precisely(state.service_time(scan_number(req, "x-service-us"))).await;
    if header(req, "x-crash").is_some() {
        std::process::exit(CRASH_STATUS);
    }
    Ok(Done {
        check: check.finish(),
        spent: start.elapsed(),
    })
}

fn reply(state: &State, req: &HttpRequest, nonce: &str, done: &Done) -> HttpResponse {
    let size = scan_query(req, "bytes")
        .or_else(|| scan_number(req, "x-size"))
        .unwrap_or(0);
    let echo = Echo::new(nonce, &done.check, size);
    let cut = scan_number(req, "x-cut").or(state.fault().cut_bytes);
    let mut res = HttpResponse::Ok();
    res.header(CHECK, done.check.as_str());
    res.header(SPENT, done.spent.as_micros().to_string());
    let chunked = header(req, "x-chunked").is_some();
    let size = echo.remaining();
    match (cut, chunked) {
        (None, true) => res.streaming(stream::iter(echo.map(Ok::<_, io::Error>))),
        (None, false) => res.body(sized(size, stream::iter(echo.map(Ok)))),
        (Some(cut), true) => {
            let parts = cut_stream::<io::Error>(echo, cut, req.io().cloned());
            res.streaming(Box::pin(parts))
        }
        (Some(cut), false) => {
            let parts = cut_stream(echo, cut, req.io().cloned());
            res.body(sized(size, Box::pin(parts)))
        }
    }
}

fn sized<S>(size: u64, stream: S) -> Body
where
    S: stream::Stream<Item = Result<Bytes, std::rc::Rc<dyn std::error::Error>>> + Unpin + 'static,
{
    Body::from_message(SizedStream::new(size, stream))
}

/// Yields the first `cut` bytes of a body, then closes the connection.
fn cut_stream<E: 'static>(
    echo: Echo,
    cut: u64,
    io: Option<IoRef>,
) -> impl stream::Stream<Item = Result<Bytes, E>> + 'static {
    stream::unfold((echo, cut, io), |(mut echo, cut, io)| async move {
        let part = echo.next().filter(|_| cut > 0);
        let Some(part) = part else {
            sleep(Duration::from_millis(5)).await;
            if let Some(io) = &io {
                io.force_close();
            }
            return std::future::pending().await;
        };
        let size = cut.min(part.len() as u64);
        let part = part.slice(..size as usize);
        Some((Ok(part), (echo, cut - size, io)))
    })
}

fn header<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn scan_number(req: &HttpRequest, name: &str) -> Option<u64> {
    header(req, name)?.parse().ok()
}

fn scan_query(req: &HttpRequest, name: &str) -> Option<u64> {
    let pairs = req.query_string().split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    found.find(|(key, _)| *key == name)?.1.parse().ok()
}
