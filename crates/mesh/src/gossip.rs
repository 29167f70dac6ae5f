//! Exchanges the routes and the server list between nodes.
//!
//! A node announces the versions that it knows, and a peer with older ones requests what it lacks.
//! So a node that the store rejects, or that starts while the store is unavailable, is updated by
//! its peers.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use oriolering::{
    FanOut, ListUpdate, Millis, RouteTable, ServerRecord, StorePosition, StoreReturn, TextDelta,
};
use oriolering_platform::parse_config;
use rand::seq::IteratorRandom;
use serde_bytes::ByteBuf;

use crate::age::Age;
use crate::frame::{Frame, PIECE_BYTES};
use crate::node::Node;
use crate::outbound;
use crate::outbox::Outbox;
use crate::peer::Peer;
use crate::routes_text::{PartialDeltas, RoutesText};
use crate::trail::{Event, Origin, clip};

/// How long a peer may take to answer a request, or to send the next piece, before another peer
/// is asked, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 150;

/// A queued request of a peer for routes.
struct RoutesRequest {
    outbox: Rc<Outbox>,
    /// The version that the peer has.
    version: u64,
}

/// The state of a node's exchange with its peers.
#[derive(Default)]
pub(crate) struct Gossip {
    /// When a peer was last asked or last sent a piece; none when no request is pending.
    requested: Cell<Option<Millis>>,
    /// The published text of the routes.
    pub(crate) text: RefCell<RoutesText>,
    partial: RefCell<PartialDeltas>,
    queue: RefCell<FanOut<IpAddr, RoutesRequest>>,
}

/// Sends one peer the versions that this node knows.
pub(crate) fn announce(node: &Node, outbox: &Outbox) {
    outbox.push(known(node));
}

/// Sends all peers the versions that this node knows, after a change.
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
        servers: node.list.borrow().position(),
        age_ms: node.confirmed_age(now),
        watching: node.watching.get(),
        rate: node.rate(),
    }
}

/// Records whether this node watches the store, and announces a change to all peers.
pub(crate) fn set_watching(node: &Node, watching: bool) {
    if node.watching.replace(watching) != watching {
        node.trail.note(Event::WatchChanged {
            reading: watching,
            readers: node.watchers() as u64,
            list_position: node.list.borrow().position(),
        });
        announce_all(node);
    }
}

/// Handles an announcement, a request or an update from a peer.
pub(crate) fn handle(node: &Rc<Node>, from: IpAddr, outbox: &Rc<Outbox>, frame: Frame) {
    match frame {
        Frame::Known {
            routes,
            servers,
            age_ms,
            watching,
            rate,
        } => {
            if let Some(peer) = node.peer_at(from) {
                let now = node.now();
                let confirmed = age_ms.map(|ms| Age::new(now, ms));
                peer.record_known((routes, servers), confirmed, watching, rate);
            }
            if routes >= node.version() {
                node.gossip.queue.borrow_mut().finish(from);
                send_queued(node);
            }
            request_newer(node, outbox, routes, servers);
        }
        Frame::Want { routes, servers } => send_missing(node, from, outbox, routes, servers),
        Frame::Routes {
            age_ms,
            parts,
            packed,
            whole,
        } => {
            let packed = packed.into_vec();
            receive_routes(node, from, age_ms, TextDelta { parts, packed }, whole);
        }
        Frame::RoutesPiece { bytes, last } => receive_piece(node, from, &bytes, last),
        Frame::Servers(update) => {
            node.gossip.requested.set(None);
            apply_servers(node, update, Origin::Peer(from));
        }
        Frame::Hello { .. }
        | Frame::Offer { .. }
        | Frame::Piece { .. }
        | Frame::Cancel { .. }
        | Frame::Ended { .. }
        | Frame::Head { .. }
        | Frame::Segment { .. }
        | Frame::SegmentsEnd { .. }
        | Frame::Credit { .. }
        | Frame::Load(_)
        | Frame::Suspects { .. }
        | Frame::Ping
        | Frame::Pong => {}
    }
}

fn receive_routes(node: &Rc<Node>, from: IpAddr, age_ms: u64, delta: TextDelta, whole: bool) {
    match whole {
        true => apply_delta(node, from, age_ms, &delta),
        false => {
            node.gossip.requested.set(Some(node.now()));
            node.gossip
                .partial
                .borrow_mut()
                .begin(from, age_ms, delta.parts);
        }
    }
}

fn receive_piece(node: &Rc<Node>, from: IpAddr, bytes: &[u8], last: bool) {
    node.gossip.requested.set(Some(node.now()));
    let done = node
        .gossip
        .partial
        .borrow_mut()
        .add_piece(from, bytes, last);
    if let Some((age_ms, delta)) = done {
        apply_delta(node, from, age_ms, &delta);
    }
}

/// Applies a delta of the routes from a peer.
fn apply_delta(node: &Rc<Node>, from: IpAddr, age_ms: u64, delta: &TextDelta) {
    let source = Origin::Peer(from);
    node.gossip.requested.set(None);
    let text = node.gossip.text.borrow().newest().apply(delta);
    match text {
        Ok(text) => {
            apply_routes_from(node, text, source, age_ms);
        }
        Err(e) => node.trail.note(Event::RoutesRejected {
            version: node.version(),
            source,
            error: clip(&e.to_string()),
        }),
    }
}

