//! What peers and strangers may send to the control part.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use oriolering::{AttemptStatus, CallId, Grant, Incarnation, Member};
use oriolering_node::control::{ControlError, ControlSettings, Handle, Hooks, PeerError, start};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use rstest::rstest;

const GRANT: Grant = Grant {
    gate: Incarnation(1),
    number: 1,
};
const CALL: CallId = CallId {
    grant: GRANT,
    seq: 1,
};
const TIMEOUT_MS: u64 = 2_000;

fn unused() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn member(id: &str, control: SocketAddr) -> Member {
    Member {
        id: id.into(),
        service: "caja".into(),
        zone: "huaraz".into(),
        region: "ancash".into(),
        ingress: control,
        gate: control,
        control,
        leaving: false,
        incarnation: Some(Incarnation(rand::random())),
    }
}

/// Starts a control part that knows no peers; `fences` counts the attempts it fenced.
fn control(id: &str, fences: &Arc<AtomicU32>) -> (Handle, SocketAddr) {
    let address = unused();
    let settings = ControlSettings::new(member(id, address), unused());
    (start(settings, hooks(fences)).unwrap(), address)
}

fn hooks(fences: &Arc<AtomicU32>) -> Hooks {
    let fences = Arc::clone(fences);
    Hooks {
        configured: Box::new(|_| {}),
        validate: Box::new(|_| Ok(())),
        members: Box::new(|_| {}),
        inquire: Box::new(move |_, _| {
            fences.fetch_add(1, Ordering::Relaxed);
            AttemptStatus::Fenced
        }),
        open: Box::new(|| GRANT),
        leaving: Box::new(|| false),
        quarantined: Box::new(|_| {}),
    }
}

#[tokio::test]
async fn a_stranger_fences_only_in_a_session_of_its_own() {
    let fences = Arc::default();
    let (gate, address) = control("gate", &fences);
    let (stranger, _) = control("stranger", &Arc::default());
    let refused = stranger.inquire(address, CALL, true, TIMEOUT_MS).await;
    assert!(
        matches!(refused, Err(PeerError::Refused { .. })),
        "{refused:?}"
    );
    assert_eq!(fences.load(Ordering::Relaxed), 0);
    assert_eq!(gate.status().counts.strangers, 1);
    assert_eq!(stranger.open(address, TIMEOUT_MS).await.unwrap(), GRANT);
    let fate = stranger.inquire(address, CALL, true, TIMEOUT_MS).await;
    assert_eq!(fate.unwrap(), AttemptStatus::Fenced);
    let mut other = CALL;
    other.grant.number += 1;
    let refused = stranger.inquire(address, other, true, TIMEOUT_MS).await;
    assert!(
        matches!(refused, Err(PeerError::Refused { .. })),
        "{refused:?}"
    );
    assert_eq!(fences.load(Ordering::Relaxed), 1);
    gate.stop().await;
    stranger.stop().await;
}

#[tokio::test]
async fn sessions_of_strangers_are_limited() {
    let (gate, address) = control("gate", &Arc::default());
    let (stranger, _) = control("stranger", &Arc::default());
    let mut opened = 0;
    for _ in 0..100 {
        opened += u32::from(stranger.open(address, TIMEOUT_MS).await.is_ok());
    }
    assert!((32..50).contains(&opened), "{opened}");
    gate.stop().await;
    stranger.stop().await;
}

#[tokio::test]
async fn a_silent_peer_is_given_up_in_time() {
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let (ingress, _) = control("ingress", &Arc::default());
    let start = Instant::now();
    let error = ingress
        .inquire(silent.local_addr().unwrap(), CALL, true, 200)
        .await;
    assert!(matches!(error, Err(PeerError::Timeout { .. })), "{error:?}");
    assert!(start.elapsed() < Duration::from_millis(1_500));
    let error = ingress.open(unused(), TIMEOUT_MS).await;
    assert!(matches!(error, Err(PeerError::Connect { .. })), "{error:?}");
    ingress.stop().await;
}

#[tokio::test]
async fn a_stopped_control_part_says_so() {
    let (node, address) = control("node", &Arc::default());
    let copy = node.clone();
    node.stop().await;
    let error = copy.open(address, TIMEOUT_MS).await;
    assert!(matches!(error, Err(PeerError::Ended)), "{error:?}");
    assert!(!copy.is_running());
    assert!(TcpListener::bind(address).is_ok());
}

#[test]
fn wrong_settings_are_refused() {
    let taken = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = taken.local_addr().unwrap();
    let settings = ControlSettings::new(member("node", address), unused());
    let error = start(settings, hooks(&Arc::default())).err();
    assert!(
        matches!(error, Some(ControlError::Listen { .. })),
        "{error:?}"
    );
    let mut nameless = member("node", unused());
    nameless.incarnation = None;
    let settings = ControlSettings::new(nameless, unused());
    let error = start(settings, hooks(&Arc::default())).err();
    assert!(
        matches!(error, Some(ControlError::Incarnation)),
        "{error:?}"
    );
}

/// Returns `body` behind its length, as a peer frames its messages.
fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

/// A request whose deadline is beyond what the system's clock can hold.
fn endless_deadline() -> Vec<u8> {
    let mut body = 0u32.to_le_bytes().to_vec();
    body.extend(u64::MAX.to_le_bytes());
    body.extend([0; 64]);
    frame(&body)
}

#[rstest]
#[case::endless_deadline(endless_deadline())]
#[case::huge_frame(u32::MAX.to_be_bytes().to_vec())]
#[case::half_frame(frame(&[0; 100])[..50].to_vec())]
#[case::http(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec())]
#[tokio::test]
async fn hostile_bytes_do_no_harm(#[case] bytes: Vec<u8>) {
    let (node, address) = control("node", &Arc::default());
    let (peer, _) = control("peer", &Arc::default());
    let mut streams = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&bytes).unwrap();
        streams.push(stream);
    }
    assert_eq!(peer.open(address, TIMEOUT_MS).await.unwrap(), GRANT);
    assert!(node.is_running());
    node.stop().await;
    peer.stop().await;
}

#[tokio::test]
async fn random_frames_do_no_harm() {
    let (node, address) = control("node", &Arc::default());
    let (peer, _) = control("peer", &Arc::default());
    let mut runner = TestRunner::new(Config::with_cases(200));
    let bodies = proptest::collection::vec(any::<u8>(), 0..300);
    let sent = runner.run(&bodies, |body| {
        let mut stream = TcpStream::connect(address).unwrap();
        let _ = stream.write_all(&frame(&body));
        Ok(())
    });
    assert!(sent.is_ok());
    assert_eq!(peer.open(address, TIMEOUT_MS).await.unwrap(), GRANT);
    node.stop().await;
    peer.stop().await;
}
