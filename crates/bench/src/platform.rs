//! A stand-in for the platform's service: it serves the configuration and the list of
//! instances, which can only be read and watched, and it counts the reads.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The largest value that is taken.
const VALUE_BYTES: usize = 1 << 20;
/// How many revisions of a value are kept for serving stale ones.
const HISTORY: usize = 2;
/// The longest wait of a watch.
const MAX_WAIT_MS: u64 = 60_000;

/// How the service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Serves the newest value.
    #[default]
    Up,
    /// Answers 503.
    Down,
    /// Keeps serving what was newest when this mode was set, or a value before it.
    Stale,
    /// Serves the newest value and the one before in turn, whatever the reader holds.
    Flap,
}

/// What a mode is set for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// The configuration.
    #[default]
    Config,
    /// The list of instances.
    Instances,
    /// Both.
    All,
}

/// A request to change how the service behaves.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Switch {
    /// The behaviour.
    pub mode: Mode,
    /// The delay of each answer in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// What it is set for.
    #[serde(default)]
    pub scope: Scope,
    /// How many revisions behind the newest a stale value lies.
    #[serde(default)]
    pub behind: usize,
}

/// The reads so far, a watch as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reads {
    /// Reads of the configuration.
    pub config: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// The most reads in one second.
    pub peak: u64,
}

#[derive(Clone)]
struct Revision {
    number: u64,
    body: Bytes,
}

#[derive(Clone, Default)]
struct Value {
    history: Vec<Revision>,
    mode: Mode,
    delay_ms: u64,
    frozen: Option<Revision>,
    turn: bool,
}

impl Value {
    fn publish(&mut self, body: Bytes) -> u64 {
        let number = self.history.last().map_or(0, |newest| newest.number) + 1;
        self.history.push(Revision { number, body });
        if self.history.len() > HISTORY {
            self.history.remove(0);
        }
        number
    }

    fn switch(&mut self, switch: Switch) {
        self.mode = switch.mode;
        self.delay_ms = switch.delay_ms;
        self.frozen = self.history.iter().rev().nth(switch.behind).cloned();
    }

    /// Returns the answer for a reader that holds `after`, or `None` when it has to wait.
    fn serve(&mut self, after: u64) -> Option<Revision> {
        let newer = |revision: &Revision| revision.number > after;
        match self.mode {
            Mode::Up | Mode::Down => self.history.last().cloned().filter(newer),
            Mode::Stale => self.frozen.clone().filter(newer),
            Mode::Flap => {
                self.turn = !self.turn;
                let ix = usize::from(self.turn).min(self.history.len().saturating_sub(1));
                self.history.get(ix).cloned()
            }
        }
    }
}

#[derive(Default)]
struct State {
    config: Value,
    instances: Value,
    cut: BTreeSet<SocketAddr>,
    reads: Reads,
    second: u64,
    in_second: u64,
}

/// The service; cheap to clone, and its clones share the values.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    start: Instant,
    lag_ms: u64,
}

#[derive(Clone, Copy)]
enum Which {
    Config,
    Instances,
}

