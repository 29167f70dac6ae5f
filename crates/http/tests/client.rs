//! What a connection to a server promises, one promise in each test.

mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;

use ntex::http::{DateService, ResponseHead};
use oriolering_http::{
    Bytes, ClientConn, ExchangeError, HeaderMap, HeaderName, HeaderValue, Method, Request,
    Response, StatusCode, Uri,
};
use rstest::rstest;
use support::{Raw, listen, pass, run, soon};
use tokio::net::TcpListener;

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

#[test]
fn a_request_arrives_as_it_was_given() {
    run(async {
        let (mut conn, mut server) = pair().await;
        let serve = async {
            let head = server.head().await;
            let body = server.bytes(3).await;
            server.send(ok("1", "yes")).await;
            (head, body)
        };
        let exchange = conn.exchange(request(Method::POST, "1", b"abc"), is_for("1"));
        let (response, (head, body)) = tokio::join!(soon(exchange), serve);
        let response = response.expect("an answer");
        assert!(head.starts_with("POST /p?q=1 HTTP/1.1\r\n"), "{head}");
        assert!(head.contains("content-length: 3"), "{head}");
        assert!(head.contains("x-id: 1"), "{head}");
        assert_eq!(body, b"abc");
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(&response.body[..], b"yes");
        assert!(conn.is_reusable());
    });
}

#[test]
fn a_connection_carries_one_exchange_after_the_other() {
    run(async {
        let (mut conn, mut server) = pair().await;
        for id in ["1", "2", "3"] {
            let response = talk(&mut conn, &mut server, id, &ok(id, id)).await;
            assert_eq!(&response.body[..], id.as_bytes());
            assert!(conn.is_reusable());
        }
    });
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4\r\ncdef\r\n0\r\n\r\n"
)]
fn an_answer_is_whole_wherever_it_is_split(#[case] answer: &str) {
    run(async {
        let (mut conn, mut server) = pair().await;
        for split in 1..answer.len() {
            let serve = async {
                server.head().await;
                server.send(&answer[..split]).await;
                pass(2).await;
                server.send(&answer[split..]).await;
            };
            let exchange = soon(conn.exchange(get("1"), is_for("1")));
            let (response, ()) = tokio::join!(exchange, serve);
            let response = response.expect("an answer");
            assert_eq!(&response.body[..], b"abcdef", "split at {split}");
            assert!(conn.is_reusable(), "split at {split}");
        }
    });
}

#[rstest]
#[case::length(ok("0", "stale"))]
#[case::empty(ok("0", ""))]
#[case::failure(format!("HTTP/1.1 500 No\r\n{ID}: 0\r\nContent-Length: 2\r\n\r\nno"))]
#[case::chunks(format!("HTTP/1.1 200 OK\r\n{ID}: 0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))]
#[case::unmodified_with_a_length(format!("HTTP/1.1 304 No\r\n{ID}: 0\r\nContent-Length: 5\r\n\r\n"))]
#[case::no_content_with_a_length(format!("HTTP/1.1 204 No\r\n{ID}: 0\r\nContent-Length: 5\r\n\r\n"))]
#[case::two(ok("0", "a") + &ok("00", "b"))]
fn an_answer_to_another_request_is_passed_over(#[case] stale: String) {
    run(async {
        let (mut conn, mut server) = pair().await;
        let both = stale + &ok("1", "wanted");
        let response = talk(&mut conn, &mut server, "1", &both).await;
        assert_eq!(&response.body[..], b"wanted");
        assert!(conn.is_reusable());
    });
}

#[test]
fn an_answer_to_another_request_alone_is_no_answer() {
    run(async {
        let error = play(get("1"), &ok("0", "stale"), End::Close).await;
        assert!(!error.expect_err("no answer").is_unsent());
    });
}

