//! Links from other nodes to this gate.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use oriolering_http::Bytes;
use serde_bytes::ByteBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::frame::{CallId, Frame, Offer, PIECE_BYTES};
use crate::{gossip, link};

use crate::node::Node;
use crate::outbox::Outbox;
use crate::peer::send_pieces;
use crate::subscribers::Subscriber;
use crate::trail::{Event, clip};

/// Accepts links until the process ends.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::task::spawn_local(serve(Rc::clone(&node), stream, peer));
            }
            Err(e) => {
                node.trail.accept_failed("nodes", &e);
            }
        }
    }
}

/// The calls of one link.
#[derive(Default)]
struct Calls {
    running: RefCell<HashMap<CallId, AbortHandle>>,
    arriving: RefCell<HashMap<CallId, Arriving>>,
}

/// A request whose body is still arriving.
struct Arriving {
    offer: Box<Offer>,
    body: Vec<u8>,
}

impl Drop for Calls {
    fn drop(&mut self) {
        for task in self.running.borrow().values() {
            task.abort();
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, peer: SocketAddr) {
    let outbox = Rc::new(Outbox::default());
    let calls = Rc::new(Calls::default());
    if let Err(e) = link::prepare(&stream) {
        return node.trail.accept_failed("nodes", &e);
    }
    let from = peer.ip();
    let listener = node.gate.subscribe(&outbox);
    gossip::announce(&node, &outbox);
    let sent = |kind, bytes| node.trail.count_sent(listener.is_cross_zone(), kind, bytes);
    let take = |frame| {
        note_heard(&node, from, &listener, &frame);
        take(&node, from, &outbox, &calls, frame);
    };
    let result = link::run(&stream, &outbox, sent, take).await;
    outbox.close();
    let running = std::mem::take(&mut *calls.running.borrow_mut());
    let calls = running.len() as u64;
    running.into_values().for_each(|task| task.abort());
    if let Err(e) = result {
        node.trail.note(Event::NodeUnlinked {
            peer: from,
            error: clip(&e.to_string()),
            calls,
        });
    }
}

/// Notes that another node is there, and whether it uses this gate.
fn note_heard(node: &Node, from: IpAddr, listener: &Subscriber, frame: &Frame) {
    let now = node.now();
    if let Some(peer) = node.peer_at(from) {
        peer.record_inbound(now);
        listener.set_cross_zone(peer.cross_zone.get());
    }
    if matches!(frame, Frame::Offer { .. }) {
        listener.record_offer(now);
    }
}

fn take(node: &Rc<Node>, from: IpAddr, outbox: &Rc<Outbox>, calls: &Rc<Calls>, frame: Frame) {
    match frame {
        Frame::Offer {
            call,
            offer,
            body,
            whole,
        } => match whole {
            true => start(node, outbox, calls, call, offer, body.into_vec()),
            false => {
                calls.arriving.borrow_mut().insert(
                    call,
                    Arriving {
                        offer,
                        body: Vec::new(),
                    },
                );
            }
        },
        Frame::Piece { call, bytes, last } => {
            let mut arriving = calls.arriving.borrow_mut();
            if let Some(request) = arriving.get_mut(&call) {
                request.body.extend_from_slice(&bytes);
            }
            let done = if last { arriving.remove(&call) } else { None };
            drop(arriving);
            if let Some(Arriving { offer, body }) = done {
                start(node, outbox, calls, call, offer, body);
            }
        }
        Frame::Cancel { call } => {
            calls.arriving.borrow_mut().remove(&call);
            if let Some(task) = calls.running.borrow_mut().remove(&call) {
                task.abort();
            }
        }
        Frame::Ping => outbox.push(Frame::Pong),
        Frame::Hello {
            node: name,
            incarnation,
        } => {
            node.trail.note(Event::NodeLinked {
                peer: from,
                name: clip(&name),
                incarnation,
            });
        }
        Frame::Known { .. }
        | Frame::Want { .. }
        | Frame::Routes { .. }
        | Frame::RoutesPiece { .. }
        | Frame::Servers { .. } => {
            gossip::handle(node, from, outbox, frame);
        }
        Frame::Pong | Frame::Ended { .. } | Frame::Load(_) | Frame::Suspects { .. } => {}
    }
}

/// Runs a request, and tells the other node how it ended.
fn start(
    node: &Rc<Node>,
    outbox: &Rc<Outbox>,
    calls: &Rc<Calls>,
    call: CallId,
    offer: Box<Offer>,
    body: Vec<u8>,
) {
    let gate = Rc::clone(&node.gate);
    let (outbox, ended) = (Rc::clone(outbox), Rc::clone(calls));
    let task = tokio::task::spawn_local(async move {
        let (outcome, body) = Rc::clone(&gate).run(*offer, Bytes::from(body)).await;
        ended.running.borrow_mut().remove(&call);
        let whole = body.len() <= PIECE_BYTES;
        let first: &[u8] = if whole { &body } else { &[] };
        outbox.push(Frame::Ended {
            call,
            outcome,
            body: ByteBuf::from(first),
            whole,
            load: gate.load(),
        });
        if !whole {
            send_pieces(&outbox, call, &body);
        }
    });
    calls.running.borrow_mut().insert(call, task.abort_handle());
}
