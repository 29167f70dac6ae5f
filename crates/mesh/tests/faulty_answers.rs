//! Backend servers that write an earlier refusal once more, or stop in the middle of a head, on real
//! connections behind one node and behind two.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rstest::rstest;
use serde_json::Value;
use support::backend::SIGNATURE;
use support::raw::{RawPeer, Reply, run, sleep_ms};
use support::{Fleet, request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The request header that carries the id.
const ID: &str = "Oriolering-Request-Id: ";

/// The line of an answer in place of which the id of the request is sent.
const ID_LINE: &str = "ID\r\n";

/// When an earlier refusal is written once more.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Together with the refusal itself.
    AtOnce,
    /// While the connection is idle.
    Idle,
    /// When the next request arrives.
    NextRequest,
    /// While the next request runs.
    Running,
}

/// A backend server that refuses requests for `/refused` and runs all others.
#[derive(Clone)]
struct Faulty {
    /// The id of the backend server that it replaces.
    id: String,
    moment: Moment,
    /// The start line and the fields of a refusal.
    refusal: &'static str,
    /// How many times an earlier refusal is written once more.
    copies: usize,
    /// The answer to a request for `/cut`, and after how many bytes the connection ends.
    whole: Rc<RefCell<String>>,
    cut_at: Rc<Cell<usize>>,
    /// The requests that ran: id and target.
    runs: Rc<RefCell<Vec<String>>>,
    copied: Rc<Cell<usize>>,
}

impl Faulty {
    /// Replaces the backend server of an instance.
    async fn replace(
        fleet: &Fleet,
        index: usize,
        moment: Moment,
        refusal: &'static str,
        copies: usize,
    ) -> Self {
        let replaced = &fleet.instances[index].backend;
        replaced.crash();
        sleep_ms(20).await;
        let listener = TcpListener::bind(replaced.address).await.expect("a port");
        let faulty = Self {
            id: replaced.id.clone(),
            moment,
            refusal,
            copies,
            whole: Rc::default(),
            cut_at: Rc::default(),
            runs: Rc::default(),
            copied: Rc::default(),
        };
        let served = faulty.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(served.clone().serve(RawPeer::new(stream)));
            }
        });
        // Probes find the new one.
        sleep_ms(150).await;
        faulty
    }

    async fn serve(self, mut peer: RawPeer) {
        let mut refused: Option<String> = None;
        while let Some(head) = peer.next_head().await {
            let (target, id) = (target(&head), id_field(&head));
            peer.bytes(content_length(&head)).await;
            if target.starts_with("/health") {
                send(&mut peer, &self.answer("200 OK", "", "")).await;
            } else if target.contains("/cut") {
                return send(&mut peer, &self.cut_answer(&id)).await;
            } else if target.contains("/refused") {
                refused = self.refuse(&mut peer, &id).await;
            } else {
                self.run(&mut peer, &id, refused.take()).await;
            }
        }
    }

    /// Refuses a request; returns the refusal if it is to be written again later.
    async fn refuse(&self, peer: &mut RawPeer, id: &str) -> Option<String> {
        let refusal = self.answer(self.refusal, id, "");
        send(peer, &refusal).await;
        match self.moment {
            Moment::AtOnce => self.send_copies(peer, &refusal).await,
            Moment::Idle => {
                sleep_ms(5).await;
                self.send_copies(peer, &refusal).await;
            }
            Moment::NextRequest | Moment::Running => return Some(refusal),
        }
        None
    }

    /// Runs a request, after or while an earlier refusal is written again.
    async fn run(&self, peer: &mut RawPeer, id: &str, refused: Option<String>) {
        self.runs.borrow_mut().push(id.to_owned());
        if let Some(refusal) = refused {
            if matches!(self.moment, Moment::Running) {
                sleep_ms(5).await;
            }
            self.send_copies(peer, &refusal).await;
        }
        sleep_ms(10).await;
        let fields = format!("Oriolering-Response-Signature: {SIGNATURE}\r\n{id}");
        send(peer, &self.answer("200 OK", &fields, "ran")).await;
    }

    /// Returns the part of an answer before the end of the connection.
    fn cut_answer(&self, id: &str) -> String {
        let whole = self.whole.borrow().replace(ID_LINE, id);
        whole[..self.cut_at.get()].to_owned()
    }

    async fn send_copies(&self, peer: &mut RawPeer, refusal: &str) {
        for _ in 0..self.copies {
            send(peer, refusal).await;
            self.copied.set(self.copied.get() + 1);
        }
    }

    fn answer(&self, status: &str, fields: &str, body: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\n{fields}Oriolering-Instance-Id: {}\r\n\
             Oriolering-Server-Load: 0,0,8,100\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.runs.borrow();
        runs.iter().filter(|run| run.contains(id)).count()
    }
}