#[test]
fn an_extra_answer_behind_the_wanted_one_makes_the_connection_unusable() {
    run(async {
        let (mut conn, mut server) = pair().await;
        let both = ok("1", "wanted") + &ok("0", "extra");
        let response = talk(&mut conn, &mut server, "1", &both).await;
        assert_eq!(&response.body[..], b"wanted");
        assert!(!conn.is_reusable());
    });
}

#[rstest]
#[case::a_byte("x")]
#[case::an_answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
fn bytes_that_arrive_late_make_the_connection_unusable(#[case] extra: &str) {
    run(async {
        let (mut conn, mut server) = pair().await;
        talk(&mut conn, &mut server, "1", &ok("1", "wanted")).await;
        assert!(conn.is_reusable());
        server.send(extra).await;
        pass(20).await;
        assert!(!conn.is_reusable());
    });
}

#[test]
fn an_extra_answer_that_arrives_with_the_next_exchange_is_passed_over() {
    run(async {
        let (mut conn, mut server) = pair().await;
        talk(&mut conn, &mut server, "1", &ok("1", "first")).await;
        assert!(conn.is_reusable());
        let both = ok("1", "again") + &ok("2", "second");
        let response = talk(&mut conn, &mut server, "2", &both).await;
        assert_eq!(&response.body[..], b"second");
    });
}

#[rstest]
fn an_answer_with_a_length_that_ends_early_is_an_error(#[values(End::Close, End::Reset)] end: End) {
    run(async {
        let answer = ok("1", "0123456789");
        for length in 0..answer.len() {
            let result = play(get("1"), &answer[..length], end).await;
            let error = result.expect_err("it ended early");
            assert!(!error.is_unsent(), "{length} bytes: {error}");
        }
    });
}

#[rstest]
fn an_answer_in_chunks_that_ends_early_is_an_error(#[values(End::Close, End::Reset)] end: End) {
    run(async {
        let answer =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        for length in 0..answer.len() {
            let result = play(get("1"), &answer[..length], end).await;
            let error = result.expect_err("it ended early");
            assert!(!error.is_unsent(), "{length} bytes: {error}");
        }
    });
}

#[rstest]
#[case::new_version("HTTP/1.1 200 OK\r\n\r\nall of it")]
#[case::old_version("HTTP/1.0 200 OK\r\n\r\nall of it")]
#[case::closing("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")]
fn an_answer_without_a_length_ends_with_its_connection(#[case] answer: &str) {
    run(async {
        let response = play(get("1"), answer, End::Close).await;
        assert_eq!(&response.expect("an answer").body[..], b"all of it");
        let result = play(get("1"), answer, End::Reset).await;
        assert!(!result.expect_err("it was reset").is_unsent());
    });
}

#[test]
fn a_long_answer_without_a_length_is_whole() {
    run(async {
        let body = "z".repeat(1_000_000);
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let response = play(get("1"), &answer, End::Close).await;
        assert_eq!(response.expect("an answer").body.len(), body.len());
    });
}

#[rstest]
#[case::identity("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nall of it")]
#[case::old_version_in_chunks("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")]
#[case::upgrade("HTTP/1.1 200 OK\r\nUpgrade: h2c\r\n\r\nall of it")]
fn an_answer_framed_in_another_way_is_never_a_shorter_one(#[case] answer: &str) {
    run(async {
        if let Ok(response) = play(get("1"), answer, End::Close).await {
            assert_eq!(&response.body[..], b"all of it");
        }
    });
}

#[rstest]
#[case::length_and_chunks("Content-Length: 3\r\nTransfer-Encoding: chunked")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4")]
#[case::no_number("Content-Length: x")]
fn an_answer_whose_framing_is_in_doubt_is_an_error(#[case] framing: &str) {
    run(async {
        let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\nabcd");
        let result = play(get("1"), &answer, End::Close).await;
        assert!(!result.expect_err("it is in doubt").is_unsent());
    });
}

