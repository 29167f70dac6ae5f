//! Requests and responses of a connection, and when it is reused.

use ntex::http::DateService;
use oriolering_http::{ClientConn, Method, StatusCode};
use rstest::rstest;
use tokio::net::TcpListener;

use crate::support::{run, sleep_ms, within_deadline};
use crate::{
    CONNECT_MS, End, connected_pair, exchange_kept_open, get, matches_id, ok_response, request,
};

#[test]
fn a_request_arrives_unchanged() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let serve = async {
            let head = server.head().await;
            let body = server.bytes(3).await;
            server.send(ok_response("1", "yes")).await;
            (head, body)
        };
        let exchange = conn.exchange(request(Method::POST, "1", b"abc"), matches_id("1"));
        let (response, (head, body)) = tokio::join!(within_deadline(exchange), serve);
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
fn a_connection_is_reused_for_consecutive_exchanges() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        for id in ["1", "2", "3"] {
            let response =
                exchange_kept_open(&mut conn, &mut server, id, &ok_response(id, id)).await;
            assert_eq!(&response.body[..], id.as_bytes());
            assert!(conn.is_reusable());
        }
    });
}

#[rstest]
#[case::announced("Keep-Alive: timeout=5\r\n", 3_500)]
#[case::with_others("Keep-Alive: max=3, timeout=10\r\n", 7_000)]
#[case::upper_case("Keep-Alive: Timeout=5\r\n", 3_500)]
#[case::none_at_all("Keep-Alive: timeout=0\r\n", 0)]
#[case::not_announced("", 4_000)]
#[case::unreadable("Keep-Alive: timeout=soon\r\n", 4_000)]
fn the_keep_alive_header_sets_the_idle_time(#[case] header: &str, #[case] idle_ms: u64) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let answer = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n");
        exchange_kept_open(&mut conn, &mut server, "1", &answer).await;
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
fn a_connection_that_the_server_closes_is_not_reused(#[case] answer: &str) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        exchange_kept_open(&mut conn, &mut server, "1", answer).await;
        assert!(!conn.is_reusable());
    });
}

#[rstest]
fn the_end_of_an_idle_connection_is_detected_before_reuse(
    #[values(End::Close, End::Reset)] end: End,
) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        exchange_kept_open(&mut conn, &mut server, "1", &ok_response("1", "a")).await;
        assert!(conn.is_reusable());
        end.apply(server).await;
        sleep_ms(20).await;
        assert!(!conn.is_reusable());
    });
}

#[test]
fn a_failed_connection_attempt_sends_nothing() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let date = DateService::default();
        let result = within_deadline(ClientConn::connect(address, date, CONNECT_MS)).await;
        assert!(result.expect_err("nobody listens").is_unsent());
    });
}

#[test]
fn a_request_may_have_run_when_the_server_closes_at_once() {
    run(async {
        for end in [End::Close, End::Reset] {
            let (mut conn, server) = connected_pair().await;
            end.apply(server).await;
            let result = within_deadline(conn.exchange(get("1"), matches_id("1"))).await;
            assert!(!result.expect_err("no answer").is_unsent());
        }
    });
}

#[test]
fn dropping_an_exchange_and_its_connection_closes_it_at_the_server() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let exchange = tokio::task::spawn_local(async move {
            conn.exchange(get("1"), matches_id("1")).await.map(|_| ())
        });
        server.head().await;
        exchange.abort();
        assert!(server.rest().await.is_empty());
    });
}
