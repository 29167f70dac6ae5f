//! Links from this node to the gates of other nodes.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use oriolering_http::Bytes;
use rand::Rng;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::frame::Frame;
use crate::{gossip, link};

use crate::node::Node;
use crate::peer::{Liveness, Peer, gate_load};
use crate::segment_reader::Segment;
use crate::trail::{Event, clip};

/// How long a connection to another node may take, in milliseconds.
const CONNECT_MS: u64 = 800;
/// The first wait after a failed connection, in milliseconds.
const BACKOFF_MIN_MS: u64 = 50;
/// The longest wait after failed connections, in milliseconds: well within the time by which a
/// returned machine must be in use again.
const BACKOFF_MAX_MS: u64 = 800;
/// How long a link without calls may be silent before the peer is pinged, in milliseconds.
const IDLE_PING_MS: u64 = 1_000;
/// The most pings per second that a node sends to idle peers.
const MAX_PINGS_PER_S: u64 = 150;
const SECOND_MS: u64 = 1_000;
/// How long the backend servers behind a silent peer are avoided, in milliseconds.
const AVOID_MS: u64 = 400;

/// Keeps a link to a peer open as long as the server list names the peer.
pub(crate) async fn maintain_link(node: Rc<Node>, peer: Rc<Peer>) {
    let mut backoff = BACKOFF_MIN_MS;
    while !peer.unlisted.get() {
        let connect = connect(node.settings.ip, peer.address);
        let within = Duration::from_millis(CONNECT_MS);
        if let Ok(Ok(stream)) = timeout(within, connect).await {
            backoff = BACKOFF_MIN_MS;
            run_link(&node, &peer, stream).await;
        }
        let wait = rand::rng().random_range(backoff / 2..=backoff);
        sleep(Duration::from_millis(wait)).await;
        backoff = (backoff * 2).min(BACKOFF_MAX_MS);
    }
    let mut peers = node.peers.borrow_mut();
    // The address may have been listed again, which creates another peer.
    if peers
        .get(&peer.address)
        .is_some_and(|p| Rc::ptr_eq(p, &peer))
    {
        peers.remove(&peer.address);
    }
    node.trail.note(Event::PeerGone {
        peer: peer.address,
        list_position: node.list.borrow().position(),
    });
}

/// Connects from the address of this node's instance, by which the peer identifies the node.
async fn connect(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

async fn run_link(node: &Rc<Node>, peer: &Rc<Peer>, stream: TcpStream) {
    if let Err(e) = link::configure(&stream) {
        return log_lost(node, peer, &e.to_string(), 0);
    }
    let outbox = peer.open(node.now());
    node.trail.note(Event::PeerUp { peer: peer.address });
    outbox.push(Frame::Hello {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
    });
    gossip::announce(node, &outbox);
    let on_sent = |kind, bytes| node.trail.count_sent(peer.cross_zone.get(), kind, bytes);
    let result = link::run(&stream, &outbox, on_sent, |frame| {
        handle_frame(node, peer, frame)
    })
    .await;
    let calls = peer.close();
    if let Err(e) = result {
        log_lost(node, peer, &e.to_string(), calls);
    }
}

fn log_lost(node: &Node, peer: &Peer, error: &str, calls: usize) {
    node.trail.note(Event::PeerLost {
        peer: peer.address,
        error: clip(error),
        calls: calls as u64,
    });
}

fn handle_frame(node: &Rc<Node>, peer: &Rc<Peer>, frame: Frame) {
    let now = node.now();
    if peer.record_received(now) {
        node.trail.note(Event::PeerCleared { peer: peer.address });
    }
    if let Some(load) = gate_load(&frame) {
        node.server_table
            .borrow_mut()
            .update_peer(peer, |estimate| estimate.update_load(now, load));
    }
    match frame {
        Frame::Ended {
            call,
            outcome,
            body,
            whole,
            ..
        } => {
            peer.finish_call(call, outcome, body.into_vec(), whole);
        }
        Frame::Piece { call, bytes, last } => peer.add_piece(call, &bytes, last),
        Frame::Head {
            call,
            outcome,
            body,
            length,
            ..
        } => peer.start_stream(call, outcome, body.into_vec(), length),
        Frame::Segment { call, bytes, .. } => {
            peer.add_segment(call, Segment::Bytes(Bytes::from(bytes.into_vec())));
        }
        Frame::SegmentsEnd { call, complete } => {
            peer.add_segment(call, Segment::End { complete });
        }
        Frame::Ping => peer.push(Frame::Pong),
        Frame::Suspects { entries, cleared } => node.gate.apply_suspects(&entries, &cleared),
        Frame::Known { .. }
        | Frame::Want { .. }
        | Frame::Routes { .. }
        | Frame::RoutesPiece { .. }
        | Frame::Servers(_) => {
            let outbox = peer.outbox();
            gossip::handle(node, peer.address.ip(), &outbox, frame);
        }
        Frame::Hello { .. }
        | Frame::Offer { .. }
        | Frame::Cancel { .. }
        | Frame::Credit { .. }
        | Frame::Load(_)
        | Frame::Pong => {}
    }
}

/// Returns how long a link without calls may be silent before the peer is pinged, in milliseconds.
///
/// The time grows with the number of peers, so that the pings of a node per second are bounded.
fn idle_ping_ms(peers: usize) -> u64 {
    IDLE_PING_MS.max(peers as u64 * SECOND_MS / MAX_PINGS_PER_S)
}

/// Checks all links for silence: avoids silent peers, and gives up those that stay silent.
pub(crate) fn check_peers(node: &Rc<Node>) {
    let now = node.now();
    let peers: Vec<Rc<Peer>> = node.peers.borrow().values().cloned().collect();
    let idle_ms = idle_ping_ms(peers.len());
    for peer in peers {
        match peer.check_liveness(now, idle_ms) {
            Liveness::Alive => {}
            Liveness::Suspect => {
                if !peer.suspected.replace(true) {
                    let silent_ms = peer.silent_ms(now);
                    let peer = peer.address;
                    node.trail.note(Event::PeerSuspected { peer, silent_ms });
                }
                let until = now + AVOID_MS;
                node.server_table
                    .borrow_mut()
                    .update_peer(&peer, |estimate| estimate.avoid_until = until);
            }
            Liveness::Dead => {
                let silent_ms = peer.silent_ms(now);
                let peer = peer.address;
                node.trail.note(Event::PeerGivenUp { peer, silent_ms });
            }
        }
    }
}