#[derive(Deserialize)]
struct Query {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Platform {
    /// Returns a service without values; the list of instances comes `lag_ms` late.
    pub fn new(lag_ms: u64) -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            start: Instant::now(),
            lag_ms,
        }
    }

    /// Publishes a configuration and returns its revision.
    pub fn publish(&self, bundle: impl Into<Bytes>) -> u64 {
        let number = self.state.lock().config.publish(bundle.into());
        self.wake();
        number
    }

    /// Replaces the list of instances at once.
    pub fn list(&self, instances: impl Into<Bytes>) {
        self.state.lock().instances.publish(instances.into());
        self.wake();
    }

    /// Changes how the service behaves.
    pub fn switch(&self, switch: Switch) {
        let mut state = self.state.lock();
        match switch.scope {
            Scope::Config => state.config.switch(switch),
            Scope::Instances => state.instances.switch(switch),
            Scope::All => {
                state.config.switch(switch);
                state.instances.switch(switch);
            }
        }
        drop(state);
        self.wake();
    }

    /// Cuts those who read at the listener `door` off, or joins them again; a read that is open
    /// there fails and brings nothing that is published from now on.
    pub fn cut(&self, door: SocketAddr, cut: bool) {
        let mut state = self.state.lock();
        if cut {
            state.cut.insert(door);
        } else {
            state.cut.remove(&door);
        }
        drop(state);
        self.wake();
    }

    /// Returns the reads so far.
    pub fn reads(&self) -> Reads {
        self.state.lock().reads
    }

    /// Serves on all `listeners` until the future is dropped or the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener cannot be used.
    pub async fn serve(self, listeners: Vec<TcpListener>) -> io::Result<()> {
        let mut server = HttpServer::new(move || {
            App::new()
                .state(self.clone())
                .state(types::PayloadConfig::new(VALUE_BYTES))
                .service((
                    web::resource("/v1/config").route(web::get().to(get_config)),
                    web::resource("/v1/instances").route(web::get().to(get_instances)),
                    web::resource("/_publish").route(web::post().to(post_publish)),
                    web::resource("/_instances").route(web::post().to(post_instances)),
                    web::resource("/_mode").route(web::post().to(post_mode)),
                    web::resource("/_reads").route(web::get().to(get_reads)),
                ))
        });
        for listener in listeners {
            server = server.listen(listener)?;
        }
        server.workers(1).run().await
    }

    fn wake(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    fn count(&self, which: Which) {
        let second = self.start.elapsed().as_secs();
        let mut state = self.state.lock();
        if state.second != second {
            state.second = second;
            state.in_second = 0;
        }
        state.in_second += 1;
        state.reads.peak = state.reads.peak.max(state.in_second);
        match which {
            Which::Config => state.reads.config += 1,
            Which::Instances => state.reads.instances += 1,
        }
    }

    fn with<T>(&self, which: Which, run: impl FnOnce(&mut Value) -> T) -> T {
        let mut state = self.state.lock();
        match which {
            Which::Config => run(&mut state.config),
            Which::Instances => run(&mut state.instances),
        }
    }

    fn is_cut(&self, door: SocketAddr) -> bool {
        self.state.lock().cut.contains(&door)
    }

    async fn read(&self, which: Which, query: &Query, door: SocketAddr) -> HttpResponse {
        self.count(which);
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let end = tokio::time::Instant::now() + wait;
        loop {
            let (mode, delay_ms) = self.with(which, |value| (value.mode, value.delay_ms));
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let served = self.with(which, |value| value.serve(query.after));
            // Asked after the value was taken, so that none from after the cut passes.
            if mode == Mode::Down || self.is_cut(door) {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if let Some(revision) = served {
                return HttpResponse::Ok()
                    .header("revision", revision.number.to_string())
                    .content_type("application/json")
                    .body(revision.body);
            }
            let next = tokio::time::timeout_at(end, changed.changed()).await;
            if !matches!(next, Ok(Ok(()))) {
                return HttpResponse::NotModified().finish();
            }
        }
    }
}

async fn get_config(
    request: HttpRequest,
    platform: types::State<Platform>,
    query: types::Query<Query>,
) -> HttpResponse {
    let door = request.app_config().local_addr();
    platform.read(Which::Config, &query, door).await
}

async fn get_instances(
    request: HttpRequest,
    platform: types::State<Platform>,
    query: types::Query<Query>,
) -> HttpResponse {
    let door = request.app_config().local_addr();
    platform.read(Which::Instances, &query, door).await
}

async fn post_publish(platform: types::State<Platform>, body: Bytes) -> HttpResponse {
    let revision = platform.publish(body);
    HttpResponse::Ok().body(revision.to_string())
}

/// Takes a list of instances that comes into force after the lag.
async fn post_instances(platform: types::State<Platform>, body: Bytes) -> HttpResponse {
    let lag = Duration::from_millis(platform.lag_ms);
    let platform = (*platform).clone();
    ntex::rt::spawn(async move {
        tokio::time::sleep(lag).await;
        platform.list(body);
    });
    HttpResponse::Accepted().finish()
}

async fn post_mode(platform: types::State<Platform>, body: Bytes) -> HttpResponse {
    match serde_json::from_slice(&body) {
        Ok(switch) => {
            platform.switch(switch);
            HttpResponse::Ok().finish()
        }
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

async fn get_reads(platform: types::State<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.reads())
}
