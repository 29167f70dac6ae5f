//! The HTTP clients of the data path and what its thread keeps for itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use ntex::http::client::{Client, Connector};
use ntex::time::{Millis, Seconds};
use tokio::sync::mpsc;

use crate::answers::Answers;
use crate::cancels::{Cancelled, Cancels};
use crate::reserved::Reserved;
use crate::state::Node;

/// The pool opens one connection at a time and wakes the calls that wait for it only while it
/// is below a limit; with a limit of zero, which means none, they wait for good.
const MAX_CONNECTIONS: usize = 65_536;
const CONNECT_TIMEOUT_MS: u32 = 500;
const IDLE_TIMEOUT: Seconds = Seconds(20);
const LIFETIME: Seconds = Seconds(3_600);

/// Everything that the thread of the data path works with.
pub(crate) struct Wire {
    /// The state that other threads share.
    pub(crate) node: Arc<Node>,
    /// Connections to the local backend server.
    pub(crate) backend: Client,
    /// Answers kept until the ingress has acknowledged them.
    pub(crate) answers: RefCell<Answers>,
    /// Calls that were admitted before their body was sent.
    pub(crate) reserved: RefCell<Reserved>,
    /// Held by a request that was running when a backend server died. Suspects run one at a
    /// time, so that a second death shows which of them was the cause.
    pub(crate) suspects: Arc<tokio::sync::Mutex<()>>,
    /// Running calls of the local gate that can be cancelled.
    pub(crate) cancels: RefCell<Cancels>,
    /// Takes attempts whose caller has gone.
    pub(crate) cancelled: mpsc::UnboundedSender<Cancelled>,
    gates: RefCell<HashMap<SocketAddr, Pool>>,
}

/// Connections to one gate.
struct Pool {
    client: Client,
    since: oriolering::Millis,
}

impl Wire {
    /// Builds the clients; this happens once, on the thread of the data path.
    ///
    /// The attempts to be cancelled come out of the channel that is returned beside.
    pub(crate) fn new(node: Arc<Node>) -> (Rc<Self>, mpsc::UnboundedReceiver<Cancelled>) {
        let (cancelled, receiver) = mpsc::unbounded_channel();
        let wire = Rc::new(Self {
            node,
            backend: pooled(),
            answers: RefCell::default(),
            reserved: RefCell::default(),
            suspects: Arc::default(),
            cancels: RefCell::default(),
            cancelled,
            gates: RefCell::default(),
        });
        (wire, receiver)
    }

    /// Returns the client for a call to the local backend server; `alone` asks for a connection on
    /// which nothing was sent before.
    pub(crate) fn backend_client(&self, alone: bool) -> Client {
        match alone {
            true => pooled(),
            false => self.backend.clone(),
        }
    }

    /// Returns the client whose connections lead to one gate.
    pub(crate) fn gate(&self, address: SocketAddr) -> Client {
        let mut gates = self.gates.borrow_mut();
        let pool = gates.entry(address).or_insert_with(|| Pool {
            client: pooled(),
            since: self.node.clock.now(),
        });
        pool.client.clone()
    }

    /// Forgets the pooled connections to a gate, because one of them has gone silent under an
    /// attempt that was sent at `sent`. A pool that is newer than the attempt is kept.
    pub(crate) fn renew(&self, address: SocketAddr, sent: oriolering::Millis) {
        let mut gates = self.gates.borrow_mut();
        if gates.get(&address).is_some_and(|pool| pool.since <= sent) {
            gates.remove(&address);
        }
    }
}

/// Returns a client that passes on what it gets: no redirects, no default headers, no limit of
/// connections that is ever met and no time limit of its own. The gate's slots and the
/// deadlines bound both.
fn pooled() -> Client {
    let connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .timeout(Millis(CONNECT_TIMEOUT_MS))
        .keep_alive(IDLE_TIMEOUT)
        .lifetime(LIFETIME)
        .finish();
    Client::build()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
