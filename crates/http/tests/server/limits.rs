//! Heads and bodies within and above their size limits.

use oriolering_http::ConnLimits;
use rstest::rstest;

use crate::support::{run, sleep_ms};
use crate::{LIMITS, get, start};

#[rstest]
#[case::whole(true)]
#[case::unfinished(false)]
fn a_head_that_is_too_large_gets_431_and_a_close(#[case] whole: bool) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let value = "v".repeat(LIMITS.header_bytes);
        let end = if whole { "\r\n\r\n" } else { "" };
        let head = format!("GET /x HTTP/1.1\r\nHost: a\r\nX-Long: {value}{end}");
        caller.send(head).await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 431);
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        assert!(!service.saw("began /x"));
    });
}

#[rstest]
#[case::small(4_000)]
#[case::up_to_the_buffer_of_the_codec(30_000)]
fn a_head_within_the_limit_that_arrives_in_parts_is_served(#[case] bytes: usize) {
    run(async {
        let limits = ConnLimits {
            header_bytes: 64 * 1024,
            ..LIMITS
        };
        let (_, mut caller) = start(limits).await;
        let value = "v".repeat(bytes);
        let head = format!("GET /x HTTP/1.1\r\nHost: a\r\nX-Long: {value}");
        caller.send(head).await;
        sleep_ms(20).await;
        caller.send("\r\n\r\n").await;
        assert_eq!(caller.reply().await.status, 200);
    });
}

#[test]
fn a_head_with_many_headers_within_the_limit_is_served() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let many: String = (0..90).map(|i| format!("X-{i}: v\r\n")).collect();
        caller
            .send(format!("GET /x HTTP/1.1\r\nHost: a\r\n{many}\r\n"))
            .await;
        assert_eq!(caller.reply().await.status, 200);
    });
}

#[rstest]
#[case::length(false)]
#[case::chunks(true)]
fn a_body_that_is_too_large_gets_413_after_it_is_sent(#[case] chunked: bool) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let size = 2_000_000;
        let body = vec![b'b'; size];
        let (framing, begin) = match chunked {
            true => (
                "Transfer-Encoding: chunked".to_owned(),
                format!("{size:x}\r\n"),
            ),
            false => (format!("Content-Length: {size}"), String::new()),
        };
        let head = format!("POST /x HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n{begin}");
        caller.send(head).await;
        // The caller reads only after writing the whole body.
        caller.send(&body).await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 413);
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        assert!(!service.saw("began /x"));
    });
}

#[test]
fn a_body_of_exactly_the_limit_is_served() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let body = "b".repeat(LIMITS.body_bytes);
        let head = format!(
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        caller.send(head + &body).await;
        assert_eq!(caller.reply().await.status, 200);
    });
}

#[test]
fn a_changed_limit_applies_to_the_next_request() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/a")).await;
        assert_eq!(caller.reply().await.status, 200);
        let limits = ConnLimits {
            header_bytes: 10,
            ..LIMITS
        };
        service.limits.set(limits);
        caller.send(get("/b")).await;
        assert_eq!(caller.reply().await.status, 431);
    });
}
