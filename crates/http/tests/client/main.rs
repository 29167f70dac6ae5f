//! Tests of the client connection.

mod connections;
mod early;
mod endless;
mod framing;
mod stale;
mod streamed;
#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;

use ntex::http::{DateService, ResponseHead};
use oriolering_http::{
    Bytes, ClientConn, ExchangeError, HeaderMap, HeaderName, HeaderValue, Method, Request,
    Response, Uri,
};
use support::{RawPeer, listen, sleep_ms, within_deadline};

const ID: &str = "x-id";

const CONNECT_MS: u64 = 1_000;

/// How a server closes its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

impl End {
    async fn apply(self, server: RawPeer) {
        // A reset discards bytes that have not arrived yet, so those sent are given time to arrive.
        sleep_ms(5).await;
        match self {
            Self::Close => drop(server),
            Self::Reset => server.reset(),
        }
    }
}

fn request(method: Method, id: &str, body: &[u8]) -> Request {
    let mut headers = HeaderMap::new();
    let name = HeaderName::from_static(ID);
    headers.insert(name, HeaderValue::from_str(id).expect("a value"));
    Request {
        method,
        uri: Uri::from_static("/p?q=1"),
        headers,
        body: Bytes::copy_from_slice(body),
    }
}

fn get(id: &str) -> Request {
    request(Method::GET, id, b"")
}

/// Returns a check whether a response carries this id or none.
fn matches_id(id: &str) -> impl Fn(&ResponseHead) -> bool + '_ {
    move |head| {
        head.headers
            .get(ID)
            .is_none_or(|v| v.as_bytes() == id.as_bytes())
    }
}

fn ok_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{ID}: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

async fn connect(address: SocketAddr) -> ClientConn {
    let date = DateService::default();
    let conn = within_deadline(ClientConn::connect(address, date, CONNECT_MS)).await;
    conn.expect("a connection")
}

/// Returns both ends of a new connection.
async fn connected_pair() -> (ClientConn, RawPeer) {
    let listener = listen().await;
    let conn = connect(listener.local_addr().expect("an address")).await;
    let (stream, _) = listener.accept().await.expect("a connection");
    (conn, RawPeer::new(stream))
}

/// Runs one exchange with a server that sends these bytes and then closes the connection.
async fn exchange_then_end(
    request: Request,
    answer: &str,
    end: End,
) -> Result<Response, ExchangeError> {
    let (mut conn, mut server) = connected_pair().await;
    let serve = async {
        server.head().await;
        server.send(answer).await;
        end.apply(server).await;
    };
    let (result, ()) = tokio::join!(
        within_deadline(conn.exchange(request, matches_id("1"))),
        serve
    );
    result
}

/// Runs one exchange with a server that sends these bytes and keeps the connection open.
async fn exchange_kept_open(
    conn: &mut ClientConn,
    server: &mut RawPeer,
    id: &str,
    answer: &str,
) -> Response {
    let serve = async {
        server.head().await;
        server.send(answer).await;
    };
    let (result, ()) = tokio::join!(
        within_deadline(conn.exchange(get(id), matches_id(id))),
        serve
    );
    result.expect("an answer")
}
