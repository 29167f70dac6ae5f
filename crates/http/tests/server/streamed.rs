//! Responses whose bodies are streamed.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream;
use ntex::http::DateService;
use oriolering_http::{Answer, BodyStream, Bytes, Request, StatusCode, serve};
use rstest::rstest;

use crate::support::{RawPeer, listen, run, sleep_ms};
use crate::{LIMITS, get};

const PIECE_BYTES: usize = 10_000;

/// How a stream ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Whole,
    Error,
    Early,
    Late,
}

/// Serves one connection with streamed bodies of `pieces` pieces; returns a caller, and the number
/// of pieces that were taken from streams.
async fn start(declared: bool, pieces: usize, end: End) -> (RawPeer, Rc<Cell<usize>>) {
    let listener = listen().await;
    let address = listener.local_addr().expect("an address");
    let taken = Rc::new(Cell::new(0));
    let count = Rc::clone(&taken);
    tokio::task::spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let handler = move |_: Request| answer(declared, pieces, end, Rc::clone(&count));
        let date = DateService::default();
        serve(stream, date, || LIMITS, || false, |_, _| {}, handler).await;
    });
    (RawPeer::connect(address).await, taken)
}

async fn answer(declared: bool, pieces: usize, end: End, taken: Rc<Cell<usize>>) -> Answer {
    let mut answer = Answer::new(StatusCode::OK);
    answer.body = Bytes::from_static(b"start");
    let length = declared.then(|| (answer.body.len() + pieces * PIECE_BYTES) as u64);
    let sent = match end {
        End::Whole | End::Error => pieces,
        End::Early => pieces - 1,
        End::Late => pieces + 1,
    };
    let body = stream::unfold(0, move |number| {
        let taken = Rc::clone(&taken);
        async move {
            let item = match (number < sent, end) {
                (true, _) => Ok(Bytes::from(vec![b'x'; PIECE_BYTES])),
                (false, End::Error) => Err(io::ErrorKind::Other.into()),
                (false, End::Whole | End::Early | End::Late) => return None,
            };
            taken.set(taken.get() + 1);
            Some((item, number + 1))
        }
    });
    answer.rest = Some(Box::new(BodyStream::new(length, body)));
    answer
}

/// Guards against a body that loses its end, and against the next response within it.
#[rstest]
#[case::declared(true, "content-length: 30005")]
#[case::chunked(false, "transfer-encoding: chunked")]
fn a_whole_stream_is_followed_by_the_next_response(#[case] declared: bool, #[case] header: &str) {
    run(async {
        let (mut caller, _) = start(declared, 3, End::Whole).await;
        caller.send(get("/").repeat(2)).await;
        for _ in 0..2 {
            assert!(caller.head().await.contains(header));
            match declared {
                true => assert!(caller.bytes(30_005).await.ends_with(b"xxx")),
                false => assert!(
                    caller
                        .bytes(10 + 30_000 + 24 + 5)
                        .await
                        .ends_with(b"0\r\n\r\n")
                ),
            }
        }
    });
}

/// Guards against a truncated stream that looks complete.
#[rstest]
#[case::declared_error(true, End::Error)]
#[case::declared_early(true, End::Early)]
#[case::declared_late(true, End::Late)]
#[case::chunked_error(false, End::Error)]
fn a_broken_stream_is_cut(#[case] declared: bool, #[case] end: End) {
    run(async {
        let pieces = if matches!(end, End::Error) { 2 } else { 3 };
        let (mut caller, _) = start(declared, pieces, end).await;
        caller.send(get("/").repeat(2)).await;
        caller.head().await;
        let rest = caller.rest().await;
        assert!(!rest.ends_with(b"0\r\n\r\n"));
        match (declared, end) {
            (true, End::Error) => assert!(rest.len() <= 20_005),
            (true, _) => assert!(rest.len() <= 30_005),
            (false, _) => {}
        }
    });
}

/// Guards against a cut that a caller of HTTP/1.0 takes for the end of the body.
#[rstest]
#[case::whole(End::Whole)]
#[case::error(End::Error)]
fn without_chunks_only_a_whole_stream_ends_in_order(#[case] end: End) {
    run(async {
        let (mut caller, _) = start(false, 2, end).await;
        caller.send("GET / HTTP/1.0\r\nHost: a\r\n\r\n").await;
        assert!(!caller.head().await.contains("chunked"));
        let mut all = Vec::new();
        let read = tokio::io::AsyncReadExt::read_to_end(&mut caller.stream, &mut all);
        let result = crate::within_deadline(read).await;
        assert_eq!(result.is_ok(), matches!(end, End::Whole));
    });
}

/// Guards against a stream that is read faster than its caller takes it, and against a caller that
/// takes nothing and is kept.
#[test]
fn an_unread_stream_waits_and_is_cut() {
    run(async {
        let (mut caller, taken) = start(true, 5_000, End::Whole).await;
        caller.send(get("/")).await;
        caller.head().await;
        sleep_ms(200).await;
        let before = taken.get();
        assert!(before < 5_000);
        sleep_ms(LIMITS.idle_ms + 400).await;
        assert_eq!(taken.get(), before);
        let rest = crate::within_deadline(caller.rest()).await;
        assert!(rest.len() < 50_000_000);
    });
}

/// Guards against a slow caller that is cut although it reads.
#[test]
fn a_caller_that_reads_slowly_is_served() {
    run(async {
        let (mut caller, _) = start(true, 2_000, End::Whole).await;
        caller.send(get("/")).await;
        caller.head().await;
        let started = tokio::time::Instant::now();
        let mut left = 20_000_005;
        while left > 0 {
            let count = left.min(2_000_000);
            caller.bytes(count).await;
            left -= count;
            sleep_ms(200).await;
        }
        assert!(started.elapsed() > Duration::from_millis(2 * LIMITS.idle_ms));
    });
}
