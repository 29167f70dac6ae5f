//! Responses that arrive before a long request body is written.

use std::io::{Read, Write};

use oriolering_http::Method;

use crate::support::{run, within_deadline};
use crate::{connect, connected_pair, matches_id, ok_response, request};

#[test]
fn an_early_answer_to_a_long_body_is_delivered_and_the_connection_not_reused() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let body = vec![b'b'; 32_000_000];
        let exchange = conn.exchange(request(Method::POST, "1", &body), matches_id("1"));
        let serve = async {
            server.head().await;
            server.send(ok_response("1", "early")).await;
        };
        let (response, ()) = tokio::join!(within_deadline(exchange), serve);
        assert_eq!(&response.expect("an answer").body[..], b"early");
        assert!(!conn.is_reusable());
        drop(conn);
        // Only a part of the body arrives.
        let rest = server.rest().await;
        assert!(rest.len() < body.len());
        assert!(rest.iter().all(|b| *b == b'b'));
    });
}

/// Responds on one connection after 300,000 bytes and closes it, which resets it, since the rest of
/// the request is unread.
fn answer_early(listener: std::net::TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut chunk = vec![0; 300_000];
    stream.read_exact(&mut chunk).expect("a part of the body");
    let answer = ok_response("1", "early");
    stream.write_all(answer.as_bytes()).expect("the peer reads");
}

#[test]
fn an_early_answer_before_a_reset_is_delivered() {
    run(async {
        let body = vec![b'b'; 4_000_000];
        for round in 0..100 {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let server = std::thread::spawn(move || answer_early(listener));
            let mut conn = connect(address).await;
            let exchange = conn.exchange(request(Method::POST, "1", &body), matches_id("1"));
            let response = within_deadline(exchange).await.map(|r| r.body);
            server.join().expect("the server ends");
            assert_eq!(&response.expect("an answer")[..], b"early", "round {round}");
            assert!(!conn.is_reusable());
        }
    });
}

#[test]
fn a_long_body_is_written_completely_before_the_answer() {
    run(async {
        let (mut conn, mut server) = connected_pair().await;
        let body = vec![b'b'; 8_000_000];
        let exchange = conn.exchange(request(Method::POST, "1", &body), matches_id("1"));
        let serve = async {
            server.head().await;
            let received = server.bytes(body.len()).await;
            server.send(ok_response("1", "done")).await;
            received.len()
        };
        let (response, received) = tokio::join!(within_deadline(exchange), serve);
        assert_eq!(&response.expect("an answer").body[..], b"done");
        assert_eq!(received, body.len());
        assert!(conn.is_reusable());
    });
}