#[rstest]
#[case::proceed("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::hints("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n")]
#[case::two("HTTP/1.1 102 P\r\n\r\nHTTP/1.1 100 C\r\n\r\n")]
fn answers_that_are_not_final_are_skipped(#[case] before: &str) {
    run(async {
        let (mut conn, mut server) = pair().await;
        let all = before.to_owned() + &ok("1", "final");
        let response = talk(&mut conn, &mut server, "1", &all).await;
        assert_eq!(&response.body[..], b"final");
        assert!(conn.is_reusable());
    });
}

#[test]
fn a_switch_of_protocols_that_nobody_asked_for_is_no_answer() {
    run(async {
        let answer = "HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n\x01\x02";
        let result = play(get("1"), answer, End::Close).await;
        assert!(!result.expect_err("no answer").is_unsent());
    });
}

#[rstest]
#[case::no_content(Method::GET, "HTTP/1.1 204 No Content\r\n\r\n")]
#[case::not_modified(Method::GET, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n")]
#[case::head(Method::HEAD, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")]
#[case::head_in_chunks(Method::HEAD, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")]
fn an_answer_that_never_has_a_body_ends_with_its_head(
    #[case] method: Method,
    #[case] answer: &str,
) {
    run(async {
        let (mut conn, mut server) = pair().await;
        let serve = async {
            server.head().await;
            server.send(answer).await;
        };
        let exchange = conn.exchange(request(method, "1", b""), is_for("1"));
        let (response, ()) = tokio::join!(soon(exchange), serve);
        assert!(response.expect("an answer").body.is_empty());
        assert!(conn.is_reusable());
        let response = talk(&mut conn, &mut server, "2", &ok("2", "next")).await;
        assert_eq!(&response.body[..], b"next");
    });
}

#[test]
fn an_early_answer_to_a_long_body_is_delivered_and_the_connection_not_used_again() {
    run(async {
        let (mut conn, mut server) = pair().await;
        let body = vec![b'b'; 32_000_000];
        let exchange = conn.exchange(request(Method::POST, "1", &body), is_for("1"));
        let serve = async {
            server.head().await;
            server.send(ok("1", "early")).await;
        };
        let (response, ()) = tokio::join!(soon(exchange), serve);
        assert_eq!(&response.expect("an answer").body[..], b"early");
        assert!(!conn.is_reusable());
        drop(conn);
        // What arrives is a part of the body, and nothing else.
        let rest = server.rest().await;
        assert!(rest.len() < body.len());
        assert!(rest.iter().all(|b| *b == b'b'));
    });
}

/// Answers one connection after 300,000 bytes and ends it with a reset, since more is unread.
fn answer_early(listener: std::net::TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut chunk = vec![0; 300_000];
    stream.read_exact(&mut chunk).expect("a part of the body");
    let answer = ok("1", "early");
    stream.write_all(answer.as_bytes()).expect("the peer reads");
}

#[test]
fn an_early_answer_from_a_server_that_then_ends_is_delivered() {
    run(async {
        let body = vec![b'b'; 4_000_000];
        for round in 0..100 {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let server = std::thread::spawn(move || answer_early(listener));
            let mut conn = connect(address).await;
            let exchange = conn.exchange(request(Method::POST, "1", &body), is_for("1"));
            let response = soon(exchange).await.map(|r| r.body);
            server.join().expect("the server ends");
            assert_eq!(&response.expect("an answer")[..], b"early", "round {round}");
            assert!(!conn.is_reusable());
        }
    });
}

#[test]
fn a_long_body_is_written_while_the_answer_is_awaited() {
    run(async {
        let (mut conn, mut server) = pair().await;
        let body = vec![b'b'; 8_000_000];
        let exchange = conn.exchange(request(Method::POST, "1", &body), is_for("1"));
        let serve = async {
            server.head().await;
            let received = server.bytes(body.len()).await;
            server.send(ok("1", "done")).await;
            received.len()
        };
        let (response, received) = tokio::join!(soon(exchange), serve);
        assert_eq!(&response.expect("an answer").body[..], b"done");
        assert_eq!(received, body.len());
        assert!(conn.is_reusable());
    });
}

