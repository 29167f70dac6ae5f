//! Servers that send bytes endlessly until their connection is closed.

use std::rc::Rc;

use oriolering_http::{AnswerRoom, ExchangeError, Response};
use rstest::rstest;
use tokio::io::AsyncWriteExt;

use crate::support::{RawPeer, run, sleep_ms, within_deadline};
use crate::{ID, connected_pair, get, matches_id, ok_response};

/// The memory limit for responses in these tests, in bytes.
const ROOM_BYTES: usize = 1_000_000;
/// How many bytes each response may take above the limit.
const SMALL_BYTES: usize = 256 * 1024;
/// The least number of bytes sent in one write.
const PIECE_BYTES: usize = 4_096;
/// The most that the socket buffers of one loopback connection hold, in bytes.
const BUFFERS_BYTES: usize = 12_000_000;

/// Sends `first` and then `more` endlessly; returns how many bytes of `more` were sent until the
/// connection ended.
async fn send_endlessly(server: &mut RawPeer, first: &str, more: &str) -> usize {
    server.head().await;
    server.send(first).await;
    let piece = more.repeat(PIECE_BYTES.div_ceil(more.len()));
    let mut sent = 0;
    while server.stream.write_all(piece.as_bytes()).await.is_ok() {
        sent += piece.len();
    }
    sent
}

/// Runs an exchange with a server that sends endlessly, and closes the connection; returns the
/// result and how many bytes the server could send.
async fn exchange_endless(first: &str, more: &str) -> (Result<Response, ExchangeError>, usize) {
    let room = AnswerRoom::new(ROOM_BYTES);
    let (conn, mut server) = connected_pair().await;
    let mut conn = conn.with_room(&room);
    let exchange = async move {
        let result = within_deadline(conn.exchange(get("1"), matches_id("1"))).await;
        assert!(!conn.is_reusable());
        result
    };
    let (result, sent) = tokio::join!(exchange, send_endlessly(&mut server, first, more));
    assert_eq!(room.used(), 0, "the memory of the answer is released");
    (result, sent)
}

fn head(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{ID}: 1\r\n{fields}")
}

#[rstest]
#[case::a_status_line("HTTP/1.1 200 ", "a")]
#[case::a_header("HTTP/1.1 200 OK\r\na: ", "a")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::the_name_of_a_header("HTTP/1.1 200 OK\r\n", "a")]
#[case::empty_lines("", "\r\n")]
#[case::zeros("", "\0")]
#[case::text("", "no answer ")]
#[case::interim_answers("", "HTTP/1.1 102 Go on\r\n\r\n")]
fn an_endless_head_fails_the_exchange(#[case] first: &str, #[case] more: &str) {
    run(async {
        let (result, sent) = exchange_endless(first, more).await;
        assert!(!result.expect_err("no answer").is_unsent());
        assert!(sent < BUFFERS_BYTES, "{sent} bytes");
    });
}

#[rstest]
#[case::the_size_of_a_chunk(head("Transfer-Encoding: chunked\r\n\r\n"), "0")]
#[case::the_size_of_a_large_chunk(head("Transfer-Encoding: chunked\r\n\r\n"), "1")]
#[case::a_chunk_extension(head("Transfer-Encoding: chunked\r\n\r\n5;"), "a")]
#[case::a_trailer(head("Transfer-Encoding: chunked\r\n\r\n0\r\n"), "a: b\r\n")]
#[case::chunks(head("Transfer-Encoding: chunked\r\n\r\n"), "4\r\nbody\r\n")]
#[case::a_large_chunk(head("Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"), "a")]
#[case::a_body_without_a_length(head("\r\n"), "a")]
#[case::a_body_with_a_large_length(head("Content-Length: 99999999999\r\n\r\n"), "a")]
#[case::answers_to_others(String::new(), &ok_response("0", "stale"))]
fn an_endless_body_fails_the_exchange(#[case] first: String, #[case] more: &str) {
    run(async {
        let (result, sent) = exchange_endless(&first, more).await;
        assert!(!result.expect_err("no answer").is_unsent());
        assert!(
            sent < BUFFERS_BYTES + ROOM_BYTES + SMALL_BYTES,
            "{sent} bytes"
        );
    });
}

/// The response is complete; the connection is not reused because of the bytes that follow.
#[test]
fn endless_bytes_after_an_answer_close_the_connection() {
    run(async {
        let (result, sent) = exchange_endless(&ok_response("1", "whole"), "a").await;
        assert_eq!(&result.expect("an answer").body[..], b"whole");
        assert!(sent < BUFFERS_BYTES, "{sent} bytes");
    });
}

/// Endless responses from several servers together stay within the memory limit, and meanwhile
/// small responses from another server are read.
#[test]
fn endless_answers_leave_memory_for_small_ones() {
    run(async {
        let room = AnswerRoom::new(ROOM_BYTES);
        let mut endless = Vec::new();
        for _ in 0..8 {
            let (conn, mut server) = connected_pair().await;
            let mut conn = conn.with_room(&room);
            let first = head("\r\n");
            tokio::task::spawn_local(async move { send_endlessly(&mut server, &first, "a").await });
            endless.push(tokio::task::spawn_local(async move {
                conn.exchange(get("1"), matches_id("1")).await
            }));
        }
        let (conn, mut server) = connected_pair().await;
        let mut conn = conn.with_room(&room);
        let mut most = 0;
        while !endless.iter().all(|task| task.is_finished()) {
            let body = "b".repeat(100_000);
            let answer = async {
                server.head().await;
                server.send(ok_response("1", &body)).await;
            };
            let (result, ()) = tokio::join!(
                within_deadline(conn.exchange(get("1"), matches_id("1"))),
                answer
            );
            assert_eq!(result.expect("an answer").body.len(), body.len());
            most = most.max(room.used());
            sleep_ms(1).await;
        }
        assert!(most <= ROOM_BYTES + 9 * SMALL_BYTES, "{most} bytes");
        for task in endless {
            let error = within_deadline(task)
                .await
                .expect("a task")
                .expect_err("no end");
            assert!(matches!(error, ExchangeError::MemoryFull { .. }), "{error}");
        }
        assert_eq!(Rc::strong_count(&room), 2);
    });
}

// Guards against a response that can't be kept whole and is read up to the limit nevertheless: it is
// given up before any byte of its body arrives.
#[rstest]
#[case::the_limit_of_a_response(usize::MAX, 16 * 1_024 * 1_024)]
#[case::the_limit_of_all_responses(ROOM_BYTES, ROOM_BYTES)]
#[case::small_responses(0, SMALL_BYTES)]
fn an_answer_that_is_announced_too_long_is_given_up_at_its_head(
    #[case] room_bytes: usize,
    #[case] longest: usize,
) {
    run(async {
        let room = AnswerRoom::new(room_bytes);
        for (length, fits) in [(longest, true), (longest + 1, false)] {
            let (conn, mut server) = connected_pair().await;
            let mut conn = conn.with_room(&room);
            let serve = async {
                server.head().await;
                server
                    .send(head(&format!("Content-Length: {length}\r\n\r\n")))
                    .await;
                if fits {
                    server.send(vec![b'x'; length]).await;
                }
            };
            let exchange = within_deadline(conn.exchange(get("1"), matches_id("1")));
            let (result, ()) = tokio::join!(exchange, serve);
            match result {
                Ok(response) => assert_eq!((response.body.len(), fits), (length, true)),
                Err(e) => {
                    assert!(
                        matches!(e, ExchangeError::TooLarge { limit } if limit == longest),
                        "{e}"
                    );
                    assert!(!fits, "{length} bytes");
                }
            }
        }
    });
}
