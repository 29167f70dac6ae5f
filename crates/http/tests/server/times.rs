//! Idle and header timeouts of a connection.

use std::time::Instant;

use crate::support::{run, sleep_ms};
use crate::{LIMITS, SLACK_MS, get, start};

#[test]
fn an_idle_connection_closes_after_the_idle_time_and_not_before() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/a")).await;
        caller.reply().await;
        let idle = Instant::now();
        assert!(caller.is_quiet(LIMITS.idle_ms - 100).await);
        assert!(caller.rest().await.is_empty());
        let took = idle.elapsed().as_millis() as u64;
        assert!(took < LIMITS.idle_ms + SLACK_MS, "took {took} ms");
        service.wait_for("closed").await;
    });
}

#[test]
fn a_new_connection_without_a_request_closes_after_the_idle_time() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        assert!(caller.is_quiet(LIMITS.idle_ms - 100).await);
        assert!(caller.rest().await.is_empty());
    });
}

#[test]
fn a_request_that_begins_after_a_long_idle_time_is_served() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller.send(get("/a")).await;
        caller.reply().await;
        sleep_ms(LIMITS.idle_ms - 120).await;
        caller.send("GET /b HTTP/1.1\r\nHo").await;
        sleep_ms(LIMITS.header_ms - 120).await;
        caller.send("st: a\r\n\r\n").await;
        assert_eq!(caller.reply().await.text(), "GET /b ");
    });
}

#[test]
fn a_connection_stays_open_while_a_request_runs_longer_than_the_idle_time() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let path = format!("/sleep/{}", LIMITS.idle_ms + 200);
        caller.send(get(&path)).await;
        assert_eq!(caller.reply().await.status, 200);
        caller.send(get("/next")).await;
        assert_eq!(caller.reply().await.text(), "GET /next ");
    });
}

#[test]
fn an_empty_line_behind_a_request_does_not_shorten_the_idle_time() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let body = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx\r\n";
        caller.send(body).await;
        caller.reply().await;
        assert!(caller.is_quiet(LIMITS.header_ms + 100).await);
        caller.send(get("/b")).await;
        assert_eq!(caller.reply().await.text(), "GET /b ");
    });
}

#[test]
fn an_incomplete_head_closes_the_connection_after_the_header_time() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send("GET /a HTTP/1.1\r\nHo").await;
        let begun = Instant::now();
        assert!(caller.is_quiet(LIMITS.header_ms - 100).await);
        caller.rest().await;
        let took = begun.elapsed().as_millis() as u64;
        assert!(took < LIMITS.header_ms + SLACK_MS, "took {took} ms");
        assert!(!service.saw("began /a"));
    });
}

#[test]
fn a_head_sent_byte_by_byte_closes_the_connection_after_the_header_time() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let begun = Instant::now();
        caller.send("GET /a HTTP/1.1\r\nX: ").await;
        while caller.is_quiet(30).await {
            caller.send("y").await;
            let took = begun.elapsed().as_millis() as u64;
            assert!(took < LIMITS.header_ms + SLACK_MS, "it is still open");
        }
    });
}

#[test]
fn a_slow_body_that_keeps_arriving_is_not_cut_off() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller
            .send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n")
            .await;
        for _ in 0..8 {
            sleep_ms(LIMITS.header_ms / 3).await;
            caller.send("x").await;
        }
        assert_eq!(caller.reply().await.text(), "POST /a xxxxxxxx");
    });
}
