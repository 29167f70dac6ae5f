//! Responses whose bodies are read piece by piece.

use oriolering_http::{BodyReader, Bytes, ExchangeError, Response};
use rstest::rstest;

use crate::support::{RawPeer, run, within_deadline};
use crate::{End, connected_pair, get, matches_id};

const READ_BYTES: usize = 4_096;

/// Starts an exchange with a server that sends these bytes, and returns the server, too.
async fn open(answer: &str) -> (Result<(Response, BodyReader), ExchangeError>, RawPeer) {
    let (conn, mut server) = connected_pair().await;
    let exchange = conn.exchange_streamed(get("1"), READ_BYTES, matches_id("1"));
    let serve = async {
        server.head().await;
        server.send(answer).await;
    };
    let (result, ()) = tokio::join!(within_deadline(exchange), serve);
    (result, server)
}

async fn read_all(body: &mut BodyReader) -> Result<Vec<u8>, ExchangeError> {
    let mut all = Vec::new();
    while let Some(piece) = within_deadline(body.next(READ_BYTES)).await? {
        assert!(piece.len() <= READ_BYTES);
        all.extend_from_slice(&piece);
    }
    Ok(all)
}

/// Guards against a body that is truncated, or taken for complete too early.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", true)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
    true
)]
#[case::connection("HTTP/1.1 200 OK\r\n\r\nabcde", false)]
#[case::after_an_old_response(
    "HTTP/1.1 200 OK\r\nx-id: 0\r\nContent-Length: 2\r\n\r\nzzHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
    true
)]
#[case::error_response("HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nabcde", true)]
fn a_whole_body_is_read_to_its_end(#[case] answer: &str, #[case] reusable: bool) {
    run(async {
        let (opened, server) = open(answer).await;
        let (response, mut body) = opened.expect("a head");
        let server = match reusable {
            true => Some(server),
            false => {
                drop(server);
                None
            }
        };
        let rest = read_all(&mut body).await.expect("a whole body");
        assert_eq!([&response.body[..], &rest].concat(), b"abcde");
        assert!(body.is_complete());
        let conn = body.into_conn();
        assert_eq!(conn.is_some_and(|mut conn| conn.is_reusable()), reusable);
        drop(server);
    });
}

/// Guards against a truncated body that is taken for a complete one.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcde", End::Close)]
#[case::length_reset("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcde", End::Reset)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
    End::Close
)]
#[case::connection_reset("HTTP/1.1 200 OK\r\n\r\nabcde", End::Reset)]
fn a_truncated_body_is_an_error(#[case] answer: &str, #[case] end: End) {
    run(async {
        let (opened, server) = open(answer).await;
        let (_, mut body) = opened.expect("a head");
        let first = within_deadline(body.next(READ_BYTES)).await;
        assert_eq!(first.expect("a piece"), Some(Bytes::from_static(b"abcde")));
        end.apply(server).await;
        let result = read_all(&mut body).await;
        assert!(matches!(result, Err(ExchangeError::Truncated { .. })));
        assert!(!body.is_complete());
        assert!(body.into_conn().is_none());
    });
}

/// Guards against invalid chunks that reach the caller as a part of the body.
#[test]
fn a_malformed_chunk_is_an_error() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let (opened, _server) = open(&format!("{head}zz\r\nabc")).await;
        let (_, mut body) = opened.expect("a head");
        let result = read_all(&mut body).await;
        assert!(matches!(result, Err(ExchangeError::Malformed { .. })));
    });
}

/// Guards against a body that is buffered although nobody reads it.
#[test]
fn an_unread_body_stays_with_the_server() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 50000000\r\n\r\n";
        let (opened, mut server) = open(head).await;
        let (_, _body) = opened.expect("a head");
        let body = vec![b'x'; 50_000_000];
        let send = server.send(&body);
        let sent = tokio::time::timeout(std::time::Duration::from_millis(300), send).await;
        assert!(sent.is_err());
    });
}
