//! What the connection of a caller promises, one promise in each test.

mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::http::DateService;
use oriolering_http::{Answer, Bytes, ConnLimits, Request, StatusCode, serve};
use rstest::rstest;
use support::{Raw, listen, pass, run, soon};

const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 4_096,
    body_bytes: 10_000,
    header_ms: 300,
    idle_ms: 600,
    pipelined: 16,
};
/// By how much a time may be overshot on a busy machine, in milliseconds.
const SLACK_MS: u64 = 400;

/// A service whose handler writes down what begins, ends and is dropped.
#[derive(Clone)]
struct Service {
    limits: Rc<Cell<ConnLimits>>,
    closing: Rc<Cell<bool>>,
    events: Rc<RefCell<Vec<String>>>,
}

/// Writes down that a handler's future was dropped before its end.
struct Guard {
    events: Rc<RefCell<Vec<String>>>,
    path: String,
    ended: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let what = if self.ended { "ended" } else { "dropped" };
        let event = format!("{what} {}", self.path);
        self.events.borrow_mut().push(event);
    }
}

impl Service {
    fn new(limits: ConnLimits) -> Self {
        Self {
            limits: Rc::new(Cell::new(limits)),
            closing: Rc::default(),
            events: Rc::default(),
        }
    }

    async fn start(&self) -> SocketAddr {
        let listener = listen().await;
        let address = listener.local_addr().expect("an address");
        let service = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).expect("an option");
                tokio::task::spawn_local(service.clone().connection(stream));
            }
        });
        address
    }

    async fn connection(self, stream: tokio::net::TcpStream) {
        let (limits, closing) = (Rc::clone(&self.limits), Rc::clone(&self.closing));
        let events = Rc::clone(&self.events);
        let handler = move |request| handle(Rc::clone(&events), request);
        let date = DateService::default();
        serve(
            stream,
            date,
            || limits.get(),
            || closing.get(),
            |_, _| {},
            handler,
        )
        .await;
        self.events.borrow_mut().push("closed".to_owned());
    }

    fn saw(&self, event: &str) -> bool {
        self.events.borrow().iter().any(|e| e == event)
    }

    fn count(&self, event: &str) -> usize {
        self.events.borrow().iter().filter(|e| *e == event).count()
    }

    async fn wait_for(&self, event: &str) {
        soon(async {
            while !self.saw(event) {
                pass(1).await;
            }
        })
        .await;
    }
}

/// Answers with what arrived; `/sleep/MS` takes its time, and `/close` ends the connection.
async fn handle(events: Rc<RefCell<Vec<String>>>, request: Request) -> Answer {
    let path = request.uri.path().to_owned();
    events.borrow_mut().push(format!("began {path}"));
    let mut guard = Guard {
        events,
        path: path.clone(),
        ended: false,
    };
    if let Some(rest) = path.strip_prefix("/sleep/") {
        let ms = rest.split('/').next().expect("a time");
        pass(ms.parse().expect("milliseconds")).await;
    }
    guard.ended = true;
    let mut answer = Answer::new(StatusCode::OK);
    let mut text = format!("{} {} ", request.method, request.uri).into_bytes();
    text.extend_from_slice(&request.body);
    answer.body = Bytes::from(text);
    answer.close = path.starts_with("/close");
    answer
}

async fn start(limits: ConnLimits) -> (Service, Raw) {
    let service = Service::new(limits);
    let address = service.start().await;
    (service, Raw::connect(address).await)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

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
fn pipelined_requests_run_side_by_side() {
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
fn no_more_requests_run_than_the_limit_says_and_all_are_answered() {
    run(async {
        let limits = ConnLimits {
            pipelined: 2,
            ..LIMITS
        };
        let (service, mut caller) = start(limits).await;
        let all: String = (0..5).map(|i| get(&format!("/sleep/80/{i}"))).collect();
        caller.send(all).await;
        pass(40).await;
        assert_eq!(service.events.borrow().len(), 2);
        for i in 0..5 {
            let text = format!("GET /sleep/80/{i} ");
            assert_eq!(caller.reply().await.text(), text);
        }
    });
}

#[rstest]
#[case::length(&["POST /p?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabcdef"])]
#[case::chunks(&["POST /p?q=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4;x=y\r\ncdef\r\n0\r\n\r\n"])]
fn a_body_arrives_whole_wherever_its_message_is_split(#[case] message: &[&str]) {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let bytes = message.concat().into_bytes();
        for split in 1..bytes.len() {
            caller.send(&bytes[..split]).await;
            pass(2).await;
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
fn a_caller_that_expects_to_continue_is_told_to() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let head =
            "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
        caller.send(head).await;
        assert_eq!(caller.bare_reply().await.status, 100);
        caller.send("abc").await;
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "POST /e abc"));
    });
}

