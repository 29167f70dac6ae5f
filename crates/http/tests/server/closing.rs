//! Which responses close a connection, as the caller, the handler or the protocol requires.

use rstest::rstest;

use crate::support::{run, sleep_ms};
use crate::{LIMITS, get, start};

#[rstest]
#[case::plain("close")]
#[case::upper_case("Close")]
#[case::in_a_list("x-a, close")]
#[case::in_a_list_of_long_names("te, keep-alive, close")]
fn a_caller_that_asks_to_close_is_answered_and_closed(#[case] value: &str) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let head = format!("GET /a HTTP/1.1\r\nHost: a\r\nConnection: {value}\r\n\r\n");
        caller.send(head + &get("/behind")).await;
        let reply = caller.reply().await;
        assert_eq!(reply.text(), "GET /a ");
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        assert!(!service.saw("began /behind"));
    });
}

#[test]
fn an_answer_that_closes_cancels_the_requests_after_it() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let behind = get("/sleep/2000");
        caller.send(get("/a") + &get("/close") + &behind).await;
        assert!(!caller.reply().await.closes());
        let reply = caller.reply().await;
        assert_eq!(reply.text(), "GET /close ");
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        sleep_ms(20).await;
        assert!(!service.saw("ended /sleep/2000"));
        let begun = service.count("began /sleep/2000");
        assert_eq!(service.count("dropped /sleep/2000"), begun);
    });
}

#[test]
fn a_closing_node_answers_pending_requests_and_closes_after_the_last() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/sleep/100").repeat(2)).await;
        sleep_ms(30).await;
        service.closing.set(true);
        assert!(!caller.reply().await.closes());
        assert!(caller.reply().await.closes());
        assert!(caller.rest().await.is_empty());
        service.wait_for("closed").await;
    });
}

#[test]
fn a_closing_node_serves_one_more_request_of_an_idle_connection() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/a")).await;
        assert!(!caller.reply().await.closes());
        service.closing.set(true);
        caller.send(get("/b")).await;
        let reply = caller.reply().await;
        assert_eq!(reply.text(), "GET /b ");
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
    });
}

#[test]
fn the_answer_to_head_has_the_length_but_no_body() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let head = "HEAD /h HTTP/1.1\r\nHost: a\r\n\r\n";
        caller.send([head, &get("/next")].concat()).await;
        let reply = caller.reply_head().await;
        assert_eq!(reply.header("content-length"), Some("8"));
        assert_eq!(caller.reply().await.text(), "GET /next ");
    });
}

#[rstest]
#[case::plain("", true)]
#[case::kept("Connection: keep-alive\r\n", false)]
fn http_1_0_closes_unless_keep_alive_is_requested(#[case] header: &str, #[case] closes: bool) {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller
            .send(format!("GET /o HTTP/1.0\r\n{header}\r\n"))
            .await;
        let reply = caller.reply().await;
        assert_eq!(reply.text(), "GET /o ");
        if closes {
            assert!(caller.rest().await.is_empty());
            return;
        }
        assert_eq!(reply.header("connection"), Some("keep-alive"));
        caller.send(get("/next")).await;
        assert_eq!(caller.reply().await.text(), "GET /next ");
    });
}

#[test]
fn a_request_that_offers_an_upgrade_is_served_without_it() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller
            .send("GET /u HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n")
            .await;
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "GET /u "));
    });
}
