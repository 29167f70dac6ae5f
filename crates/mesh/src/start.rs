//! Starts the tasks of a node, and shuts it down.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use oriolering::Shutdown;
use oriolering_http::{Answer, Request, StatusCode};
use oriolering_platform::{READY_PATH, Settings};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::node::Node;
use crate::options::Options;
use crate::reload::Reload;
use crate::trail::{Event, LogWriter, Origin};
use crate::{gossip, inbound, ingress, metrics, outbound, store_reader};

/// The time between two checks of the links, the server list and the backend server, in
/// milliseconds.
const TICK_MS: u64 = 25;
/// The time between two checks whether a stopping node is idle, in milliseconds.
const STOP_TICK_MS: u64 = 50;
/// How long a node that ends in any case waits for its last answers to be written, in milliseconds.
const LAST_ANSWERS_MS: u64 = 100;
/// The limits of connections for readiness checks.
const READY_LIMITS: oriolering_http::ConnLimits = oriolering_http::ConnLimits {
    header_bytes: 4_096,
    body_bytes: 1_024,
    header_ms: 3_000,
    idle_ms: 60_000,
    pipelined: 1,
};

/// Why a node cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be used.
    #[snafu(display(
        "{address} cannot be listened on: {source}; check the addresses of the settings, and that no other process uses them"
    ))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("signals cannot be received: {source}; check the limits of the process"))]
    Signal {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Runs a node until the platform tells it to stop.
///
/// `path` is the file that the settings were read from; it is reloaded on SIGHUP and when it
/// changes. Decisions are logged to `lines`.
///
/// # Errors
///
/// Returns an error when an address of the settings cannot be listened on.
pub async fn run(
    settings: Settings,
    options: Options,
    path: PathBuf,
    lines: LogWriter,
) -> Result<(), StartError> {
    let mut stop = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let stopped = async move {
        stop.recv().await;
    };
    run_until(settings, options, path, lines, stopped).await
}

/// Runs a node as [`run`] does, until `stopped` completes and the requests in progress are served.
///
/// The node runs on the [`tokio::task::LocalSet`] of the caller; its tasks end when that is
/// dropped.
///
/// # Errors
///
/// Returns an error when an address of the settings cannot be listened on.
pub async fn run_until(
    settings: Settings,
    options: Options,
    path: PathBuf,
    lines: LogWriter,
    stopped: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let listen = settings.listen;
    let links = SocketAddr::new(settings.ip, *settings.node_ports.start());
    let node = Node::new(settings.clone(), options, lines);
    let mut reload = Reload::new(path, settings, node.now());
    let callers = bind(listen.callers).await?;
    let readiness = bind(listen.ready).await?;
    let links = bind(links).await?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    log_start(&node);
    tokio::task::spawn_local(metrics::serve(Rc::clone(&node)));
    tokio::task::spawn_local(ingress::accept(Rc::clone(&node), callers));
    tokio::task::spawn_local(inbound::accept(Rc::clone(&node), links));
    tokio::task::spawn_local(serve_readiness(Rc::clone(&node), readiness));
    tokio::task::spawn_local(store_reader::run(Rc::clone(&node)));
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stopped = std::pin::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => break,
            _ = hangup.recv() => reload.run(&node, "signal"),
            _ = ticks.tick() => tick(&node, &mut reload),
        }
    }
    shut_down(&node).await;
    Ok(())
}

fn log_start(node: &Node) {
    let settings = &node.settings;
    node.trail.note(Event::Started {
        service: settings.backend.service.clone(),
        zone: settings.zone.clone(),
        incarnation: node.incarnation,
    });
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn tick(node: &Rc<Node>, reload: &mut Reload) {
    let now = node.now();
    node.trail.tick(now);
    node.budgets.tick(now);
    reload.tick(node, now);
    node.gate.probe();
    outbound::check_peers(node);
    gossip::request_missing(node);
    if node.list.borrow_mut().expire(now) {
        gossip::apply_list_from(node, Origin::Node);
    }
}

/// Serves requests in progress, and new ones of callers that do not know yet that the node is
/// stopping, until the node is idle or the grace period is over.
async fn shut_down(node: &Rc<Node>) {
    let grace = node.bounds.get().grace_ms;
    node.trail.note(Event::Stopping {
        active: node.active.get() as u64,
        grace_ms: grace,
    });
    node.trail.stop();
    node.stopping.set(true);
    node.gate.leave();
    let begun = node.now();
    let stop = Shutdown::new(begun, grace);
    node.shutdown.set(Some(stop));
    while !stop.is_over(node.now(), node.is_idle()) {
        outbound::check_peers(node);
        gossip::request_missing(node);
        node.trail.tick(node.now());
        sleep(Duration::from_millis(STOP_TICK_MS)).await;
    }
    let cut = node.active.get();
    node.ending.notify_waiters();
    let end = node.now() + LAST_ANSWERS_MS;
    while !node.is_idle() && node.now() < end {
        sleep(Duration::from_millis(1)).await;
    }
    node.trail.note(Event::Stopped {
        active: cut as u64,
        after_ms: node.now().since(begun),
    });
}

async fn serve_readiness(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let (date, checked) = (node.date.clone(), Rc::clone(&node));
        let handler = move |request| answer_readiness(Rc::clone(&checked), request);
        tokio::task::spawn_local(async move {
            oriolering_http::serve(stream, date, || READY_LIMITS, || false, |_, _| {}, handler)
                .await;
        });
    }
}

async fn answer_readiness(node: Rc<Node>, request: Request) -> Answer {
    if request.uri.path() != READY_PATH {
        return Answer::new(StatusCode::NOT_FOUND);
    }
    match node.is_ready() {
        true => Answer::new(StatusCode::OK),
        false => Answer::new(StatusCode::SERVICE_UNAVAILABLE),
    }
}
