//! The connection pool of a gate to its backend server.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::http::DateService;
use oriolering::Millis;
use oriolering_http::{AnswerRoom, ByteBudget, ClientConn, ExchangeError};

/// The connect timeout, in milliseconds; the backend server is on the same instance, so a longer
/// time means that nothing listens.
const CONNECT_MS: u64 = 400;

struct Idle {
    conn: ClientConn,
    since: Millis,
}

/// Idle connections; the most recently used one is taken first, so that the rest can time out.
pub(crate) struct Pool {
    address: SocketAddr,
    date: DateService,
    response_room: Rc<AnswerRoom>,
    idle: RefCell<Vec<Idle>>,
}

impl Pool {
    /// Creates a pool of connections to `address`, whose responses may take `answer_bytes` of memory
    /// in all, within `budget`, not counting small ones.
    pub(crate) fn new(
        address: SocketAddr,
        date: DateService,
        answer_bytes: usize,
        budget: &Rc<ByteBudget>,
    ) -> Self {
        Self {
            address,
            date,
            response_room: AnswerRoom::within(answer_bytes, budget),
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Returns a usable idle connection, or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server does not accept a new connection.
    pub(crate) async fn take(&self, now: Millis) -> Result<ClientConn, ExchangeError> {
        match self.take_idle(now) {
            Some(conn) => Ok(conn),
            None => self.connect().await,
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server does not accept it.
    pub(crate) async fn connect(&self) -> Result<ClientConn, ExchangeError> {
        let conn = ClientConn::connect(self.address, self.date.clone(), CONNECT_MS).await?;
        Ok(conn.with_room(&self.response_room))
    }

    /// Returns a usable idle connection, if there is one.
    pub(crate) fn take_idle(&self, now: Millis) -> Option<ClientConn> {
        while let Some(mut idle) = self.pop() {
            let fresh = now.since(idle.since) < idle.conn.idle_ms();
            if fresh && idle.conn.is_reusable() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Returns a connection to the pool if it can be reused.
    pub(crate) fn put(&self, now: Millis, mut conn: ClientConn) {
        if conn.is_reusable() {
            self.idle.borrow_mut().push(Idle { conn, since: now });
        }
    }

    /// Drops the idle connections, since another backend server has taken the address.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn pop(&self) -> Option<Idle> {
        self.idle.borrow_mut().pop()
    }
}