/// Writes to a node, which may have closed the connection.
async fn send(peer: &mut RawPeer, text: &str) {
    let _ = peer.stream.write_all(text.as_bytes()).await;
}

fn target(head: &str) -> &str {
    head.split(' ').nth(1).expect("a target")
}

/// Returns the field with the id of a request, or nothing if it has none.
fn id_field(head: &str) -> String {
    let mut lines = head.lines();
    let found = lines.find(|line| {
        line.to_ascii_lowercase()
            .starts_with("oriolering-request-id")
    });
    found.map_or_else(String::new, |line| format!("{line}\r\n"))
}

fn content_length(head: &str) -> usize {
    let head = head.to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1);
    let digits = length.and_then(|rest| rest.lines().next());
    digits.map_or(0, |digits| digits.trim().parse().expect("a length"))
}

/// Sends a request with an id of its own, or without one, and returns the reply.
async fn call(fleet: &Fleet, node: usize, method: &str, path: &str, id: Option<&str>) -> Reply {
    let prefix = method.to_ascii_lowercase();
    let text = request(method, &format!("/{prefix}{path}"), "", "");
    let old = format!("{ID}id-1\r\n");
    let new = id.map_or_else(String::new, |id| format!("{ID}{id}\r\n"));
    fleet.call(node, &text.replace(&old, &new)).await
}

/// How often a request is refused and another one run until a refusal has been written again.
const ROUNDS_MAX: usize = 200;
const FULL: &str = "503 No\r\nOriolering-Not-Executed: 1";
const BUSY: &str = "429 No\r\nOriolering-Not-Executed: 1";
const MALFORMED: &str = "400 No\r\nOriolering-Not-Executed: 1";
const MISDIRECTED: &str = "421 No";
/// A time after which a backend server is used again that has answered as misdirected, in
/// milliseconds.
const MISDIRECTED_PAUSE_MS: u64 = 2_100;

/// Checks that the gate of an instance took no other request for refused by its backend server.
async fn assert_refused_only_the_refused(fleet: &Fleet, index: usize) {
    sleep_ms(100).await;
    let ran = fleet.events(index, "ran").await;
    let mut refused = ran.iter().filter(|line| line["outcome"] == "unexecuted");
    let is_refused = |line: &Value| {
        let id = line["request"].as_str();
        id.is_some_and(|id| id.starts_with("refused"))
    };
    assert!(refused.all(is_refused), "{ran:?}");
}

// Guards against a repeated refusal that is taken for the answer to the next request: its caller would
// be told that it did not run, or it would run at a second backend server.
#[rstest]
#[case::full(FULL, &["front", "s", "s"], 12, 0)]
#[case::busy(BUSY, &["front", "s", "s"], 12, 0)]
#[case::malformed(MALFORMED, &["front", "s", "s"], 12, 0)]
#[case::full_alone(FULL, &["front", "s"], 12, 0)]
#[case::misdirected_alone(MISDIRECTED, &["front", "s"], 1, MISDIRECTED_PAUSE_MS)]
fn a_refusal_that_is_written_again_refuses_no_other_request(
    #[case] refusal: &'static str,
    #[case] services: &[&str],
    #[case] rounds: usize,
    #[case] pause_ms: u64,
    #[values(Moment::AtOnce, Moment::Idle, Moment::NextRequest, Moment::Running)] moment: Moment,
    #[values(1, 8)] copies: usize,
    #[values(true, false)] remote: bool,
) {
    run(async move {
        let fleet = Fleet::serving(services).await;
        let index = services.len() - 1;
        let node = if remote { 0 } else { index };
        let faulty = Faulty::replace(&fleet, index, moment, refusal, copies).await;
        let shown = || faulty.copied.get() > 0 && faulty.runs_of("run") > 0;
        for round in 0..ROUNDS_MAX {
            if round >= rounds {
                if shown() {
                    break;
                }
                // Its refusals make the nodes avoid the faulty one for a while.
                sleep_ms(50).await;
            }
            for method in ["POST", "GET"] {
                let refused = format!("refused-{method}-{round}");
                call(&fleet, node, method, "/refused", Some(&refused)).await;
                sleep_ms(pause_ms).await;
                let id = format!("run-{method}-{round}");
                let path = format!("/run?{id}");
                let reply = call(&fleet, node, method, &path, Some(&id)).await;
                let target = format!("/{}{path}", method.to_ascii_lowercase());
                let runs = faulty.runs_of(&id) + fleet.request_count(&target);
                assert_eq!(reply.status, 200, "{id}: {reply:?}");
                // A slow run of a GET may be hedged; that no refusal counted for it is checked below.
                let hedged = method == "GET" && runs == 2;
                assert!(runs == 1 || hedged, "{id} ran {runs} times");
            }
        }
        assert_refused_only_the_refused(&fleet, index).await;
        assert!(shown(), "no refusal was written again, or nothing ran");
    });
}

