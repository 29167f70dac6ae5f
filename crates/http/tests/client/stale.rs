//! Responses to other requests and unexpected bytes.

use rstest::rstest;

use crate::support::{run, sleep_ms};
use crate::{End, ID, connected_pair, exchange_kept_open, exchange_then_end, get, ok_response};

#[rstest]
#[case::length(ok_response("0", "stale"))]
#[case::empty(ok_response("0", ""))]
#[case::failure(format!("HTTP/1.1 500 No\r\n{ID}: 0\r\nContent-Length: 2\r\n\r\nno"))]
#[case::chunks(format!("HTTP/1.1 200 OK\r\n{ID}: 0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))]
#[case::unmodified_with_a_length(format!("HTTP/1.1 304 No\r\n{ID}: 0\r\nContent-Length: 5\r\n\r\n"))]
#[case::no_content_with_a_length(format!("HTTP/1.1 204 No\r\n{ID}: 0\r\nContent-Length: 5\r\n\r\n"))]
#[case::two(ok_response("0", "a") + &ok_response("00", "b"))]
fn an_answer_to_another_request_is_discarded(#[case] stale: String) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let both = stale + &ok_response("1", "wanted");
        let response = exchange_kept_open(&mut conn, &mut server, "1", &both).await;
        assert_eq!(&response.body[..], b"wanted");
        assert!(conn.is_reusable());
    });
}

#[test]
fn only_an_answer_to_another_request_is_an_error() {
    run(async {
        let error = exchange_then_end(get("1"), &ok_response("0", "stale"), End::Close).await;
        assert!(!error.expect_err("no answer").is_unsent());
    });
}

#[test]
fn an_extra_answer_after_the_matching_one_prevents_reuse() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let both = ok_response("1", "wanted") + &ok_response("0", "extra");
        let response = exchange_kept_open(&mut conn, &mut server, "1", &both).await;
        assert_eq!(&response.body[..], b"wanted");
        assert!(!conn.is_reusable());
    });
}

#[rstest]
#[case::a_byte("x")]
#[case::an_answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
fn bytes_that_arrive_late_prevent_reuse(#[case] extra: &str) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        exchange_kept_open(&mut conn, &mut server, "1", &ok_response("1", "wanted")).await;
        assert!(conn.is_reusable());
        server.send(extra).await;
        sleep_ms(20).await;
        assert!(!conn.is_reusable());
    });
}

#[test]
fn an_extra_answer_that_arrives_with_the_next_exchange_is_discarded() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        exchange_kept_open(&mut conn, &mut server, "1", &ok_response("1", "first")).await;
        assert!(conn.is_reusable());
        let both = ok_response("1", "again") + &ok_response("2", "second");
        let response = exchange_kept_open(&mut conn, &mut server, "2", &both).await;
        assert_eq!(&response.body[..], b"second");
    });
}
