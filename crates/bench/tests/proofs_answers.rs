//! A backend server that writes an earlier refusal once more, or stops in the middle of a head, behind
//! the gates of the older path.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use oriolering_bench::{Fleet, FleetPlan};
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long a caller waits for an answer.
const WAIT: Duration = Duration::from_secs(5);
/// How long the faulty backend server runs a request.
const WORK: Duration = Duration::from_millis(10);

/// What the faulty backend server does, and the targets that it ran.
#[derive(Clone, Default)]
struct Faulty {
    cut: Arc<Mutex<String>>,
    /// Whether an earlier refusal is written once more when the next request has arrived.
    copies: bool,
    runs: Arc<Mutex<HashMap<String, usize>>>,
}

impl Faulty {
    /// Listens in place of a backend server.
    fn listen(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the port is free");
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
    }

    /// Serves a connection until one of its ends closes it.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut refused = false;
        loop {
            let target = read_request(&mut stream)?;
            if target.contains("/cut") {
                let cut = self.cut.lock().expect("no panic").clone();
                return stream.write_all(cut.as_bytes()).ok();
            }
            if target.contains("/refused") {
                stream.write_all(&answer("503 No", "")).ok()?;
                refused = true;
                continue;
            }
            if target.contains("/run") {
                let mut runs = self.runs.lock().expect("no panic");
                *runs.entry(target.clone()).or_default() += 1;
                drop(runs);
                if refused && self.copies {
                    stream.write_all(&answer("503 No", "")).ok()?;
                }
                thread::sleep(WORK);
            }
            stream.write_all(&answer("200 OK", "ran")).ok()?;
        }
    }
}

/// Reads a request, which has no body, and returns its target.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    Some(head.split(' ').nth(1)?.to_owned())
}

fn answer(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Sends a request without a body, and returns the status line and the rest of the answer.
async fn call(ingress: SocketAddr, method: &str, path: &str) -> (String, String) {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: caja\r\noriolering-service: caja\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    let mut stream = tokio::net::TcpStream::connect(ingress)
        .await
        .expect("a node");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let mut received = Vec::new();
    // A reset ends the answer as well.
    let read = tokio::time::timeout(WAIT, stream.read_to_end(&mut received)).await;
    assert!(read.is_ok(), "no end of the answer to {path}");
    let text = String::from_utf8_lossy(&received).into_owned();
    let (line, rest) = text.split_once("\r\n").unwrap_or((&text, ""));
    (line.to_owned(), rest.to_owned())
}

/// Answers that a backend server cuts, in each framing.
const ANSWERS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nx-a: b\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nx-a: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhat\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-a: b\r\nConnection: close\r\n\r\n",
];

// Guards against an answer whose head is cut and that callers get as a whole one.
#[rstest]
#[case::length(0)]
#[case::chunks(1)]
#[case::until_the_end(2)]
#[ntex::test]
async fn gates_pass_no_answer_on_that_is_cut_within_its_head(#[case] framing: usize) {
    let mut fleet = Fleet::start(&FleetPlan::new("caja", 2)).await.unwrap();
    let faulty = Faulty::default();
    for member in &mut fleet.members {
        member.server.kill();
        faulty.listen(member.backend);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let whole = ANSWERS[framing];
    let head = whole.find("\r\n\r\n").unwrap() + 4;
    for method in ["POST", "GET"] {
        for length in 0..head {
            *faulty.cut.lock().unwrap() = whole[..length].to_owned();
            let path = format!("/cut/{method}/{length}");
            let (line, rest) = call(fleet.members[0].ingress, method, &path).await;
            assert!(!line.contains(" 200"), "{length} of {head}: {line} {rest}");
        }
    }
}

// Guards against a repeated refusal that is taken for the answer to the next request.
#[rstest]
#[case::without_copies(false)]
#[case::with_copies(true)]
#[ntex::test]
async fn gates_refuse_no_call_by_a_repeated_shed_answer(#[case] copies: bool) {
    let shed = json!({ "shed": { "not_run": true, "status": 503 } });
    let plan = FleetPlan::new("caja", 2).settings(shed);
    let mut fleet = Fleet::start(&plan).await.unwrap();
    let faulty = Faulty {
        copies,
        ..Faulty::default()
    };
    for member in &mut fleet.members {
        member.server.kill();
        faulty.listen(member.backend);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ingress = fleet.members[0].ingress;
    for round in 0..20 {
        call(ingress, "POST", &format!("/refused/{round}")).await;
        let path = format!("/run/{round}");
        let (line, rest) = call(ingress, "POST", &path).await;
        let runs = faulty.runs.lock().unwrap().get(&path).copied().unwrap_or(0);
        assert!(runs <= 1, "{path} ran {runs} times");
        let refused = rest.contains("not-run");
        assert!(!refused || runs == 0, "{path}: {line}\n{rest}");
    }
    let ran = faulty.runs.lock().unwrap().len();
    assert!(ran > 0, "nothing ran");
}

// Guards against a response of which callers get a part as a whole one, or a status that is not
// valid for a final response.
#[rstest]
#[case::length("1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhat", Some(" 200 "))]
#[case::until_the_end("1.0 200 OK\r\n\r\nwhat", Some(" 200 "))]
#[case::old_version_in_chunks(
    "1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nwhat",
    Some(" 200 ")
)]
#[case::no_content("1.1 204 No Content\r\n\r\n", Some(" 204 "))]
#[case::new_version_without_a_length("1.1 200 OK\r\n\r\nwhat", None)]
#[case::identity("1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhat", None)]
#[case::interim(
    "1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhat",
    None
)]
#[case::status_000("1.1 000 OK\r\nContent-Length: 4\r\n\r\nwhat", None)]
#[case::status_600("1.1 600 OK\r\nContent-Length: 4\r\n\r\nwhat", None)]
#[case::status_999("1.1 999 OK\r\nContent-Length: 4\r\n\r\nwhat", None)]
#[case::status_1000("1.1 1000 OK\r\nContent-Length: 4\r\n\r\nwhat", None)]
#[case::blank_in_a_name("1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nwhat", None)]
#[case::control_byte_in_a_name("1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 4\r\n\r\nwhat", None)]
#[ntex::test]
async fn gates_pass_on_only_valid_answers(#[case] answer: &str, #[case] passed: Option<&str>) {
    let mut fleet = Fleet::start(&FleetPlan::new("caja", 2)).await.unwrap();
    let faulty = Faulty::default();
    for member in &mut fleet.members {
        member.server.kill();
        faulty.listen(member.backend);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    *faulty.cut.lock().unwrap() = format!("HTTP/{answer}");
    for method in ["POST", "GET"] {
        let path = format!("/cut/{method}");
        let (line, rest) = call(fleet.members[0].ingress, method, &path).await;
        let status = passed.unwrap_or(" 502 ");
        assert!(line.contains(status), "{method}: {line}\n{rest}");
        let whole = rest.contains("what") || status != " 200 ";
        assert!(whole, "{method}: {line}\n{rest}");
    }
}
