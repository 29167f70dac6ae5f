//! Request bodies and their framing.

use rstest::rstest;

use crate::support::{run, sleep_ms};
use crate::{LIMITS, get, start};

#[rstest]
#[case::length(&["POST /p?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabcdef"])]
#[case::chunks(&["POST /p?q=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4;x=y\r\ncdef\r\n0\r\n\r\n"])]
fn a_body_arrives_whole_wherever_its_message_is_split(#[case] message: &[&str]) {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let bytes = message.concat().into_bytes();
        for split in 1..bytes.len() {
            caller.send(&bytes[..split]).await;
            sleep_ms(2).await;
            caller.send(&bytes[split..]).await;
            let reply = caller.reply().await;
            assert_eq!(reply.text(), "POST /p?q=1 abcdef", "split at {split}");
        }
    });
}

#[rstest]
#[case::length("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")]
#[case::chunks(
    "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)]
fn a_message_that_arrives_byte_by_byte_is_whole(#[case] message: &str) {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        for byte in message.bytes() {
            caller.send([byte]).await;
            tokio::task::yield_now().await;
        }
        caller.send(get("/next")).await;
        assert_eq!(caller.reply().await.text(), "POST /p abc");
        assert_eq!(caller.reply().await.text(), "GET /next ");
    });
}

#[test]
fn a_body_is_followed_by_the_next_pipelined_request() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let first = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
        let second =
            "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
        caller.send([first, second, &get("/c")].concat()).await;
        assert_eq!(caller.reply().await.text(), "POST /a abc");
        assert_eq!(caller.reply().await.text(), "POST /b x");
        assert_eq!(caller.reply().await.text(), "GET /c ");
    });
}

#[test]
fn a_caller_that_expects_100_continue_receives_it() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let head =
            "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
        caller.send(head).await;
        assert_eq!(caller.reply_head().await.status, 100);
        caller.send("abc").await;
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "POST /e abc"));
    });
}

#[test]
fn expect_continue_after_another_request_keeps_the_answers_in_order() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let head =
            "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
        caller.send([&get("/sleep/50"), head].concat()).await;
        sleep_ms(20).await;
        caller.send("abc").await;
        assert_eq!(caller.reply().await.text(), "GET /sleep/50 ");
        let mut reply = caller.reply().await;
        if reply.status == 100 {
            reply = caller.reply().await;
        }
        assert_eq!(reply.text(), "POST /e abc");
    });
}

#[rstest]
#[case::length_and_chunks(
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::chunks_and_length(
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
)]
#[case::two_lengths(
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"
)]
#[case::list_of_lengths("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n")]
#[case::signed_length("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n")]
#[case::negative_length("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n")]
#[case::no_number("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: three\r\n\r\n")]
#[case::two_encodings(
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::other_encoding("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")]
#[case::identity("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n")]
#[case::identity_and_length(
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\nContent-Length: 3\r\n\r\n"
)]
#[case::old_version_with_chunks(
    "POST /x HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::old_version_put_with_chunks(
    "PUT /x HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::other_protocol_with_a_length(
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nUpgrade: websocket\r\n\r\n"
)]
#[case::old_version_with_chunks_and_length(
    "POST /x HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::space_before_colon("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\n")]
#[case::no_http("HELLO\r\n\r\n")]
fn a_request_with_ambiguous_framing_gets_400_and_a_close(#[case] head: &str) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let smuggled = get("/smuggled");
        caller.send([head, &smuggled].concat()).await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 400);
        // HTTP/1.0 closes by default.
        assert!(reply.closes() || head.contains("HTTP/1.0"));
        assert!(caller.rest().await.is_empty());
        assert!(
            !service
                .events
                .borrow()
                .iter()
                .any(|e| e.starts_with("began"))
        );
    });
}

#[test]
fn an_invalid_chunk_gets_400_and_a_close() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller
            .send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
            .await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 400);
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        assert!(!service.saw("began /x"));
    });
}

#[test]
fn a_bad_request_after_a_good_one_is_answered_after_it() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller
            .send([&get("/sleep/80"), "BAD\r\n\r\n"].concat())
            .await;
        assert_eq!(caller.reply().await.text(), "GET /sleep/80 ");
        assert_eq!(caller.reply().await.status, 400);
        assert!(caller.rest().await.is_empty());
    });
}
