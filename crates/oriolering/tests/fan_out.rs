//! Simulates the spread of a large document from three nodes to 86 others over links of 10 Mbit/s.

use oriolering::{FAN_OUT_MAX, FanOut, Millis};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const NODES: usize = 89;
const READERS: usize = 3;
/// The capacity of a link, in bytes per millisecond.
const LINK_BYTES: f64 = 1_250.0;
/// The size of the compressed routes of a large configuration, in bytes.
const DOCUMENT_BYTES: f64 = 60_000.0;
/// How long a node waits before it asks another node, in milliseconds.
const ASK_MS: u64 = 150;
/// How long a node takes to apply and announce received routes, in milliseconds.
const APPLY_DELAY_MS: u64 = 40;
/// The time after its publication within which a change must be in force, in milliseconds.
const APPLY_LIMIT_MS: u64 = 2_500;

#[derive(Default)]
struct Node {
    fan_out: FanOut<usize, ()>,
    /// The receivers of the current transfers, with the remaining bytes.
    sending: Vec<(usize, f64)>,
    requested: Option<u64>,
    received: Option<u64>,
}

/// Simulates the spread and returns when the last node has the document, in milliseconds.
fn simulate(limited: bool, seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::default()).collect();
    for node in &mut nodes[..READERS] {
        node.received = Some(0);
    }
    for now in 0..60_000 {
        if nodes.iter().all(|n| n.received.is_some_and(|at| at <= now)) {
            return now;
        }
        ask(&mut nodes, now, limited, &mut rng);
        for index in 0..NODES {
            serve(&mut nodes, index, now);
        }
    }
    60_000
}

fn ask(nodes: &mut [Node], now: u64, limited: bool, rng: &mut StdRng) {
    for asker in 0..NODES {
        let waits = nodes[asker].requested.is_some_and(|at| now < at + ASK_MS);
        if nodes[asker].received.is_some() || waits || rng.random_bool(0.9) {
            continue;
        }
        let has_announced = |n: &&usize| nodes[**n].received.is_some_and(|at| at + 2 <= now);
        let all: Vec<usize> = (0..NODES).collect();
        let Some(&chosen) = all.iter().filter(has_announced).choose(rng) else {
            continue;
        };
        nodes[asker].requested = Some(now);
        match limited {
            true => nodes[chosen].fan_out.enqueue(asker, ()),
            false => nodes[chosen].sending.push((asker, DOCUMENT_BYTES)),
        }
    }
}

/// Sends for one millisecond; all transfers of a node share its link.
fn serve(nodes: &mut [Node], index: usize, now: u64) {
    while let Some((asker, ())) = nodes[index].fan_out.next(Millis(now)) {
        nodes[index].sending.push((asker, DOCUMENT_BYTES));
    }
    let share = LINK_BYTES / nodes[index].sending.len().max(1) as f64;
    let mut sending = std::mem::take(&mut nodes[index].sending);
    for (asker, left) in &mut sending {
        *left -= share;
        nodes[*asker].requested = Some(now);
    }
    let (done, rest) = sending.into_iter().partition(|(_, left)| *left <= 0.0);
    nodes[index].sending = rest;
    let done: Vec<(usize, f64)> = done;
    for (asker, _) in done {
        nodes[asker].received.get_or_insert(now + APPLY_DELAY_MS);
        for node in nodes.iter_mut() {
            node.fan_out.finish(asker);
        }
    }
}

#[rstest]
fn change_reaches_all_nodes_in_time(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let last = simulate(true, seed);
    assert!(
        last <= APPLY_LIMIT_MS / 2,
        "the last node received it after {last} ms"
    );
    let unlimited = simulate(false, seed);
    assert!(
        last < unlimited,
        "{last} ms limited, {unlimited} ms unlimited"
    );
}

#[test]
fn concurrent_transfers_are_limited() {
    let mut fan_out = FanOut::default();
    for key in 0..10 {
        fan_out.enqueue(key, ());
    }
    let now = Millis(1_000);
    let served = std::iter::from_fn(|| fan_out.next(now)).count();
    assert_eq!(served, FAN_OUT_MAX);
    fan_out.finish(0);
    assert_eq!(fan_out.next(now), Some((FAN_OUT_MAX, ())));
    assert_eq!(fan_out.next(now), None);
}

#[test]
fn peer_that_already_has_the_document_is_skipped() {
    let mut fan_out = FanOut::default();
    fan_out.enqueue("a", 1);
    fan_out.enqueue("b", 1);
    fan_out.finish("a");
    assert_eq!(fan_out.next(Millis(0)), Some(("b", 1)));
    assert_eq!(fan_out.next(Millis(0)), None);
}

#[test]
fn unfinished_transfer_stops_counting_after_a_timeout() {
    let mut fan_out = FanOut::default();
    for key in 0..=FAN_OUT_MAX {
        fan_out.enqueue(key, ());
    }
    while fan_out.next(Millis(0)).is_some() {}
    assert_eq!(fan_out.next(Millis(400)), None);
    assert_eq!(fan_out.next(Millis(600)), Some((FAN_OUT_MAX, ())));
}

#[test]
fn later_request_replaces_an_earlier_one() {
    let mut fan_out = FanOut::default();
    fan_out.enqueue("a", 1);
    fan_out.enqueue("a", 2);
    assert_eq!(fan_out.next(Millis(0)), Some(("a", 2)));
    assert_eq!(fan_out.next(Millis(0)), None);
}