#[rstest]
#[case::announced("Keep-Alive: timeout=5\r\n", 3_500)]
#[case::with_others("Keep-Alive: max=3, timeout=10\r\n", 7_000)]
#[case::upper_case("Keep-Alive: Timeout=5\r\n", 3_500)]
#[case::none_at_all("Keep-Alive: timeout=0\r\n", 0)]
#[case::not_announced("", 4_000)]
#[case::unreadable("Keep-Alive: timeout=soon\r\n", 4_000)]
fn a_server_says_how_long_its_connection_may_stay_idle(#[case] header: &str, #[case] idle_ms: u64) {
    run(async {
        let (mut conn, mut server) = pair().await;
        let answer = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n");
        talk(&mut conn, &mut server, "1", &answer).await;
        assert_eq!(conn.idle_ms(), idle_ms);
    });
}

#[rstest]
#[case::plain("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")]
#[case::upper_case("HTTP/1.1 200 OK\r\nConnection: CLOSE\r\nContent-Length: 0\r\n\r\n")]
#[case::in_a_list("HTTP/1.1 200 OK\r\nConnection: x-a, close\r\nContent-Length: 0\r\n\r\n")]
#[case::second_header(
    "HTTP/1.1 200 OK\r\nConnection: x-a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)]
#[case::old_version("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")]
fn a_server_that_closes_is_not_sent_another_request(#[case] answer: &str) {
    run(async {
        let (mut conn, mut server) = pair().await;
        talk(&mut conn, &mut server, "1", answer).await;
        assert!(!conn.is_reusable());
    });
}

#[rstest]
fn the_end_of_an_idle_connection_is_noticed_before_it_is_used(
    #[values(End::Close, End::Reset)] end: End,
) {
    run(async {
        let (mut conn, mut server) = pair().await;
        talk(&mut conn, &mut server, "1", &ok("1", "a")).await;
        assert!(conn.is_reusable());
        end.apply(server).await;
        pass(20).await;
        assert!(!conn.is_reusable());
    });
}

#[rstest]
#[case::text("what is this\r\n\r\n")]
#[case::control_bytes("\x00\x01\x02\x03\r\n\r\n")]
#[case::other_protocol("SSH-2.0-x\r\n")]
#[case::status("HTTP/1.1 two OK\r\n\r\n")]
#[case::chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
fn bytes_that_are_no_answer_are_an_error(#[case] answer: &str) {
    run(async {
        let result = play(get("1"), answer, End::Close).await;
        assert!(!result.expect_err("no answer").is_unsent());
    });
}

#[test]
fn a_head_without_end_is_an_error() {
    run(async {
        let answer = format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(200_000));
        let result = play(get("1"), &answer, End::Close).await;
        assert!(!result.expect_err("no answer").is_unsent());
    });
}

#[test]
fn a_server_that_does_not_listen_was_sent_nothing() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let date = DateService::default();
        let result = soon(ClientConn::connect(address, date, CONNECT_MS)).await;
        assert!(result.expect_err("nobody listens").is_unsent());
    });
}

#[test]
fn a_server_that_ends_at_once_may_have_run_the_request() {
    run(async {
        for end in [End::Close, End::Reset] {
            let (mut conn, server) = pair().await;
            end.apply(server).await;
            let result = soon(conn.exchange(get("1"), is_for("1"))).await;
            assert!(!result.expect_err("no answer").is_unsent());
        }
    });
}

#[test]
fn dropping_an_exchange_and_its_connection_ends_the_request_at_the_server() {
    run(async {
        let (mut conn, mut server) = pair().await;
        let exchange = tokio::task::spawn_local(async move {
            conn.exchange(get("1"), is_for("1")).await.map(|_| ())
        });
        server.head().await;
        exchange.abort();
        assert!(server.rest().await.is_empty());
    });
}
