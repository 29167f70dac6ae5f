//! Responses of download routes, which are streamed.

#[path = "support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::raw::{RawPeer, run, sleep_ms};
use support::{Fleet, config, get, until};

/// More than the sockets and the windows of one stream hold.
const LARGE_BYTES: usize = 30_000_000;
/// The memory of an instance whose settings name none, in bytes, and the share for streams.
const MEMORY_BYTES: u64 = 260_000_000;
const STREAM_DIVISOR: u64 = 16;

/// A response as its caller sees it, read until the connection ends.
struct Download {
    status: u16,
    bytes: usize,
    complete: bool,
}

/// Requests a target and reads its response until the end of the connection.
async fn download(fleet: &Fleet, index: usize, target: &str) -> Download {
    let mut caller = fleet.caller(index).await;
    caller.send(closing(target)).await;
    read_download(&mut caller).await
}

/// Returns a request after which the connection is closed.
fn closing(target: &str) -> String {
    get(target).replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

async fn read_download(caller: &mut RawPeer) -> Download {
    let reply = caller.reply_head().await;
    let length = reply.header("content-length");
    let length: Option<usize> = length.map(|text| text.parse().expect("a number"));
    let rest = caller.rest().await;
    let (bytes, complete) = match length {
        Some(length) => (rest.len(), rest.len() == length),
        None => {
            assert_eq!(reply.header("transfer-encoding"), Some("chunked"));
            chunked(&rest)
        }
    };
    Download {
        status: reply.status,
        bytes,
        complete,
    }
}

/// Returns the length of a chunked body, and whether it has a last chunk.
fn chunked(mut rest: &[u8]) -> (usize, bool) {
    let mut bytes = 0;
    while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).expect("text");
        let size = usize::from_str_radix(size, 16).expect("a size");
        if size == 0 {
            return (bytes, &rest[end..] == b"\r\n\r\n");
        }
        let Some(after) = rest.get(end + 2 + size + 2..) else {
            return (bytes, false);
        };
        bytes += size;
        rest = after;
    }
    (bytes, false)
}

/// Guards against bytes lost, repeated or held back between the hops.
#[rstest]
#[case::local(&["s"])]
#[case::over_a_link(&["front", "s"])]
fn a_download_arrives_whole(#[case] services: &[&str]) {
    run(async {
        let fleet = Fleet::serving(services).await;
        for framing in ["sized", "chunked"] {
            for bytes in [0, 1, 12_288, 12_289, 100_000, 5_000_000] {
                let target = format!("/files/body/{framing}/{bytes}");
                let got = download(&fleet, 0, &target).await;
                assert_eq!((got.status, got.bytes), (200, bytes), "{target}");
                assert!(got.complete, "{target}");
                assert_eq!(fleet.request_count(&target), 1);
            }
        }
        assert_eq!(fleet.metric(0, "stream_bytes").await, 0);
        let last = fleet.instances.len() - 1;
        assert_eq!(fleet.metric(last, "stream_bytes").await, 0);
    });
}

/// Guards against a response of a streamed connection that leaks into the next one.
#[test]
fn a_connection_serves_more_requests_after_a_download() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let mut caller = fleet.caller(0).await;
        let both = get("/files/body/sized/3000000") + &get("/get/echo");
        caller.send(both.repeat(2)).await;
        for _ in 0..2 {
            assert_eq!(caller.reply().await.body.len(), 3_000_000);
            assert_eq!(caller.reply().await.text(), "i-3 ");
        }
    });
}

/// Guards against a truncated response that looks complete, and against a repeat after the caller
/// got its first byte.
#[rstest]
fn a_response_that_breaks_midway_is_cut_and_not_repeated(
    #[values(&["s"], &["front", "s", "s"])] services: &[&str],
    #[values("sized", "chunked")] framing: &str,
    #[values("ends", "resets")] how: &str,
) {
    run(async {
        let fleet = Fleet::serving(services).await;
        let target = format!("/files/body/{framing}/3000000/{how}/700000");
        let got = download(&fleet, 0, &target).await;
        assert_eq!(got.status, 200);
        assert!(!got.complete && got.bytes <= 700_000);
        assert_eq!(fleet.request_count(&target), 1);
    });
}

/// Guards against a failure that reaches the caller although another backend server could still
/// answer.
#[rstest]
fn a_response_that_breaks_before_its_first_byte_is_repeated(
    #[values("sized", "chunked")] framing: &str,
    #[values("ends", "resets")] how: &str,
) {
    run(async {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let target = format!("/files/body/{framing}/300000/{how}/0/once");
        let got = download(&fleet, 0, &target).await;
        assert_eq!((got.status, got.bytes), (200, 300_000));
        assert!(got.complete);
        assert_eq!(fleet.request_count(&target), 2);
    });
}

