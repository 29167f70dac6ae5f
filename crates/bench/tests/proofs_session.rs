//! Golden files of whole sessions, byte by byte.

use std::time::Duration;

use oriolering_bench::{Fleet, FleetPlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const QUIET: Duration = Duration::from_millis(400);

/// Sends the bytes and returns what comes back until the connection ends or is quiet.
async fn session(fleet: &Fleet, sent: &str) -> String {
    let mut stream = TcpStream::connect(fleet.members[0].ingress).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        match tokio::time::timeout(QUIET, stream.read(&mut buffer)).await {
            Ok(Ok(0)) => break "closed",
            Ok(Ok(size)) => received.extend_from_slice(&buffer[..size]),
            Ok(Err(_)) => break "reset",
            Err(_) => break "open",
        }
    };
    let text = String::from_utf8_lossy(&received).replace('\r', "");
    format!(
        "{}\n<<<\n{}\n--- {end}",
        sent.replace('\r', ""),
        sorted(&text)
    )
}

/// Sorts the headers of each answer, as their order has no meaning.
fn sorted(text: &str) -> String {
    let blocks = text.split("\n\n").map(|block| {
        let mut lines: Vec<&str> = block.lines().collect();
        if let Some(start) = lines.iter().position(|line| line.starts_with("HTTP/1.1")) {
            lines[start + 1..].sort_unstable();
        }
        lines.join("\n")
    });
    blocks.collect::<Vec<_>>().join("\n\n")
}

#[ntex::main]
#[test]
async fn sessions_stay_as_recorded() {
    let fleet = Fleet::start(&FleetPlan::new("caja", 1)).await.unwrap();
    let host = "host: caja\r\noriolering-service: caja\r\n";
    let sessions = [
        (
            "get",
            format!("GET /stock?size=42 HTTP/1.1\r\n{host}x-nonce: g\r\n\r\n"),
        ),
        (
            "post",
            format!("POST /deposit HTTP/1.1\r\n{host}x-nonce: p\r\ncontent-length: 3\r\n\r\nabc"),
        ),
        (
            "pipelined",
            format!(
                "GET /a HTTP/1.1\r\n{host}x-nonce: a\r\nx-service-us: 60000\r\n\r\nGET /b HTTP/1.1\r\n{host}x-nonce: b\r\n\r\n"
            ),
        ),
        (
            "unknown service",
            "GET / HTTP/1.1\r\nhost: nobody\r\noriolering-service: nobody\r\n\r\n".into(),
        ),
        (
            "length and chunked",
            format!(
                "POST / HTTP/1.1\r\n{host}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
        ),
        (
            "two lengths",
            format!("POST / HTTP/1.1\r\n{host}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
        ),
        (
            "bad deadline",
            format!("GET / HTTP/1.1\r\n{host}oriolering-deadline-ms: soon\r\n\r\n"),
        ),
        (
            "late",
            format!(
                "GET / HTTP/1.1\r\n{host}x-nonce: l\r\nx-service-us: 900000\r\noriolering-deadline-ms: 100\r\n\r\n"
            ),
        ),
        (
            "forged identity",
            format!(
                "GET / HTTP/1.1\r\n{host}x-nonce: f\r\noriolering-call: 1.1.1\r\noriolering-crashes: 9\r\n\r\n"
            ),
        ),
    ];
    let mut settings = insta::Settings::clone_current();
    settings.add_filter(r"date: [^\n]*", "date: [date]");
    settings.add_filter(r"x-spent-us: \d+", "x-spent-us: [us]");
    settings.add_filter(r"(traceparent|oriolering-load): [^\n]*", "$1: [value]");
    for (name, sent) in sessions {
        let recorded = session(&fleet, &sent).await;
        settings.bind(|| insta::assert_snapshot!(name, recorded));
    }
}
