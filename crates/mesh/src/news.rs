//! What nodes tell each other of the routes and of the list of backend servers.
//!
//! A node tells which version it knows, and who knows less asks for the rest. So a node that
//! the store turns away, or that starts while the store is away, learns from its peers.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use oriolering::{FanOut, Millis, RouteTable, ServerRecord, ServerUpdate, TextDelta};
use oriolering_platform::parse_config;
use rand::seq::IteratorRandom;
use serde_bytes::ByteBuf;

use crate::age::Age;
use crate::frame::{Frame, PIECE_BYTES};
use crate::node::Node;
use crate::outbound;
use crate::outbox::Outbox;
use crate::peer::Peer;
use crate::routes_text::{Arriving, RoutesText};
use crate::trail::{Event, Origin, clip};

/// How long an asked peer may send nothing before another one is asked, in milliseconds.
const ASK_MS: u64 = 150;

/// A question for routes that waits for its turn.
struct Ask {
    outbox: Rc<Outbox>,
    /// The version that the asker knows.
    version: u64,
}

/// What a node asks of its peers and sends them.
#[derive(Default)]
pub(crate) struct News {
    /// When a peer was asked, or sent a piece since; none once it has answered.
    asked: Cell<Option<Millis>>,
    /// The text in which the routes were published.
    pub(crate) text: RefCell<RoutesText>,
    arriving: RefCell<Arriving>,
    asks: RefCell<FanOut<IpAddr, Ask>>,
}

/// Tells one peer what this node knows.
pub(crate) fn announce(node: &Node, outbox: &Outbox) {
    outbox.push(known(node));
}

/// Tells all peers what this node knows, since it has changed.
pub(crate) fn announce_all(node: &Node) {
    let known = known(node);
    for peer in node.peers.borrow().values() {
        peer.push(known.clone());
    }
}

fn known(node: &Node) -> Frame {
    let now = node.now();
    Frame::Known {
        routes: node.version(),
        servers: node.list.borrow().revision(),
        age_ms: node.confirmed_age(now),
        reading: node.reading.get(),
        rate: node.rate(),
    }
}

/// Notes whether this node watches the store, and tells all peers when that changes.
pub(crate) fn set_reading(node: &Node, reading: bool) {
    if node.reading.replace(reading) != reading {
        node.trail.note(Event::WatchChanged {
            reading,
            readers: node.readers() as u64,
            list_revision: node.list.borrow().revision(),
        });
        announce_all(node);
    }
}

/// Takes in news, or answers a question about them.
pub(crate) fn take(node: &Rc<Node>, from: IpAddr, outbox: &Rc<Outbox>, frame: Frame) {
    match frame {
        Frame::Known {
            routes,
            servers,
            age_ms,
            reading,
            rate,
        } => {
            if let Some(peer) = node.peer_at(from) {
                let now = node.now();
                let confirmed = age_ms.map(|ms| Age::new(now, ms));
                peer.learn((routes, servers), confirmed, reading, rate);
            }
            if routes >= node.version() {
                node.news.asks.borrow_mut().finish(from);
                send_next(node);
            }
            compare(node, outbox, routes, servers);
        }
        Frame::Want { routes, servers } => supply(node, from, outbox, routes, servers),
        Frame::Routes {
            age_ms,
            parts,
            packed,
            whole,
        } => {
            let packed = packed.into_vec();
            take_routes(node, from, age_ms, TextDelta { parts, packed }, whole);
        }
        Frame::RoutesPiece { bytes, last } => take_piece(node, from, &bytes, last),
        Frame::Servers { revision, notes } => {
            node.news.asked.set(None);
            put_servers(node, revision, notes, Origin::Peer(from));
        }
        Frame::Hello { .. }
        | Frame::Offer { .. }
        | Frame::Piece { .. }
        | Frame::Cancel { .. }
        | Frame::Ended { .. }
        | Frame::Load(_)
        | Frame::Suspects { .. }
        | Frame::Ping
        | Frame::Pong => {}
    }
}

fn take_routes(node: &Rc<Node>, from: IpAddr, age_ms: u64, delta: TextDelta, whole: bool) {
    match whole {
        true => put_delta(node, from, age_ms, &delta),
        false => {
            node.news.asked.set(Some(node.now()));
            node.news
                .arriving
                .borrow_mut()
                .begin(from, age_ms, delta.parts);
        }
    }
}

fn take_piece(node: &Rc<Node>, from: IpAddr, bytes: &[u8], last: bool) {
    node.news.asked.set(Some(node.now()));
    let done = node.news.arriving.borrow_mut().piece(from, bytes, last);
    if let Some((age_ms, delta)) = done {
        put_delta(node, from, age_ms, &delta);
    }
}

/// Puts routes in force of which a peer sent what this node lacks.
fn put_delta(node: &Rc<Node>, from: IpAddr, age_ms: u64, delta: &TextDelta) {
    let source = Origin::Peer(from);
    node.news.asked.set(None);
    let text = node.news.text.borrow().newest().apply(delta);
    match text {
        Ok(text) => {
            put_routes_from(node, text, source, age_ms);
        }
        Err(e) => node.trail.note(Event::RoutesRejected {
            version: node.version(),
            source,
            error: clip(&e.to_string()),
        }),
    }
}

