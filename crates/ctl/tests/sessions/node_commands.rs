//! Sessions with the commands that ask nodes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};

use crate::common::session;

/// A stand-in of a node's admin listener that gives one answer to each of some requests.
struct Admin {
    address: SocketAddr,
    /// Ends with the request lines that were read.
    requests: JoinHandle<Vec<String>>,
}

impl Admin {
    fn start(status: &'static str, body: &'static str, count: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = thread::spawn(move || {
            let answer = |_| respond(listener.accept().unwrap().0, status, body);
            (0..count).map(answer).collect()
        });
        Self { address, requests }
    }

    fn node(&self) -> String {
        self.address.to_string()
    }

    fn paths(self) -> Vec<String> {
        self.requests.join().unwrap()
    }
}

/// Reads the head of a request, answers it, and returns the first line.
fn respond(mut stream: TcpStream, status: &str, body: &str) -> String {
    let head = BufReader::new(stream.try_clone().unwrap()).lines();
    let head: Vec<String> = head
        .map_while(Result::ok)
        .take_while(|l| !l.is_empty())
        .collect();
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    stream.write_all(answer.as_bytes()).unwrap();
    head.into_iter().next().unwrap()
}

/// Returns a session in which the addresses of the nodes are replaced by names as long.
fn masked(args: &[&str], nodes: &[&str]) -> String {
    let named = nodes.iter().enumerate();
    named.fold(session(args), |text, (i, node)| {
        let name = format!("node-{}", i + 1);
        text.replace(node, &format!("{name:-<width$}", width = node.len()))
    })
}

const RACK: &str = include_str!("../fixtures/status-rack-1.json");
const CAJA: &str = include_str!("../fixtures/status-caja-2.json");

/// An address at which nothing listens: the port is reserved and out of use.
const CLOSED: &str = "127.0.0.1:1";

#[test]
fn status_of_one_node() {
    let admin = Admin::start("200 OK", RACK, 1);
    let node = admin.node();
    insta::assert_snapshot!(masked(&["status", "--node", &node, "--counters"], &[&node]));
    assert_eq!(admin.paths(), ["GET /status HTTP/1.1"]);
}

#[test]
fn status_of_several_nodes() {
    let nodes = [
        Admin::start("200 OK", RACK, 1).node(),
        Admin::start("200 OK", CAJA, 1).node(),
        Admin::start("200 OK", "{}", 1).node(),
        CLOSED.to_owned(),
    ];
    let [rack, caja, empty, gone] = nodes.each_ref().map(String::as_str);
    let args = [
        "status",
        "--node",
        rack,
        "--node",
        caja,
        "--node",
        empty,
        "--node",
        gone,
        "--counters",
    ];
    insta::assert_snapshot!(masked(&args, &[rack, caja, empty, gone]));
}

#[test]
fn status_for_machines() {
    let nodes = [Admin::start("200 OK", CAJA, 1).node(), CLOSED.to_owned()];
    let [caja, gone] = nodes.each_ref().map(String::as_str);
    let args = ["status", "--node", caja, "--node", gone, "--format", "json"];
    insta::assert_snapshot!(masked(&args, &[caja, gone]));
}

#[test]
fn status_is_refreshed() {
    let admin = Admin::start("200 OK", RACK, 2);
    let node = admin.node();
    let shown = session(&["status", "--node", &node, "--watch", "1", "--count", "2"]);
    assert_eq!(shown.matches("\u{1b}[H\u{1b}[2J").count(), 2);
    assert_eq!(shown.matches("LATENCY").count(), 2);
    assert_eq!(shown.matches("3.2 ms").count(), 2);
    assert_eq!(admin.paths().len(), 2);
}

#[test]
fn redirects_are_not_followed() {
    let admin = Admin::start("302 Found\r\nlocation: /elsewhere", "", 1);
    let node = admin.node();
    insta::assert_snapshot!(masked(&["status", "--node", &node], &[&node]));
}

#[test]
fn an_answer_that_is_no_json_is_reported() {
    let admin = Admin::start("200 OK", "<html>", 1);
    let node = admin.node();
    insta::assert_snapshot!(masked(&["status", "--node", &node], &[&node]));
}

#[test]
fn an_answer_of_another_kind_is_reported() {
    let admin = Admin::start("200 OK", "{\"gate\": 5}", 1);
    let node = admin.node();
    insta::assert_snapshot!(masked(&["status", "--node", &node], &[&node]));
}

#[test]
fn explain_a_service_that_the_node_does_not_know() {
    let admin = Admin::start("404 Not Found", "no such service in the configuration\n", 1);
    let node = admin.node();
    let args = ["explain", "--node", &node, "--service", "cajas"];
    insta::assert_snapshot!(masked(&args, &[&node]));
}

#[test]
fn explain_a_choice() {
    let body = include_str!("../fixtures/explain-caja.json");
    let admin = Admin::start("200 OK", body, 1);
    let node = admin.node();
    let args = ["explain", "--node", &node, "--service", "caja"];
    insta::assert_snapshot!(masked(&args, &[&node]));
    assert_eq!(admin.paths(), ["GET /explain?service=caja HTTP/1.1"]);
}

#[test]
fn trace_a_call() {
    let rack = include_str!("../fixtures/trace-rack-1.json");
    let caja = include_str!("../fixtures/trace-caja-1.json");
    let nodes = [
        Admin::start("200 OK", rack, 1).node(),
        Admin::start("200 OK", caja, 1).node(),
    ];
    let [rack, caja] = nodes.each_ref().map(String::as_str);
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let args = ["trace", "--node", rack, "--node", caja, trace];
    insta::assert_snapshot!(masked(&args, &[rack, caja]));
}

#[test]
fn trace_without_spans() {
    let admin = Admin::start("200 OK", "[]", 1);
    let node = admin.node();
    let trace = "4BF92F3577B34DA6A3CE929D0E0E4736";
    let args = ["trace", "--node", &node, trace];
    insta::assert_snapshot!(masked(&args, &[&node]));
    let path = format!("GET /trace?id={} HTTP/1.1", trace.to_lowercase());
    assert_eq!(admin.paths(), [path]);
}