/// Requests newer versions from a peer that has them, unless a request is pending.
fn request_newer(node: &Node, outbox: &Outbox, routes: u64, servers: StorePosition) {
    let now = node.now();
    let own_routes = node.version();
    let own_servers = node.list.borrow().position();
    let up_to_date = routes <= own_routes && servers <= own_servers;
    let pending = node
        .gossip
        .requested
        .get()
        .is_some_and(|at| now.since(at) < REQUEST_TIMEOUT_MS);
    if up_to_date || pending {
        return;
    }
    node.gossip.requested.set(Some(now));
    outbox.push(Frame::Want {
        routes: own_routes,
        servers: own_servers,
    });
}

/// Requests what this node lacks from a random peer that has it, and sends queued routes.
pub(crate) fn request_missing(node: &Node) {
    send_queued(node);
    let peers = node.peers.borrow();
    let up: Vec<&Rc<Peer>> = peers.values().filter(|p| p.is_up()).collect();
    let routes = node.version();
    let servers = node.list.borrow().position();
    let ahead = up.into_iter().filter(|peer| {
        let (version, position) = peer.known.get();
        version > routes || position > servers
    });
    let Some(peer) = ahead.choose(&mut rand::rng()) else {
        return;
    };
    let (version, position) = peer.known.get();
    request_newer(node, &peer.outbox(), version, position);
}

/// Sends a peer what it lacks; routes are sent to a few peers at a time.
fn send_missing(
    node: &Node,
    from: IpAddr,
    outbox: &Rc<Outbox>,
    routes: u64,
    servers: StorePosition,
) {
    if node.version() > routes {
        let outbox = Rc::clone(outbox);
        let version = routes;
        node.gossip
            .queue
            .borrow_mut()
            .enqueue(from, RoutesRequest { outbox, version });
        send_queued(node);
    }
    let list = node.list.borrow();
    if list.position() > servers {
        outbox.push(Frame::Servers(list.updates_since(node.now(), servers)));
    }
}

/// Sends the routes to the peers that are next in the queue.
pub(crate) fn send_queued(node: &Node) {
    let now = node.now();
    loop {
        let next = node.gossip.queue.borrow_mut().next(now);
        let Some((from, RoutesRequest { outbox, version })) = next else {
            return;
        };
        let delta = match node.gossip.text.borrow().delta(version) {
            Some(delta) if !outbox.is_closed() => delta,
            Some(_) | None => {
                node.gossip.queue.borrow_mut().finish(from);
                continue;
            }
        };
        let age_ms = node.routes().map_or(0, |p| p.age_ms(now));
        if send_routes(&outbox, age_ms, &delta) {
            node.gossip.queue.borrow_mut().finish(from);
        }
    }
}

/// Sends a delta of the routes, and returns whether it fitted into one message.
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

/// Applies routes from the store, and returns whether they were newer than the current ones.
pub(crate) fn apply_routes(node: &Rc<Node>, text: Vec<u8>) -> bool {
    apply_routes_from(node, text, Origin::Store, 0)
}

fn apply_routes_from(node: &Rc<Node>, text: Vec<u8>, source: Origin, age_ms: u64) -> bool {
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

/// Applies what the server list of a peer has.
fn apply_servers(node: &Rc<Node>, update: ListUpdate, source: Origin) {
    let now = node.now();
    let mut list = node.list.borrow_mut();
    let (before, changes) = (list.position(), list.changes());
    let returned = list.merge(now, update);
    let advanced = list.position() > before;
    let changed = list.changes() != changes;
    drop(list);
    if let Some(returned) = returned {
        note_return(node, returned, source);
    }
    if changed {
        apply_list_from(node, source);
    }
    if advanced && changed {
        announce_all(node);
    }
}

/// Logs that the store came back from a copy, and what became of the list.
pub(crate) fn note_return(node: &Node, returned: StoreReturn, source: Origin) {
    node.trail.note(Event::StoreReturned {
        before: returned.before,
        after: returned.after,
        kept: returned.kept as u64,
        withheld: returned.withheld as u64,
        dropped: returned.dropped as u64,
        source,
    });
}

/// Opens links to the nodes on the instances of these backend servers.
pub(crate) fn add_peers(node: &Rc<Node>, records: &[ServerRecord]) {
    for peer in node.add_peers(records) {
        tokio::task::spawn_local(outbound::maintain_link(Rc::clone(node), peer));
    }
}

/// Records that the state of this node is confirmed and may be used, and who confirmed it.
pub(crate) fn confirm(node: &Rc<Node>, by: &'static str) {
    if node.confirmed.replace(true) {
        return;
    }
    node.trail.note(Event::ListConfirmed {
        by,
        version: node.version(),
        list_position: node.list.borrow().position(),
    });
    apply_list_from(node, Origin::Node);
}

/// Applies the server list from the store, and opens links to nodes that are new in it.
pub(crate) fn apply_list(node: &Rc<Node>) {
    apply_list_from(node, Origin::Store);
}

/// Applies the server list from `source`, and opens links to nodes that are new in it.
pub(crate) fn apply_list_from(node: &Rc<Node>, source: Origin) {
    for peer in node.apply_list(source) {
        tokio::task::spawn_local(outbound::maintain_link(Rc::clone(node), peer));
    }
}
