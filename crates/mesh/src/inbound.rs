//! Links that other nodes open to the gate of this node.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use oriolering_http::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::frame::{CallId, Frame, Offer};
use crate::{gossip, link};

use crate::node::Node;
use crate::outbox::Outbox;
use crate::peer::send_ended;
use crate::response_sink::ResponseSink;
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

/// The calls received on one link.
#[derive(Default)]
struct Calls {
    running: RefCell<HashMap<CallId, AbortHandle>>,
    partial: RefCell<HashMap<CallId, PartialRequest>>,
    /// Those whose response may be streamed.
    sinks: RefCell<HashMap<CallId, Rc<ResponseSink>>>,
}

/// A request whose body has not arrived completely.
struct PartialRequest {
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
    if let Err(e) = link::configure(&stream) {
        return node.trail.accept_failed("nodes", &e);
    }
    let from = peer.ip();
    let subscriber = node.gate.subscribe(&outbox);
    gossip::announce(&node, &outbox);
    let on_sent = |kind, len| node.trail.count_sent(subscriber.is_cross_zone(), kind, len);
    let on_frame = |frame| {
        record_activity(&node, from, &subscriber, &frame);
        handle_frame(&node, from, &outbox, &calls, frame);
    };
    let result = link::run(&stream, &outbox, on_sent, on_frame).await;
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

/// Records that the other node is alive, and whether it uses this gate.
fn record_activity(node: &Node, from: IpAddr, subscriber: &Subscriber, frame: &Frame) {
    let now = node.now();
    if let Some(peer) = node.peer_at(from) {
        peer.record_inbound(now);
        subscriber.set_cross_zone(peer.cross_zone.get());
    }
    if matches!(frame, Frame::Offer { .. }) {
        subscriber.record_offer(now);
    }
}

fn handle_frame(
    node: &Rc<Node>,
    from: IpAddr,
    outbox: &Rc<Outbox>,
    calls: &Rc<Calls>,
    frame: Frame,
) {
    match frame {
        Frame::Offer {
            call,
            offer,
            body,
            whole,
        } => match whole {
            true => run_call(node, outbox, calls, call, offer, body.into_vec()),
            false => {
                calls.partial.borrow_mut().insert(
                    call,
                    PartialRequest {
                        offer,
                        body: Vec::new(),
                    },
                );
            }
        },
        Frame::Piece { call, bytes, last } => {
            let mut partial = calls.partial.borrow_mut();
            if let Some(request) = partial.get_mut(&call) {
                request.body.extend_from_slice(&bytes);
            }
            let done = if last { partial.remove(&call) } else { None };
            drop(partial);
            if let Some(PartialRequest { offer, body }) = done {
                run_call(node, outbox, calls, call, offer, body);
            }
        }
        Frame::Cancel { call } => {
            calls.partial.borrow_mut().remove(&call);
            calls.sinks.borrow_mut().remove(&call);
            if let Some(task) = calls.running.borrow_mut().remove(&call) {
                task.abort();
            }
        }
        Frame::Credit { call, segments } => {
            if let Some(sink) = calls.sinks.borrow().get(&call) {
                sink.add_credit(segments);
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
        | Frame::Servers(_) => {
            gossip::handle(node, from, outbox, frame);
        }
        Frame::Pong
        | Frame::Ended { .. }
        | Frame::Head { .. }
        | Frame::Segment { .. }
        | Frame::SegmentsEnd { .. }
        | Frame::Load(_)
        | Frame::Suspects { .. } => {}
    }
}

/// Runs a request, and reports to the other node how it ended.
fn run_call(
    node: &Rc<Node>,
    outbox: &Rc<Outbox>,
    calls: &Rc<Calls>,
    call: CallId,
    offer: Box<Offer>,
    body: Vec<u8>,
) {
    let gate = Rc::clone(&node.gate);
    let (outbox, owner) = (Rc::clone(outbox), Rc::clone(calls));
    let sink = offer.streamed.then(|| ResponseSink::link(&outbox, call));
    if let Some(sink) = &sink {
        calls.sinks.borrow_mut().insert(call, Rc::clone(sink));
    }
    let task = tokio::task::spawn_local(async move {
        let body = Bytes::from(body);
        let run = Rc::clone(&gate).run(*offer, body, sink.as_deref());
        let (outcome, body) = run.await;
        owner.running.borrow_mut().remove(&call);
        owner.sinks.borrow_mut().remove(&call);
        match sink {
            Some(sink) => sink.finish(outcome, body, gate.load()),
            None => send_ended(&outbox, call, outcome, &body, gate.load()),
        }
    });
    calls.running.borrow_mut().insert(call, task.abort_handle());
}
