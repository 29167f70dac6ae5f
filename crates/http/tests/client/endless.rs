//! Servers that send bytes without end until their connection closes.

use std::rc::Rc;

use oriolering_http::{AnswerRoom, ExchangeError, Response};
use rstest::rstest;
use tokio::io::AsyncWriteExt;

use crate::support::{Raw, pass, run, soon};
use crate::{ID, get, is_for, ok, pair};

/// The memory for answers in these tests, in bytes.
const ROOM_BYTES: usize = 1_000_000;
/// What each answer may take beside it.
const SMALL_BYTES: usize = 256 * 1024;
/// How many bytes are sent at once.
const PIECE_BYTES: usize = 4_096;
/// What the system's buffers of one connection on loopback may hold, in bytes.
const BUFFERS_BYTES: usize = 12_000_000;

/// Sends `first` and then `more` without end; returns how many bytes went out until the
/// connection ended.
async fn send_without_end(server: &mut Raw, first: &str, more: &str) -> usize {
    server.head().await;
    server.send(first).await;
    let piece = more.repeat(PIECE_BYTES.div_ceil(more.len()));
    let mut sent = 0;
    while server.stream.write_all(piece.as_bytes()).await.is_ok() {
        sent += piece.len();
    }
    sent
}

/// Runs an exchange with a server that sends without end, and closes the connection; returns how
/// it ended and how many bytes the server could send.
async fn play(first: &str, more: &str) -> (Result<Response, ExchangeError>, usize) {
    let room = AnswerRoom::new(ROOM_BYTES);
    let (conn, mut server) = pair().await;
    let mut conn = conn.with_room(&room);
    let exchange = async move {
        let result = soon(conn.exchange(get("1"), is_for("1"))).await;
        assert!(!conn.is_reusable());
        result
    };
    let (result, sent) = tokio::join!(exchange, send_without_end(&mut server, first, more));
    assert_eq!(room.used(), 0, "what an answer took is given back");
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
fn a_head_without_end_ends_the_exchange(#[case] first: &str, #[case] more: &str) {
    run(async {
        let (result, sent) = play(first, more).await;
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
#[case::answers_to_others(String::new(), &ok("0", "stale"))]
fn a_body_without_end_ends_the_exchange(#[case] first: String, #[case] more: &str) {
    run(async {
        let (result, sent) = play(&first, more).await;
        assert!(!result.expect_err("no answer").is_unsent());
        assert!(
            sent < BUFFERS_BYTES + ROOM_BYTES + SMALL_BYTES,
            "{sent} bytes"
        );
    });
}

/// The answer is whole; what follows belongs to nobody, and its connection is not used again.
#[test]
fn bytes_without_end_behind_an_answer_end_the_connection() {
    run(async {
        let (result, sent) = play(&ok("1", "whole"), "a").await;
        assert_eq!(&result.expect("an answer").body[..], b"whole");
        assert!(sent < BUFFERS_BYTES, "{sent} bytes");
    });
}

/// Answers without end from several servers together stay within the room, and small answers
/// from others arrive all the while.
#[test]
fn answers_without_end_leave_room_for_small_ones() {
    run(async {
        let room = AnswerRoom::new(ROOM_BYTES);
        let mut endless = Vec::new();
        for _ in 0..8 {
            let (conn, mut server) = pair().await;
            let mut conn = conn.with_room(&room);
            let first = head("\r\n");
            tokio::task::spawn_local(
                async move { send_without_end(&mut server, &first, "a").await },
            );
            endless.push(tokio::task::spawn_local(async move {
                conn.exchange(get("1"), is_for("1")).await
            }));
        }
        let (conn, mut server) = pair().await;
        let mut conn = conn.with_room(&room);
        let mut most = 0;
        while !endless.iter().all(|task| task.is_finished()) {
            let body = "b".repeat(100_000);
            let answer = async {
                server.head().await;
                server.send(ok("1", &body)).await;
            };
            let (result, ()) = tokio::join!(soon(conn.exchange(get("1"), is_for("1"))), answer);
            assert_eq!(result.expect("an answer").body.len(), body.len());
            most = most.max(room.used());
            pass(1).await;
        }
        assert!(most <= ROOM_BYTES + 9 * SMALL_BYTES, "{most} bytes");
        for task in endless {
            let error = soon(task).await.expect("a task").expect_err("no end");
            assert!(matches!(error, ExchangeError::MemoryFull { .. }), "{error}");
        }
        assert_eq!(Rc::strong_count(&room), 2);
    });
}
