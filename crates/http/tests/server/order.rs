//! The order in which the requests of one connection run and are answered.

use std::time::{Duration, Instant};

use oriolering_http::ConnLimits;

use crate::support::{run, sleep_ms};
use crate::{LIMITS, get, start};

#[test]
fn requests_on_one_connection_are_answered_one_after_the_other() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        for path in ["/1", "/2", "/3"] {
            caller.send(get(path)).await;
            let reply = caller.reply().await;
            assert_eq!(reply.text(), format!("GET {path} "));
            assert!(!reply.closes());
        }
    });
}

#[test]
fn pipelined_requests_run_concurrently() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let begun = Instant::now();
        let all: String = (0..4).map(|i| get(&format!("/sleep/200/{i}"))).collect();
        caller.send(all).await;
        for i in 0..4 {
            let reply = caller.reply().await;
            assert_eq!(reply.text(), format!("GET /sleep/200/{i} "));
        }
        let took = begun.elapsed();
        assert!(took < Duration::from_millis(700), "took {took:?}");
    });
}

#[test]
fn pipelined_requests_are_answered_in_order_when_the_first_is_the_slowest() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let paths = ["/sleep/150", "/sleep/5", "/sleep/60", "/now"];
        caller.send(paths.map(get).concat()).await;
        for path in paths {
            assert_eq!(caller.reply().await.text(), format!("GET {path} "));
        }
    });
}

#[test]
fn a_slow_first_request_does_not_delay_the_start_of_the_second() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/sleep/400")).await;
        service.wait_for("began /sleep/400").await;
        caller.send(get("/second")).await;
        service.wait_for("ended /second").await;
        assert!(!service.saw("ended /sleep/400"));
        assert_eq!(caller.reply().await.text(), "GET /sleep/400 ");
        assert_eq!(caller.reply().await.text(), "GET /second ");
    });
}

#[test]
fn pipelined_requests_run_up_to_the_limit_and_all_are_answered() {
    run(async {
        let limits = ConnLimits {
            pipelined: 2,
            ..LIMITS
        };
        let (service, mut caller) = start(limits).await;
        let all: String = (0..5).map(|i| get(&format!("/sleep/80/{i}"))).collect();
        caller.send(all).await;
        sleep_ms(40).await;
        assert_eq!(service.events.borrow().len(), 2);
        for i in 0..5 {
            let text = format!("GET /sleep/80/{i} ");
            assert_eq!(caller.reply().await.text(), text);
        }
    });
}

#[test]
fn a_long_answer_that_the_caller_reads_late_arrives_whole() {
    run(async {
        let limits = ConnLimits {
            body_bytes: 8_000_000,
            ..LIMITS
        };
        let (_, mut caller) = start(limits).await;
        let body = "z".repeat(4_000_000);
        let head = format!(
            "POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        caller.send(head + &body).await;
        sleep_ms(100).await;
        let reply = caller.reply().await;
        assert_eq!(reply.body.len(), body.len() + "POST /l ".len());
    });
}
