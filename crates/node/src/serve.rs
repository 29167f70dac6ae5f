//! Runs the listeners of the data path on one thread.

use std::rc::Rc;
use std::sync::Arc;

use ntex::http::{ConnectionType, KeepAlive};
use ntex::time::Seconds;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use oriolering::Millis;
use tokio::signal::unix::{SignalKind, signal};

use crate::admin;
use crate::admit;
use crate::cancel;
use crate::headers;
use crate::incoming::Incoming;
use crate::ingress;
use crate::linger::linger;
use crate::listeners::Listeners;
use crate::poll;
use crate::state::Node;
use crate::timer::{sleep, within};
use crate::wire::Wire;

/// The time between two looks at the queue of the gate.
const TICK_MS: u64 = 5;
/// The same while nothing waits; a longer gap would count as a pause of the process.
const IDLE_TICK_MS: u64 = 50;
const KEEP_ALIVE: Seconds = Seconds(60);
/// The time in which peers learn that the node is leaving before its listeners close.
pub(crate) const LEAVE_MS: u64 = 1_000;
/// The time in which connections that have begun are accepted: a round trip between availability
/// zones takes at most 2 ms.
const LAST_MS: u64 = 3;
/// The time that the calls of the last connections have to end. Callers that come meanwhile are
/// held up for the second after which TCP repeats the opening of a connection.
const QUIET_MS: u64 = 50;
const MAX_CONNECTIONS: usize = 8_192;

/// Serves until the process is told to stop, then drains.
///
/// # Errors
///
/// Returns the error of a listener that cannot be bound.
pub(crate) async fn run(node: Arc<Node>) -> std::io::Result<()> {
    let card = &node.card;
    let (ingress, gate, admin) = (card.ingress, card.gate, card.admin);
    let shared = Arc::clone(&node);
    let listeners = Listeners::bind(&[ingress, gate, admin])?;
    let mut server = HttpServer::new(move || {
        let (wire, cancelled) = Wire::new(Arc::clone(&shared));
        ntex::rt::spawn(cancel::run(Rc::clone(&wire), cancelled));
        ntex::rt::spawn(tick(Rc::clone(&wire)));
        ntex::rt::spawn(poll::run(Rc::clone(&wire)));
        App::new().state(wire).default_service(web::to(dispatch))
    })
    .workers(1)
    .maxconn(MAX_CONNECTIONS)
    .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
    .disable_signals()
    .shutdown_timeout(Seconds((card.drain_ms / 1_000).clamp(1, 600) as u16));
    for handle in listeners.handles()? {
        server = server.listen(handle)?;
    }
    let server = server.run();
    tokio::select! {
        result = server.clone() => return result,
        () = stopped() => {}
    }
    node.drain();
    let begun = node.clock.now();
    let end = begun + node.card.drain_ms;
    node.begin_stop(begun, end);
    sleep(LEAVE_MS.min(node.card.drain_ms)).await;
    finish(&node, &listeners, end).await;
    server.stop(true).await;
    Ok(())
}

/// Waits for a moment in which no call runs and no connection waits to be accepted, or until
/// `end`.
async fn finish(node: &Node, listeners: &Listeners, end: Millis) {
    loop {
        settle(node, end).await;
        note(listeners.hush());
        sleep(LAST_MS).await;
        let now = node.clock.now();
        settle(node, end.min(now + QUIET_MS)).await;
        if node.is_idle() || now >= end {
            return;
        }
        // A long call has come in just before; its node takes others until it has ended.
        note(listeners.resume());
    }
}

/// Logs a failure, which costs no more than connections that break as the listeners close.
fn note(result: std::io::Result<()>) {
    if let Err(error) = result {
        log::warn!(error:% = error; "connections may break as the listeners close");
    }
}

/// Waits until the calls of the node have ended, or until `end`.
async fn settle(node: &Node, end: Millis) {
    while !node.is_idle() && node.clock.now() < end {
        sleep(TICK_MS).await;
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// The server's own signals cannot be used: it handles them only while it may stop at once.
async fn stopped() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("signals cannot be handled; the process will not drain when it is stopped");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::info!("stopping");
}

async fn tick(wire: Rc<Wire>) {
    loop {
        let now = wire.node.tick();
        wire.reserved.borrow_mut().expire(now);
        let waiting = wire.node.load().queued > 0;
        let notified = wire.node.queued.notified();
        match waiting {
            true => sleep(TICK_MS).await,
            false => {
                within(IDLE_TICK_MS, notified).await;
            }
        }
    }
}

/// Sends a request to the part that its listener belongs to.
async fn dispatch(
    request: HttpRequest,
    payload: types::Payload,
    wire: types::State<Rc<Wire>>,
) -> HttpResponse {
    let wire = Rc::clone(&wire);
    let node = Arc::clone(&wire.node);
    let local = request.app_config().local_addr();
    let length = headers::number(request.headers(), "content-length");
    let body = Incoming::new(payload.into_inner(), length);
    let unread = body.unread();
    let card = &node.card;
    let entered = Arc::clone(&node.entered);
    let mut response = if local == card.gate {
        admit::serve(wire, request, body).await
    } else if local == card.admin {
        admin::serve(&wire, &request)
    } else {
        ingress::serve(wire, request, body).await
    };
    // Callers open their next connection elsewhere before the listeners close, and none is sent
    // over a connection that ends because the body was not read.
    if node.is_draining() || !unread.is_none() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    linger(response, unread, entered).await
}
