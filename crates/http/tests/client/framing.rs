//! The framing of responses, and bytes that are no valid response.

use oriolering_http::Method;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

use crate::support::{run, sleep_ms, within_deadline};
use crate::{
    End, connected_pair, exchange_kept_open, exchange_then_end, get, matches_id, ok_response,
    request,
};

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4\r\ncdef\r\n0\r\n\r\n"
)]
fn an_answer_is_read_whole_wherever_it_is_split(#[case] answer: &str) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        for split in 1..answer.len() {
            let serve = async {
                server.head().await;
                server.send(&answer[..split]).await;
                sleep_ms(2).await;
                server.send(&answer[split..]).await;
            };
            let exchange = within_deadline(conn.exchange(get("1"), matches_id("1")));
            let (response, ()) = tokio::join!(exchange, serve);
            let response = response.expect("an answer");
            assert_eq!(&response.body[..], b"abcdef", "split at {split}");
            assert!(conn.is_reusable(), "split at {split}");
        }
    });
}

#[rstest]
fn an_answer_with_a_length_that_ends_early_is_an_error(#[values(End::Close, End::Reset)] end: End) {
    run(async {
        let answer = ok_response("1", "0123456789");
        for length in 0..answer.len() {
            let result = exchange_then_end(get("1"), &answer[..length], end).await;
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
            let result = exchange_then_end(get("1"), &answer[..length], end).await;
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
        let response = exchange_then_end(get("1"), answer, End::Close).await;
        assert_eq!(&response.expect("an answer").body[..], b"all of it");
        let result = exchange_then_end(get("1"), answer, End::Reset).await;
        assert!(!result.expect_err("it was reset").is_unsent());
    });
}

#[test]
fn a_long_answer_without_a_length_is_whole() {
    run(async {
        let body = "z".repeat(1_000_000);
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let response = exchange_then_end(get("1"), &answer, End::Close).await;
        assert_eq!(response.expect("an answer").body.len(), body.len());
    });
}

#[rstest]
#[case::identity("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nall of it")]
#[case::old_version_in_chunks("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")]
#[case::upgrade("HTTP/1.1 200 OK\r\nUpgrade: h2c\r\n\r\nall of it")]
fn an_answer_with_unusual_framing_is_never_truncated(#[case] answer: &str) {
    run(async {
        if let Ok(response) = exchange_then_end(get("1"), answer, End::Close).await {
            assert_eq!(&response.body[..], b"all of it");
        }
    });
}

#[rstest]
#[case::length_and_chunks("Content-Length: 3\r\nTransfer-Encoding: chunked")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4")]
#[case::no_number("Content-Length: x")]
fn an_answer_with_ambiguous_framing_is_an_error(#[case] framing: &str) {
    run(async {
        let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\nabcd");
        let result = exchange_then_end(get("1"), &answer, End::Close).await;
        assert!(!result.expect_err("the framing is ambiguous").is_unsent());
    });
}

#[rstest]
#[case::proceed("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::hints("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n")]
#[case::two("HTTP/1.1 102 P\r\n\r\nHTTP/1.1 100 C\r\n\r\n")]
fn interim_answers_are_skipped(#[case] before: &str) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let all = before.to_owned() + &ok_response("1", "final");
        let response = exchange_kept_open(&mut conn, &mut server, "1", &all).await;
        assert_eq!(&response.body[..], b"final");
        assert!(conn.is_reusable());
    });
}

#[test]
fn an_unrequested_protocol_switch_is_an_error() {
    run(async {
        let answer = "HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n\x01\x02";
        let result = exchange_then_end(get("1"), answer, End::Close).await;
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
        let (mut conn, mut server) = connected_pair().await;
        let serve = async {
            server.head().await;
            server.send(answer).await;
        };
        let exchange = conn.exchange(request(method, "1", b""), matches_id("1"));
        let (response, ()) = tokio::join!(within_deadline(exchange), serve);
        assert!(response.expect("an answer").body.is_empty());
        assert!(conn.is_reusable());
        let response =
            exchange_kept_open(&mut conn, &mut server, "2", &ok_response("2", "next")).await;
        assert_eq!(&response.body[..], b"next");
    });
}

#[rstest]
#[case::text("what is this\r\n\r\n")]
#[case::control_bytes("\x00\x01\x02\x03\r\n\r\n")]
#[case::other_protocol("SSH-2.0-x\r\n")]
#[case::status("HTTP/1.1 two OK\r\n\r\n")]
#[case::chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
fn invalid_http_is_an_error(#[case] answer: &str) {
    run(async {
        let result = exchange_then_end(get("1"), answer, End::Close).await;
        assert!(!result.expect_err("no answer").is_unsent());
    });
}

#[test]
fn a_very_long_head_is_an_error() {
    run(async {
        let answer = format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(200_000));
        let result = exchange_then_end(get("1"), &answer, End::Close).await;
        assert!(!result.expect_err("no answer").is_unsent());
    });
}

// Guards against a status that is not a valid one and that callers would get.
#[rstest]
fn a_status_outside_the_valid_range_is_an_error(
    #[values(
        "000", "001", "99", "099", "600", "999", "1000", "2000", "-20", "20", "+200", "2 00"
    )]
    status: &str,
    #[values("1.1", "1.0")] version: &str,
) {
    run(async {
        let answer = format!("HTTP/{version} {status} OK\r\nContent-Length: 1\r\n\r\na");
        let result = exchange_then_end(get("1"), &answer, End::Close).await;
        assert!(!result.expect_err("no valid status").is_unsent());
    });
}

// Guards against field names that are no tokens, and against a panic by one that is too long.
#[rstest]
#[case::blank("X Y: 1")]
#[case::blank_before_the_colon("X : 1")]
#[case::tab("X\tY: 1")]
#[case::leading_blank(" X: 1")]
#[case::only_a_blank(" : 1")]
#[case::empty(": 1")]
#[case::nul("X\0Y: 1")]
#[case::escape("X\x1bY: 1")]
#[case::delete("X\x7fY: 1")]
#[case::carriage_return("X\rY: 1")]
#[case::no_ascii("X\u{e9}: 1")]
#[case::separator("X(Y): 1")]
#[case::no_colon("X")]
#[case::folded("X: 1\r\n 2")]
#[case::nul_in_the_value("X: 1\x002")]
#[case::return_in_the_value("X: 1\r2")]
#[case::too_long(&("X".repeat(70_000) + ": 1"))]
fn an_invalid_field_is_an_error(
    #[case] field: &str,
    #[values(true, false)] first: bool,
    #[values("1.1", "1.0")] version: &str,
) {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let length = "Content-Length: 1";
        let fields = match first {
            true => format!("{field}\r\n{length}"),
            false => format!("{length}\r\n{field}"),
        };
        let answer = format!("HTTP/{version} 200 OK\r\n{fields}\r\n\r\na");
        let serve = async {
            server.head().await;
            // A long head arrives in two reads.
            let split = answer.len() / 3;
            server.send(&answer[..split]).await;
            sleep_ms(5).await;
            let _ = server.stream.write_all(&answer.as_bytes()[split..]).await;
            End::Close.apply(server).await;
        };
        let exchange = within_deadline(conn.exchange(get("1"), matches_id("1")));
        let (result, ()) = tokio::join!(exchange, serve);
        assert!(!result.expect_err("no valid field").is_unsent());
    });
}