/// Asks a peer that knows more, unless another one was asked a moment ago.
fn compare(node: &Node, outbox: &Outbox, routes: u64, servers: u64) {
    let now = node.now();
    let own_routes = node.version();
    let own_servers = node.list.borrow().revision();
    let known = routes <= own_routes && servers <= own_servers;
    let waits = node
        .news
        .asked
        .get()
        .is_some_and(|at| now.since(at) < ASK_MS);
    if known || waits {
        return;
    }
    node.news.asked.set(Some(now));
    outbox.push(Frame::Want {
        routes: own_routes,
        servers: own_servers,
    });
}

/// Asks again for what some peer knows and this node does not.
pub(crate) fn chase(node: &Node) {
    send_next(node);
    let peers = node.peers.borrow();
    let up: Vec<&Rc<Peer>> = peers.values().filter(|p| p.is_up()).collect();
    let routes = node.version();
    let servers = node.list.borrow().revision();
    let ahead = up.into_iter().filter(|peer| {
        let (version, revision) = peer.knows.get();
        version > routes || revision > servers
    });
    let Some(peer) = ahead.choose(&mut rand::rng()) else {
        return;
    };
    let (version, revision) = peer.knows.get();
    compare(node, &peer.outbox(), version, revision);
}

/// Sends a peer what it lacks; long routes go to a few peers at a time.
fn supply(node: &Node, from: IpAddr, outbox: &Rc<Outbox>, routes: u64, servers: u64) {
    if node.version() > routes {
        let outbox = Rc::clone(outbox);
        let version = routes;
        node.news
            .asks
            .borrow_mut()
            .enqueue(from, Ask { outbox, version });
        send_next(node);
    }
    let list = node.list.borrow();
    if list.revision() > servers {
        outbox.push(Frame::Servers {
            revision: list.revision(),
            notes: list.updates_since(servers),
        });
    }
}

/// Sends the routes to those whose turn it is.
pub(crate) fn send_next(node: &Node) {
    let now = node.now();
    loop {
        let next = node.news.asks.borrow_mut().next(now);
        let Some((from, Ask { outbox, version })) = next else {
            return;
        };
        let delta = match node.news.text.borrow().delta(version) {
            Some(delta) if !outbox.is_closed() => delta,
            Some(_) | None => {
                node.news.asks.borrow_mut().finish(from);
                continue;
            }
        };
        let age_ms = node.routes().map_or(0, |p| p.age_ms(now));
        if send_routes(&outbox, age_ms, &delta) {
            node.news.asks.borrow_mut().finish(from);
        }
    }
}

/// Sends routes, and returns whether they were short.
fn send_routes(outbox: &Outbox, age_ms: u64, delta: &TextDelta) -> bool {
    let whole = delta.packed.len() <= PIECE_BYTES;
    let first: &[u8] = if whole { &delta.packed } else { &[] };
    outbox.push(Frame::Routes {
        age_ms,
        parts: delta.parts.clone(),
        packed: ByteBuf::from(first),
        whole,
    });
    if whole {
        return true;
    }
    let count = delta.packed.len().div_ceil(PIECE_BYTES);
    for (i, piece) in delta.packed.chunks(PIECE_BYTES).enumerate() {
        outbox.push(Frame::RoutesPiece {
            bytes: ByteBuf::from(piece),
            last: i + 1 == count,
        });
    }
    false
}

/// Takes in routes from the store; returns whether they are newer than those in force.
pub(crate) fn put_routes(node: &Rc<Node>, text: Vec<u8>) -> bool {
    put_routes_from(node, text, Origin::Store, 0)
}

fn put_routes_from(node: &Rc<Node>, text: Vec<u8>, source: Origin, age_ms: u64) -> bool {
    let set = match parse_config(&text) {
        Ok(set) => set,
        Err(e) => {
            node.trail.note(Event::RoutesRejected {
                version: node.version(),
                source,
                error: clip(&e.to_string()),
            });
            return false;
        }
    };
    let newer = node.apply_routes(RouteTable::new(set), text, source, age_ms);
    if newer {
        apply_list_from(node, source);
        announce_all(node);
    }
    newer
}

fn put_servers(node: &Rc<Node>, revision: u64, notes: Vec<ServerUpdate>, source: Origin) {
    let now = node.now();
    let mut list = node.list.borrow_mut();
    let before = list.revision();
    let mut changed = false;
    for note in notes {
        changed |= list.apply(now, note);
    }
    list.advance(revision);
    let advanced = list.revision() > before;
    drop(list);
    if changed {
        apply_list_from(node, source);
    }
    if advanced && changed {
        announce_all(node);
    }
}

/// Links to the nodes beside these backend servers.
pub(crate) fn meet(node: &Rc<Node>, records: &[ServerRecord]) {
    for peer in node.meet(records) {
        tokio::task::spawn_local(outbound::keep(Rc::clone(node), peer));
    }
}

/// Notes that what this node knows may be used, and who confirmed it.
pub(crate) fn confirm(node: &Rc<Node>, by: &'static str) {
    if node.confirmed.replace(true) {
        return;
    }
    node.trail.note(Event::ListConfirmed {
        by,
        version: node.version(),
        list_revision: node.list.borrow().revision(),
    });
    apply_list_from(node, Origin::Node);
}

/// Takes over a list from the store, and links to the nodes that are new in it.
pub(crate) fn apply_list(node: &Rc<Node>) {
    apply_list_from(node, Origin::Store);
}

/// Takes over a list from `source`, and links to the nodes that are new in it.
pub(crate) fn apply_list_from(node: &Rc<Node>, source: Origin) {
    for peer in node.apply_list(source) {
        tokio::task::spawn_local(outbound::keep(Rc::clone(node), peer));
    }
}
