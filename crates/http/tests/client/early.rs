//! Responses that arrive before a long request body is written.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use oriolering_http::{ExchangeError, Method, Response};
use rstest::rstest;

use crate::support::{run, within_deadline};
use crate::{End, connect, connected_pair, matches_id, ok_response, request};

#[test]
fn an_early_answer_to_a_long_body_is_delivered_and_the_connection_not_reused() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let body = vec![b'b'; 32_000_000];
        let exchange = conn.exchange(request(Method::POST, "1", &body), matches_id("1"));
        let serve = async {
            server.head().await;
            server.send(ok_response("1", "early")).await;
        };
        let (response, ()) = tokio::join!(within_deadline(exchange), serve);
        assert_eq!(&response.expect("an answer").body[..], b"early");
        assert!(!conn.is_reusable());
        drop(conn);
        // Only a part of the body arrives.
        let rest = server.rest().await;
        assert!(rest.len() < body.len());
        assert!(rest.iter().all(|b| *b == b'b'));
    });
}

/// Responds on one connection after 300,000 bytes and closes it, which resets it, since the rest of
/// the request is unread.
fn answer_early(listener: TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut chunk = vec![0; 300_000];
    stream.read_exact(&mut chunk).expect("a part of the body");
    let answer = ok_response("1", "early");
    stream.write_all(answer.as_bytes()).expect("the peer reads");
}

#[test]
fn an_early_answer_before_a_reset_is_delivered() {
    run(async {
        let body = vec![b'b'; 4_000_000];
        for round in 0..100 {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let server = std::thread::spawn(move || answer_early(listener));
            let mut conn = connect(address).await;
            let exchange = conn.exchange(request(Method::POST, "1", &body), matches_id("1"));
            let response = within_deadline(exchange).await.map(|r| r.body);
            server.join().expect("the server ends");
            assert_eq!(&response.expect("an answer")[..], b"early", "round {round}");
            assert!(!conn.is_reusable());
        }
    });
}

#[test]
fn a_long_body_is_written_completely_before_the_answer() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let body = vec![b'b'; 8_000_000];
        let exchange = conn.exchange(request(Method::POST, "1", &body), matches_id("1"));
        let serve = async {
            server.head().await;
            let received = server.bytes(body.len()).await;
            server.send(ok_response("1", "done")).await;
            received.len()
        };
        let (response, received) = tokio::join!(within_deadline(exchange), serve);
        assert_eq!(&response.expect("an answer").body[..], b"done");
        assert_eq!(received, body.len());
        assert!(conn.is_reusable());
    });
}

/// The body of the early responses that the tests below send.
const EARLY: &str = "all of it";
/// The size of an upload, in bytes; the client still writes it when the response ends.
const UPLOAD_BYTES: usize = 20_000_000;
/// How many bytes a server reads before it responds.
const READ_BYTES: usize = 300_000;

/// Ends a connection whose request is unread, after all of the response was sent.
fn end_early(stream: TcpStream, end: End) {
    let socket = socket2::SockRef::from(&stream);
    match end {
        End::Reset => socket.set_linger(Some(Duration::ZERO)).expect("an option"),
        // The end of the stream comes first; dropping the unread request sends a reset after it.
        End::Close => stream.shutdown(Shutdown::Write).expect("the peer is there"),
    }
}

/// Runs an upload whose server responds after `read` bytes and then ends the connection.
async fn upload(response: String, read: usize, end: End) -> Result<Response, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut conn = connect(listener.local_addr().expect("an address")).await;
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut vec![0; read]).expect("the request");
        stream
            .write_all(response.as_bytes())
            .expect("the peer reads");
        end_early(stream, end);
    });
    if read == 0 {
        // Blocks the runtime, so that a write is the first to meet the end of the connection.
        while !server.is_finished() {
            std::thread::yield_now();
        }
    }
    let request = request(Method::POST, "1", &vec![b'b'; UPLOAD_BYTES]);
    let result = within_deadline(conn.exchange(request, matches_id("1"))).await;
    server.join().expect("the server ends");
    result
}

// Guards against a failed write that takes the socket's error, so that the next read reports an
// ordinary end: a body without a length that was reset then seems complete.
#[rstest]
fn an_early_answer_without_a_length_is_whole_unless_it_is_reset(
    #[values("1.1", "1.0")] version: &str,
    #[values((0, 1), (READ_BYTES, 20))] (read, rounds): (usize, usize),
    #[values(End::Close, End::Reset)] end: End,
) {
    run(async {
        for round in 0..rounds {
            let response = format!("HTTP/{version} 200 OK\r\n\r\n{EARLY}");
            let body = upload(response, read, end).await.map(|r| r.body);
            match end {
                End::Close => assert_eq!(&body.expect("it is whole")[..], EARLY.as_bytes()),
                End::Reset => assert!(body.is_err(), "round {round}: {body:?}"),
            }
        }
    });
}

// Guards against a whole response that is discarded because the connection was reset after it.
#[rstest]
#[case::length(ok_response("1", EARLY))]
#[case::chunks(format!(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{EARLY}\r\n0\r\n\r\n"
))]
fn an_early_answer_with_framing_is_whole_before_a_reset(
    #[case] response: String,
    #[values((0, 1), (READ_BYTES, 20))] (read, rounds): (usize, usize),
    #[values(End::Close, End::Reset)] end: End,
) {
    run(async {
        for round in 0..rounds {
            let body = upload(response.clone(), read, end).await.map(|r| r.body);
            let body = body.unwrap_or_else(|e| panic!("round {round}: {e}"));
            assert_eq!(&body[..], EARLY.as_bytes(), "round {round}");
        }
    });
}
