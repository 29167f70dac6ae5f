//! A long text that three nodes know and 86 others ask for, over links of 10 Mbit/s.

use oriolering::{FAN_OUT_MAX, FanOut, Millis};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const NODES: usize = 89;
const READERS: usize = 3;
/// What a link carries in a millisecond, in bytes.
const LINK_BYTES: f64 = 1_250.0;
/// The packed routes of a large configuration, in bytes.
const TEXT_BYTES: f64 = 60_000.0;
/// How long a node waits before it asks another one, in milliseconds.
const ASK_MS: u64 = 150;
/// How long routes take to read and to tell of, in milliseconds.
const TAKE_MS: u64 = 40;
/// When a change has to be in force, in milliseconds after its publication.
const APPLY_MS: u64 = 2_500;

#[derive(Default)]
struct Node {
    asks: FanOut<usize, ()>,
    /// Those that this node sends to, with the bytes that are left.
    sending: Vec<(usize, f64)>,
    asked: Option<u64>,
    knows: Option<u64>,
}

/// Plays the spreading and returns when the last node knows the text, in milliseconds.
fn play(limited: bool, seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::default()).collect();
    for node in &mut nodes[..READERS] {
        node.knows = Some(0);
    }
    for now in 0..60_000 {
        if nodes.iter().all(|n| n.knows.is_some_and(|at| at <= now)) {
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
        let waits = nodes[asker].asked.is_some_and(|at| now < at + ASK_MS);
        if nodes[asker].knows.is_some() || waits || rng.random_bool(0.9) {
            continue;
        }
        let told = |n: &&usize| nodes[**n].knows.is_some_and(|at| at + 2 <= now);
        let all: Vec<usize> = (0..NODES).collect();
        let Some(&chosen) = all.iter().filter(told).choose(rng) else {
            continue;
        };
        nodes[asker].asked = Some(now);
        match limited {
            true => nodes[chosen].asks.enqueue(asker, ()),
            false => nodes[chosen].sending.push((asker, TEXT_BYTES)),
        }
    }
}

/// Sends for a millisecond, the link shared by all that a node sends to.
fn serve(nodes: &mut [Node], index: usize, now: u64) {
    while let Some((asker, ())) = nodes[index].asks.next(Millis(now)) {
        nodes[index].sending.push((asker, TEXT_BYTES));
    }
    let share = LINK_BYTES / nodes[index].sending.len().max(1) as f64;
    let mut sending = std::mem::take(&mut nodes[index].sending);
    for (asker, left) in &mut sending {
        *left -= share;
        nodes[*asker].asked = Some(now);
    }
    let (done, rest) = sending.into_iter().partition(|(_, left)| *left <= 0.0);
    nodes[index].sending = rest;
    let done: Vec<(usize, f64)> = done;
    for (asker, _) in done {
        nodes[asker].knows.get_or_insert(now + TAKE_MS);
        for node in nodes.iter_mut() {
            node.asks.finish(asker);
        }
    }
}

#[rstest]
fn all_know_a_change_in_time(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let last = play(true, seed);
    assert!(last <= APPLY_MS / 2, "the last learned after {last} ms");
    let at_once = play(false, seed);
    assert!(
        last < at_once,
        "{last} ms, and {at_once} ms sent to all at once"
    );
}

#[test]
fn only_a_few_are_served_at_a_time() {
    let mut fan = FanOut::default();
    for key in 0..10 {
        fan.enqueue(key, ());
    }
    let now = Millis(1_000);
    let served = std::iter::from_fn(|| fan.next(now)).count();
    assert_eq!(served, FAN_OUT_MAX);
    fan.finish(0);
    assert_eq!(fan.next(now), Some((FAN_OUT_MAX, ())));
    assert_eq!(fan.next(now), None);
}

#[test]
fn one_that_has_the_text_from_elsewhere_is_not_served() {
    let mut fan = FanOut::default();
    fan.enqueue("a", 1);
    fan.enqueue("b", 1);
    fan.finish("a");
    assert_eq!(fan.next(Millis(0)), Some(("b", 1)));
    assert_eq!(fan.next(Millis(0)), None);
}

#[test]
fn one_that_never_ends_makes_room_in_time() {
    let mut fan = FanOut::default();
    for key in 0..=FAN_OUT_MAX {
        fan.enqueue(key, ());
    }
    while fan.next(Millis(0)).is_some() {}
    assert_eq!(fan.next(Millis(400)), None);
    assert_eq!(fan.next(Millis(600)), Some((FAN_OUT_MAX, ())));
}

#[test]
fn a_later_question_replaces_an_earlier_one() {
    let mut fan = FanOut::default();
    fan.enqueue("a", 1);
    fan.enqueue("a", 2);
    assert_eq!(fan.next(Millis(0)), Some(("a", 2)));
    assert_eq!(fan.next(Millis(0)), None);
}
