//! What a connection to a server promises, one promise in each test.

mod connections;
mod early;
mod endless;
mod framing;
mod stale;
#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;

use ntex::http::{DateService, ResponseHead};
use oriolering_http::{
    Bytes, ClientConn, ExchangeError, HeaderMap, HeaderName, HeaderValue, Method, Request,
    Response, Uri,
};
use support::{Raw, listen, pass, soon};

const ID: &str = "x-id";

const CONNECT_MS: u64 = 1_000;

/// How a server ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

impl End {
    async fn apply(self, server: Raw) {
        // What was sent has to arrive before a reset, which overtakes it otherwise.
        pass(5).await;
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

/// Returns whether an answer has the identity `id`, or none.
fn is_for(id: &str) -> impl Fn(&ResponseHead) -> bool + '_ {
    move |head| {
        head.headers
            .get(ID)
            .is_none_or(|v| v.as_bytes() == id.as_bytes())
    }
}

fn ok(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{ID}: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

async fn connect(address: SocketAddr) -> ClientConn {
    let date = DateService::default();
    let conn = soon(ClientConn::connect(address, date, CONNECT_MS)).await;
    conn.expect("a connection")
}

/// Returns both ends of a connection.
async fn pair() -> (ClientConn, Raw) {
    let listener = listen().await;
    let conn = connect(listener.local_addr().expect("an address")).await;
    let (stream, _) = listener.accept().await.expect("a connection");
    (conn, Raw::new(stream))
}

/// Runs one exchange against a server that answers with these bytes and then ends.
async fn play(request: Request, answer: &str, end: End) -> Result<Response, ExchangeError> {
    let (mut conn, mut server) = pair().await;
    let serve = async {
        server.head().await;
        server.send(answer).await;
        end.apply(server).await;
    };
    let (result, ()) = tokio::join!(soon(conn.exchange(request, is_for("1"))), serve);
    result
}

/// Runs one exchange against a server that answers with these bytes and stays.
async fn talk(conn: &mut ClientConn, server: &mut Raw, id: &str, answer: &str) -> Response {
    let serve = async {
        server.head().await;
        server.send(answer).await;
    };
    let (result, ()) = tokio::join!(soon(conn.exchange(get(id), is_for(id))), serve);
    result.expect("an answer")
}