#[test]
fn a_caller_that_expects_to_continue_behind_another_request_gets_answers_in_order() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        let head =
            "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
        caller.send([&get("/sleep/50"), head].concat()).await;
        pass(20).await;
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
fn a_request_whose_framing_is_in_doubt_gets_400_and_the_end(#[case] head: &str) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let smuggled = get("/smuggled");
        caller.send([head, &smuggled].concat()).await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 400);
        // To close is the default of the old version.
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
fn a_broken_chunk_gets_400_and_the_end() {
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
fn a_bad_request_behind_good_ones_is_answered_after_them() {
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

#[rstest]
#[case::whole(true)]
#[case::unfinished(false)]
fn a_head_that_is_too_large_gets_431_and_the_end(#[case] whole: bool) {
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
fn a_head_within_the_limit_is_served_in_pieces(#[case] bytes: usize) {
    run(async {
        let limits = ConnLimits {
            header_bytes: 64 * 1024,
            ..LIMITS
        };
        let (_, mut caller) = start(limits).await;
        let value = "v".repeat(bytes);
        let head = format!("GET /x HTTP/1.1\r\nHost: a\r\nX-Long: {value}");
        caller.send(head).await;
        pass(20).await;
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
fn a_body_that_is_too_large_gets_413_and_its_answer_is_not_lost(#[case] chunked: bool) {
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
        // The caller reads only once it has written all.
        caller.send(&body).await;
        let reply = caller.reply().await;
        assert_eq!(reply.status, 413);
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        assert!(!service.saw("began /x"));
    });
}

#[test]
fn a_body_of_just_the_limit_is_served() {
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

#[rstest]
#[case::close(false)]
#[case::reset(true)]
fn a_caller_that_leaves_has_its_request_dropped_at_once(#[case] reset: bool) {
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
fn a_caller_that_leaves_has_all_its_pipelined_requests_dropped_at_once(#[case] count: usize) {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/sleep/4000").repeat(count)).await;
        let begun = count.min(LIMITS.pipelined);
        soon(async {
            while service.count("began /sleep/4000") < begun {
                pass(1).await;
            }
        })
        .await;
        drop(caller);
        let left = Instant::now();
        service.wait_for("closed").await;
        pass(20).await;
        assert!(left.elapsed() < Duration::from_millis(SLACK_MS));
        assert_eq!(service.count("dropped /sleep/4000"), begun);
        assert_eq!(service.count("began /sleep/4000"), begun);
    });
}

#[test]
fn a_caller_that_leaves_amid_a_body_has_nothing_run() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller
            .send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
            .await;
        pass(20).await;
        drop(caller);
        service.wait_for("closed").await;
        assert!(!service.saw("began /x"));
    });
}

#[test]
fn an_idle_connection_closes_after_its_time_and_not_before() {
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
        pass(LIMITS.idle_ms - 120).await;
        caller.send("GET /b HTTP/1.1\r\nHo").await;
        pass(LIMITS.header_ms - 120).await;
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
fn half_a_head_and_then_silence_closes_after_the_head_time() {
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
fn a_head_that_drips_is_ended_after_the_head_time() {
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
fn a_long_body_that_keeps_arriving_is_not_ended() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller
            .send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n")
            .await;
        for _ in 0..8 {
            pass(LIMITS.header_ms / 3).await;
            caller.send("x").await;
        }
        assert_eq!(caller.reply().await.text(), "POST /a xxxxxxxx");
    });
}

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
fn an_answer_that_closes_ends_the_connection_and_what_is_behind_it() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        let behind = get("/sleep/2000");
        caller.send(get("/a") + &get("/close") + &behind).await;
        assert!(!caller.reply().await.closes());
        let reply = caller.reply().await;
        assert_eq!(reply.text(), "GET /close ");
        assert!(reply.closes());
        assert!(caller.rest().await.is_empty());
        pass(20).await;
        assert!(!service.saw("ended /sleep/2000"));
        let begun = service.count("began /sleep/2000");
        assert_eq!(service.count("dropped /sleep/2000"), begun);
    });
}

#[test]
fn a_node_that_closes_answers_what_runs_and_closes_with_the_last() {
    run(async {
        let (service, mut caller) = start(LIMITS).await;
        caller.send(get("/sleep/100").repeat(2)).await;
        pass(30).await;
        service.closing.set(true);
        assert!(!caller.reply().await.closes());
        assert!(caller.reply().await.closes());
        assert!(caller.rest().await.is_empty());
        service.wait_for("closed").await;
    });
}

#[test]
fn a_node_that_closes_serves_one_more_request_of_an_idle_connection() {
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
        let reply = caller.bare_reply().await;
        assert_eq!(reply.header("content-length"), Some("8"));
        assert_eq!(caller.reply().await.text(), "GET /next ");
    });
}

#[rstest]
#[case::plain("", true)]
#[case::kept("Connection: keep-alive\r\n", false)]
fn an_old_version_closes_unless_it_asks_to_stay(#[case] header: &str, #[case] closes: bool) {
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
fn a_request_that_offers_another_protocol_is_served_in_this_one() {
    run(async {
        let (_, mut caller) = start(LIMITS).await;
        caller
            .send("GET /u HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n")
            .await;
        let reply = caller.reply().await;
        assert_eq!((reply.status, reply.text()), (200, "GET /u "));
    });
}

#[test]
fn a_limit_that_changes_holds_for_the_next_request() {
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

#[test]
fn an_answer_that_the_caller_reads_slowly_arrives_whole() {
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
        pass(100).await;
        let reply = caller.reply().await;
        assert_eq!(reply.body.len(), body.len() + "POST /l ".len());
    });
}
