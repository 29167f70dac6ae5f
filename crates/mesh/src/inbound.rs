//! Links that other nodes open to the gate of this node.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use oriolering::RefusalReason;
use oriolering_http::{ByteReservation, ByteUse, Bytes};
use serde_bytes::ByteBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::frame::{CallId, Frame, Offer, Outcome};
use crate::gate::MEMORY_RETRY_AFTER_MS;
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
    reserved: ByteReservation,
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
            length,
        } => {
            let length = if whole { body.len() } else { length as usize };
            let Some(reserved) = node.budget.reserve(ByteUse::Body, length) else {
                return refuse_for_memory(node, outbox, call);
            };
            let mut request = PartialRequest {
                offer,
                body: body.into_vec(),
                reserved,
            };
            if whole {
                return run_call(node, outbox, calls, call, request);
            }
            request.body.reserve_exact(length);
            calls.partial.borrow_mut().insert(call, request);
        }
        Frame::Piece { call, bytes, last } => {
            let mut partial = calls.partial.borrow_mut();
            if let Some(request) = partial.get_mut(&call) {
                request.body.extend_from_slice(&bytes);
            }
            let done = if last { partial.remove(&call) } else { None };
            drop(partial);
            if let Some(request) = done {
                run_call(node, outbox, calls, call, request);
            }
        }
        Frame::Cancel { call } => {
            calls.partial.borrow_mut().remove(&call);
            outbox.drop_body(call);
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

/// Refuses a request whose body does not fit into memory; its pieces are ignored.
fn refuse_for_memory(node: &Node, outbox: &Outbox, call: CallId) {
    node.budget.record_rejected();
    outbox.push(Frame::Ended {
        call,
        outcome: Outcome::Refused {
            why: RefusalReason::Full,
            retry_after_ms: MEMORY_RETRY_AFTER_MS as u32,
        },
        body: ByteBuf::new(),
        whole: true,
        load: node.gate.load(),
    });
}

/// Runs a request, and reports to the other node how it ended.
fn run_call(
    node: &Rc<Node>,
    outbox: &Rc<Outbox>,
    calls: &Rc<Calls>,
    call: CallId,
    request: PartialRequest,
) {
    let (gate, budget) = (Rc::clone(&node.gate), Rc::clone(&node.budget));
    let (outbox, owner) = (Rc::clone(outbox), Rc::clone(calls));
    let sink = request
        .offer
        .streamed
        .then(|| ResponseSink::link(&outbox, call));
    if let Some(sink) = &sink {
        calls.sinks.borrow_mut().insert(call, Rc::clone(sink));
    }
    let task = tokio::task::spawn_local(async move {
        let PartialRequest {
            offer,
            body,
            reserved,
        } = request;
        let run = Rc::clone(&gate).run(*offer, Bytes::from(body), sink.as_deref());
        let (outcome, body) = run.await;
        drop(reserved);
        owner.running.borrow_mut().remove(&call);
        owner.sinks.borrow_mut().remove(&call);
        let held = budget.hold(body.len());
        match sink {
            Some(sink) => sink.finish(outcome, body, held, gate.load()),
            None => send_ended(&outbox, call, outcome, body, held, gate.load()),
        }
    });
    calls.running.borrow_mut().insert(call, task.abort_handle());
}
