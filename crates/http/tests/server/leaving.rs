//! Callers that close or reset their connection.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::{run, sleep_ms, within_deadline};
use crate::{LIMITS, SLACK_MS, get, start};

#[rstest]
#[case::close(false)]
#[case::reset(true)]
fn a_disconnect_cancels_the_request_at_once(#[case] reset: bool) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/sleep/4000")).await;
        service.wait_for("began /sleep/4000").await;
        match reset {
            true => caller.reset(),
            false => drop(caller),
        }
        let left = Instant::now();
        service.wait_for("dropped /sleep/4000").await;
        assert!(left.elapsed() < Duration::from_millis(SLACK_MS));
        service.wait_for("closed").await;
    });
}

#[rstest]
#[case::some(3)]
#[case::as_many_as_may_run(LIMITS.pipelined)]
#[case::more_than_may_run(LIMITS.pipelined + 4)]
fn a_disconnect_cancels_all_pipelined_requests_at_once(#[case] count: usize) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/sleep/4000").repeat(count)).await;
        let begun = count.min(LIMITS.pipelined);
        within_deadline(async {
            while service.count("began /sleep/4000") < begun {
                sleep_ms(1).await;
            }
        })
        .await;
        drop(caller);
        let left = Instant::now();
        service.wait_for("closed").await;
        sleep_ms(20).await;
        assert!(left.elapsed() < Duration::from_millis(SLACK_MS));
        assert_eq!(service.count("dropped /sleep/4000"), begun);
        assert_eq!(service.count("began /sleep/4000"), begun);
    });
}

#[test]
fn a_disconnect_within_a_body_runs_nothing() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller
            .send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
            .await;
        sleep_ms(20).await;
        drop(caller);
        service.wait_for("closed").await;
        assert!(!service.saw("began /x"));
    });
}