// The same for requests without an id, which their answers cannot be told by.
#[rstest]
fn a_refusal_that_is_written_again_refuses_no_request_without_an_id(
    #[values(Moment::AtOnce, Moment::Idle, Moment::NextRequest, Moment::Running)] moment: Moment,
) {
    run(async move {
        let fleet = Fleet::serving(&["front", "s", "s"]).await;
        let faulty = Faulty::replace(&fleet, 2, moment, MALFORMED, 1).await;
        let sound = &fleet.instances[1].backend;
        for round in 0..12 {
            call(&fleet, 0, "POST", "/refused", None).await;
            let (path, ran) = (format!("/run?{round}"), faulty.runs.borrow().len());
            let reply = call(&fleet, 0, "POST", &path, None).await;
            let runs = faulty.runs.borrow().len() - ran;
            let elsewhere = sound.request_count(&format!("/post{path}"));
            assert_eq!((reply.status, runs + elsewhere), (200, 1), "{round}");
        }
        assert!(
            !faulty.runs.borrow().is_empty(),
            "the faulty one ran nothing"
        );
    });
}

/// Answers that a backend server cuts, in each framing.
fn cut_answers() -> [String; 3] {
    let head = format!("HTTP/1.1 200 OK\r\nOriolering-Response-Signature: {SIGNATURE}\r\nID\r\n");
    [
        format!("{head}Content-Length: 4\r\n\r\nwhat"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n0\r\n\r\n"),
        format!("{head}Connection: close\r\n\r\n"),
    ]
}

// Guards against an answer whose head is cut and that callers get as a whole one.
#[rstest]
fn an_answer_that_is_cut_within_its_head_is_no_success(
    #[values("POST", "GET")] method: &str,
    #[values(0, 1, 2)] framing: usize,
    #[values(true, false)] remote: bool,
) {
    let method = method.to_owned();
    run(async move {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let faulty = Faulty::replace(&fleet, 1, Moment::AtOnce, FULL, 0).await;
        let node = if remote { 0 } else { 1 };
        let whole = &cut_answers()[framing];
        *faulty.whole.borrow_mut() = whole.clone();
        let sent = whole.replace(ID_LINE, &format!("{ID}cut-000\r\n"));
        let head = sent.find("\r\n\r\n").expect("a head") + 4;
        for length in 0..head {
            faulty.cut_at.set(length);
            let id = format!("cut-{length:03}");
            let reply = call(&fleet, node, &method, "/cut", Some(&id)).await;
            assert_eq!(reply.status, 502, "{length} of {head}: {reply:?}");
        }
    });
}

// Guards against bytes that are no valid response and that callers get as an answer.
#[rstest]
#[case::status_000("000 OK", "")]
#[case::status_99("99 OK", "")]
#[case::status_600("600 OK", "")]
#[case::status_999("999 OK", "")]
#[case::status_1000("1000 OK", "")]
#[case::blank_in_a_name("200 OK", "X Y: 1\r\n")]
#[case::blank_after_a_name("200 OK", "X : 1\r\n")]
#[case::control_byte_in_a_name("200 OK", "X\x01Y: 1\r\n")]
#[case::nul_in_a_name("200 OK", "X\0Y: 1\r\n")]
fn an_answer_that_is_no_valid_response_reaches_no_caller(
    #[case] status: &str,
    #[case] fields: &str,
    #[values("POST", "GET")] method: &str,
    #[values(true, false)] remote: bool,
) {
    let method = method.to_owned();
    let whole = format!(
        "HTTP/1.1 {status}\r\nOriolering-Response-Signature: {SIGNATURE}\r\nID\r\n{fields}\
         Content-Length: 4\r\n\r\nwhat"
    );
    run(async move {
        let fleet = Fleet::serving(&["front", "s"]).await;
        let faulty = Faulty::replace(&fleet, 1, Moment::AtOnce, FULL, 0).await;
        let node = if remote { 0 } else { 1 };
        // The whole answer, with the line of the id in place of its mark.
        let id = "invalid-1";
        let length = whole.len() + format!("{ID}{id}").len() + 2 - ID_LINE.len();
        *faulty.whole.borrow_mut() = whole;
        faulty.cut_at.set(length);
        let reply = call(&fleet, node, &method, "/cut", Some(id)).await;
        assert_eq!(reply.status, 502, "{reply:?}");
    });
}