/// Guards against a slot that is free before the backend server has delivered the whole response, or
/// that stays taken after its caller has gone, while bytes flow or while the backend server is silent.
#[rstest]
fn a_caller_that_leaves_ends_the_run(
    #[values(&["s"], &["front", "s"])] services: &[&str],
    #[values("whole", "stays")] how: &str,
) {
    run(async {
        let fleet = Fleet::serving(services).await;
        let target = format!("/files/body/sized/{LARGE_BYTES}/{how}/600000");
        let target = match how {
            "whole" => format!("/files/body/sized/{LARGE_BYTES}"),
            _ => target,
        };
        let mut caller = fleet.caller(0).await;
        caller.send(get(&target)).await;
        caller.reply_head().await;
        let backend = &fleet.instances[services.len() - 1].backend;
        assert_eq!(backend.running(), 1);
        assert_eq!(fleet.metric(services.len() - 1, "gate_running").await, 1);
        drop(caller);
        until(|| backend.has_dropped(&target) && backend.running() == 0).await;
        assert_eq!(fleet.metric(0, "stream_bytes").await, 0);
        assert_eq!(fleet.metric(services.len() - 1, "gate_running").await, 0);
    });
}

/// Guards against a caller that waits forever, or sees a complete response, after the node of the
/// gate has gone.
#[rstest]
#[case::sized("sized")]
#[case::chunked("chunked")]
fn a_broken_link_cuts_the_response(#[case] framing: &str) {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        let target = format!("/files/body/{framing}/{LARGE_BYTES}/stays/600000");
        let mut caller = fleet.caller(0).await;
        caller.send(closing(&target)).await;
        until(|| fleet.instances[1].backend.sent_bytes() == 600_000).await;
        sleep_ms(100).await;
        fleet.kill(1).await;
        let got = read_download(&mut caller).await;
        assert_eq!(got.status, 200);
        assert!(!got.complete);
        until(|| fleet.instances[1].backend.running() == 0).await;
        assert_eq!(fleet.metric(0, "stream_bytes").await, 0);
    });
}

/// Guards against a run that goes on, or memory that stays reserved, after the ingress has gone.
#[test]
fn a_gate_whose_ingress_has_gone_ends_the_run() {
    run(async {
        let mut fleet = Fleet::serving(&["front", "s"]).await;
        let target = format!("/files/body/sized/{LARGE_BYTES}");
        let mut caller = fleet.caller(0).await;
        caller.send(get(&target)).await;
        caller.reply_head().await;
        fleet.kill(0).await;
        let backend = &fleet.instances[1].backend;
        until(|| backend.has_dropped(&target) && backend.running() == 0).await;
        assert_eq!(fleet.metric(1, "stream_bytes").await, 0);
    });
}

/// Guards against callers that never read and keep the slots of a backend server.
#[test]
fn a_caller_that_reads_nothing_is_cut() {
    run(async {
        let mut fleet = Fleet::new(&["front", "s"]).await;
        let mut config = config(1, "s");
        config["limits"]["idle_timeout_ms"] = 1_000.into();
        fleet.store.put("op/config", &config);
        fleet.start_all();
        fleet.wait_all_serving().await;
        let target = format!("/files/body/sized/{LARGE_BYTES}");
        let mut caller = fleet.caller(0).await;
        caller.send(closing(&target)).await;
        let backend = &fleet.instances[1].backend;
        until(|| backend.has_dropped(&target) && backend.running() == 0).await;
        assert!(!read_download(&mut caller).await.complete);
    });
}

/// Guards against slow readers that make a node hold their responses, or that delay small requests.
#[test]
fn slow_readers_hold_bounded_memory_beside_small_requests() {
    run(async {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let backend = &fleet.instances[1].backend;
        backend.set_load(Some("0,0,64,100"));
        fleet.call(0, &get("/get/echo")).await;
        let mut callers = Vec::new();
        for number in 0..44 {
            let mut caller = fleet.caller(0).await;
            let target = format!("/files/body/sized/{LARGE_BYTES}?{number}");
            caller.send(get(&target)).await;
            caller.reply_head().await;
            callers.push(caller);
        }
        let mut peak = 0;
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(1_500) {
            for index in 0..2 {
                peak = peak.max(fleet.metric(index, "stream_bytes").await);
            }
            assert_eq!(fleet.call(0, &get("/get/echo")).await.status, 200);
            for caller in &mut callers {
                caller.bytes(10).await;
            }
        }
        assert_eq!(backend.running(), 44);
        // What the sockets hold is far less than the responses.
        assert!(backend.sent_bytes() < 44 * LARGE_BYTES / 2);
        assert!(peak > 0);
        assert!(peak <= MEMORY_BYTES / STREAM_DIVISOR, "{peak} bytes");
    });
}
