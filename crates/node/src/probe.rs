//! Finds out whether the local backend server has died, by opening connections to it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::state::Node;
use crate::watch::Watch;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const CONNECT_TRIES: u32 = 3;
const OPEN_TIME: Duration = Duration::from_millis(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Notes that a connection to the backend server was lost after a request was `sent`, or was
/// refused, and finds out whether the backend server has died.
///
/// The requests that were running then are the suspects of that death.
pub(crate) fn lost(node: &Arc<Node>, sent: bool) {
    {
        let mut watch = node.watch.lock();
        let news = match *watch {
            Watch::Up => true,
            Watch::Probing => false,
            // What was sent reached a backend server that had come back unseen.
            Watch::Down => sent,
        };
        if !news {
            return;
        }
        *watch = Watch::Probing;
    }
    let suspects = node.admission.lock().gate.running_fingerprints();
    ntex::rt::spawn(probe(Arc::clone(node), suspects));
}

async fn probe(node: Arc<Node>, suspects: Vec<u64>) {
    if accepts(node.card.backend).await {
        *node.watch.lock() = Watch::Up;
        return;
    }
    *node.watch.lock() = Watch::Down;
    node.crashed(&suspects);
    while !accepts(node.card.backend).await {
        sleep(RETRY_INTERVAL).await;
    }
    let now = node.clock.now();
    node.admission.lock().gate.restart(now);
    *node.watch.lock() = Watch::Up;
    log::info!("backend server accepts connections again; the limit ramps up");
}

/// Returns whether the address accepts connections; only a refusal counts as a death.
///
/// A process that is ending may still accept for a moment, and resets what it accepted; so a
/// connection that does not stay open is tried again.
async fn accepts(address: SocketAddr) -> bool {
    for _ in 0..CONNECT_TRIES {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(error)) => return error.kind() != ErrorKind::ConnectionRefused,
            Ok(Ok(stream)) if stays_open(&stream).await => return true,
            Ok(Ok(_)) => sleep(OPEN_TIME).await,
            Err(_) => return true,
        }
    }
    true
}

async fn stays_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match timeout(OPEN_TIME, stream.peek(&mut byte)).await {
        Ok(Ok(0) | Err(_)) => false,
        Ok(Ok(_)) | Err(_) => true,
    }
}
