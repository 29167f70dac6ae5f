//! The link to the gate of another node, and the calls on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use oriolering::{GateLoad, Millis, StorePosition};
use oriolering_http::{ByteReservation, Bytes};
use serde_bytes::ByteBuf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::age::Age;
use crate::frame::{CallId, Frame, Offer, Outcome, PIECE_BYTES};
use crate::outbox::Outbox;
use crate::reply::Reply;
use crate::segment_reader::{Segment, SegmentReader, StreamedCall};
use crate::stream_budget::StreamBudget;

/// How long a link with calls may be silent before the peer is pinged, in milliseconds.
const PING_BUSY_MS: u64 = 200;
/// How long a link to a peer that watches the store may be silent before the peer is pinged, in
/// milliseconds; other nodes depend on it for changes.
const PING_WATCHER_MS: u64 = 1_000;
/// How long a ping may be unanswered before the peer is avoided, in milliseconds.
const SUSPECT_MS: u64 = 250;
/// How long a ping may be unanswered before the link is closed, in milliseconds.
const CLOSE_MS: u64 = 1_200;

/// A call whose reply has not arrived in full, or whose response has not started.
struct PendingCall {
    sender: oneshot::Sender<CallReply>,
    outcome: Option<Outcome>,
    body: Vec<u8>,
}

/// What arrived for a call.
enum CallReply {
    Whole {
        outcome: Outcome,
        body: Vec<u8>,
    },
    /// The start of a streamed response.
    Streamed {
        outcome: Outcome,
        body: Vec<u8>,
        length: Option<u64>,
        queue: UnboundedReceiver<Segment>,
    },
}

enum Call {
    Pending(PendingCall),
    /// The head has arrived; segments are passed on.
    Streamed(UnboundedSender<Segment>),
}

/// Whether a peer is reachable, judged by the silence of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The peer is reachable, or has no link.
    Alive,
    /// The peer has not answered a ping in time.
    Suspect,
    /// The peer has been silent for too long, and its link is closed.
    Dead,
}

/// A node on the instance of some backend server, as seen by another node.
pub(crate) struct Peer {
    /// The address at which the node accepts links.
    pub(crate) address: SocketAddr,
    outbox: RefCell<Rc<Outbox>>,
    up: Cell<bool>,
    /// Whether the server list no longer contains it.
    pub(crate) unlisted: Cell<bool>,
    /// Whether it is avoided because it has not answered a ping in time.
    pub(crate) suspected: Cell<bool>,
    calls: RefCell<HashMap<CallId, Call>>,
    next_call: Cell<u64>,
    /// When a message last arrived on the link to it.
    received: Cell<Millis>,
    /// When a message last arrived on the link that it opened to this node.
    inbound: Cell<Millis>,
    /// Whether its instance is in another availability zone.
    pub(crate) cross_zone: Cell<bool>,
    /// When it was pinged; none if no ping is unanswered.
    pinged: Cell<Option<Millis>>,
    /// The version of the routes and the position of the server list that it last reported.
    pub(crate) known: Cell<(u64, StorePosition)>,
    /// The age that it reported for the last confirmation of these versions by the store.
    pub(crate) confirmed: Cell<Option<Age>>,
    /// Whether it has reported its versions since its link came up.
    pub(crate) reported: Cell<bool>,
    /// Whether it last reported that it watches the store.
    watching: Cell<bool>,
    /// Whether it ever reported that it watches the store.
    has_watched: Cell<bool>,
    /// The rate of its instance's network link that it last reported, in megabytes per second.
    pub(crate) rate: Cell<u32>,
}

impl Peer {
    /// Returns a peer without a link.
    pub(crate) fn new(address: SocketAddr, now: Millis) -> Self {
        Self {
            address,
            outbox: RefCell::default(),
            up: Cell::new(false),
            unlisted: Cell::new(false),
            suspected: Cell::new(false),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            received: Cell::new(now),
            inbound: Cell::new(now),
            cross_zone: Cell::new(false),
            pinged: Cell::new(None),
            known: Cell::default(),
            confirmed: Cell::new(None),
            reported: Cell::new(false),
            watching: Cell::new(false),
            has_watched: Cell::new(false),
            rate: Cell::new(0),
        }
    }

    /// Records what the peer announced about itself.
    pub(crate) fn record_known(
        &self,
        known: (u64, StorePosition),
        confirmed: Option<Age>,
        watching: bool,
        rate: u32,
    ) {
        self.known.set(known);
        self.confirmed.set(confirmed);
        self.reported.set(true);
        self.watching.set(watching);
        self.has_watched.set(watching || self.has_watched.get());
        self.rate.set(rate);
    }

    /// Returns whether the peer is reachable and watches the store.
    pub(crate) fn is_watching(&self) -> bool {
        self.up.get() && !self.suspected.get() && self.watching.get()
    }

    /// Returns whether the peer watches the store or has watched it before.
    pub(crate) fn has_watched(&self) -> bool {
        self.has_watched.get()
    }

    /// Returns whether a link is up.
    pub(crate) fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Records that a link is up, and returns its send queue.
    pub(crate) fn open(&self, now: Millis) -> Rc<Outbox> {
        let outbox = Rc::new(Outbox::default());
        *self.outbox.borrow_mut() = Rc::clone(&outbox);
        self.received.set(now);
        self.pinged.set(None);
        self.suspected.set(false);
        self.up.set(true);
        outbox
    }

    /// Records that the link has ended, fails its calls, and returns their number.
    pub(crate) fn close(&self) -> usize {
        self.up.set(false);
        self.reported.set(false);
        self.watching.set(false);
        self.outbox.borrow().close();
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        // The calls learn of it because their senders are dropped.
        calls.len()
    }

    /// Sends a message if a link is up.
    pub(crate) fn push(&self, frame: Frame) {
        if self.up.get() {
            self.outbox.borrow().push(frame);
        }
    }

    /// Returns the send queue of the link.
    pub(crate) fn outbox(&self) -> Rc<Outbox> {
        Rc::clone(&self.outbox.borrow())
    }

    /// Records that a message arrived from the peer, and returns whether the peer was suspected.
    pub(crate) fn record_received(&self, now: Millis) -> bool {
        self.received.set(now);
        self.pinged.set(None);
        self.suspected.replace(false)
    }

    /// Records that a message arrived on the link that the peer opened to this node.
    pub(crate) fn record_inbound(&self, now: Millis) {
        self.inbound.set(now);
    }

    /// Returns how long the peer has been silent, in milliseconds.
    pub(crate) fn silent_ms(&self, now: Millis) -> u64 {
        now.since(self.received.get())
    }

    /// Pings the peer when it is silent, and returns whether it is reachable.
    ///
    /// `idle_ms` is how long a link without calls may be silent. For such a link, messages on the
    /// link that the peer opened to this node count too, so that a ping by either node serves both.
    pub(crate) fn check_liveness(&self, now: Millis, idle_ms: u64) -> Liveness {
        if !self.up.get() {
            return Liveness::Alive;
        }
        let Some(pinged) = self.pinged.get() else {
            if self.needs_ping(now, idle_ms) {
                self.pinged.set(Some(now));
                self.push(Frame::Ping);
            }
            return Liveness::Alive;
        };
        match now.since(pinged) {
            waited if waited >= CLOSE_MS => {
                self.outbox.borrow().close();
                Liveness::Dead
            }
            waited if waited >= SUSPECT_MS => Liveness::Suspect,
            _ => Liveness::Alive,
        }
    }

    /// Returns whether the peer has been silent for so long that it should be pinged.
    fn needs_ping(&self, now: Millis, idle_ms: u64) -> bool {
        let received = self.received.get();
        if !self.calls.borrow().is_empty() {
            return now.since(received) >= PING_BUSY_MS;
        }
        if self.watching.get() {
            return now.since(received) >= PING_WATCHER_MS;
        }
        now.since(received.max(self.inbound.get())) >= idle_ms
    }

    /// Sends a request to the gate, and waits for its outcome.
    ///
    /// A response that may be streamed takes its memory from `budget`. Dropping the future, or the
    /// rest of a streamed response, cancels the call at the gate.
    pub(crate) async fn call(
        self: &Rc<Self>,
        offer: Offer,
        body: Bytes,
        budget: &Rc<StreamBudget>,
    ) -> Reply {
        if !self.up.get() {
            return Reply::Unlinked;
        }
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        let pending = PendingCall {
            sender,
            outcome: None,
            body: Vec::new(),
        };
        self.calls.borrow_mut().insert(call, Call::Pending(pending));
        let peer = Rc::clone(self);
        let guard = CallGuard { peer, call };
        let outbox = Rc::clone(&self.outbox.borrow());
        send_offer(&outbox, call, offer, body);
        match receiver.await {
            Ok(CallReply::Whole { outcome, body }) => Reply::Ended {
                outcome,
                body,
                rest: None,
            },
            Ok(CallReply::Streamed {
                outcome,
                body,
                length,
                queue,
            }) => Reply::Ended {
                outcome,
                body,
                rest: Some(SegmentReader::new(length, queue, budget, Box::new(guard))),
            },
            Err(_) => Reply::Lost,
        }
    }

    /// Records the outcome of a call, and completes it if the body is whole.
    pub(crate) fn finish_call(&self, call: CallId, outcome: Outcome, body: Vec<u8>, whole: bool) {
        let mut calls = self.calls.borrow_mut();
        if !whole {
            if let Some(Call::Pending(pending)) = calls.get_mut(&call) {
                pending.outcome = Some(outcome);
                pending.body = body;
            }
            return;
        }
        // A gate that refuses a call does not wait for its body.
        self.outbox.borrow().drop_body(call);
        if let Some(Call::Pending(pending)) = calls.remove(&call) {
            // The caller may have disconnected and dropped the receiver.
            let _ = pending.sender.send(CallReply::Whole { outcome, body });
        }
    }

    /// Records the head and the start of a streamed response of `length` bytes in all.
    pub(crate) fn start_stream(
        &self,
        call: CallId,
        outcome: Outcome,
        body: Vec<u8>,
        length: Option<u64>,
    ) {
        let mut calls = self.calls.borrow_mut();
        let Some(Call::Pending(pending)) = calls.remove(&call) else {
            return;
        };
        let (sender, queue) = unbounded_channel();
        calls.insert(call, Call::Streamed(sender));
        // The caller may have disconnected and dropped the receiver.
        let _ = pending.sender.send(CallReply::Streamed {
            outcome,
            body,
            length,
            queue,
        });
    }

    /// Passes on a segment of a streamed response, or its end.
    pub(crate) fn add_segment(&self, call: CallId, segment: Segment) {
        let mut calls = self.calls.borrow_mut();
        let ended = matches!(segment, Segment::End { .. });
        if let Some(Call::Streamed(sender)) = calls.get(&call) {
            // The caller may have disconnected and dropped the receiver.
            let _ = sender.send(segment);
            if ended {
                calls.remove(&call);
            }
        }
    }

    /// Adds a piece of the body of a response, and completes the call with the last one.
    pub(crate) fn add_piece(&self, call: CallId, bytes: &[u8], last: bool) {
        let mut calls = self.calls.borrow_mut();
        let Some(Call::Pending(pending)) = calls.get_mut(&call) else {
            return;
        };
        pending.body.extend_from_slice(bytes);
        if !last {
            return;
        }
        if let Some(Call::Pending(PendingCall {
            sender,
            outcome: Some(outcome),
            body,
        })) = calls.remove(&call)
        {
            // The caller may have disconnected and dropped the receiver.
            let _ = sender.send(CallReply::Whole { outcome, body });
        }
    }
}

/// Cancels a call at the gate when it is dropped before the call has ended.
struct CallGuard {
    peer: Rc<Peer>,
    call: CallId,
}

impl StreamedCall for CallGuard {
    fn grant(&self, segments: u32) {
        let call = self.call;
        self.peer.push(Frame::Credit { call, segments });
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let pending = self.peer.calls.borrow_mut().remove(&self.call);
        if pending.is_some() {
            self.peer.outbox.borrow().drop_body(self.call);
            self.peer.push(Frame::Cancel { call: self.call });
        }
    }
}

fn send_offer(outbox: &Outbox, call: CallId, offer: Offer, body: Bytes) {
    let offer = Box::new(offer);
    let whole = body.len() <= PIECE_BYTES;
    let first: &[u8] = if whole { &body } else { &[] };
    outbox.push(Frame::Offer {
        call,
        offer,
        body: ByteBuf::from(first),
        whole,
        length: body.len() as u64,
    });
    if !whole {
        outbox.push_body(call, body, None);
    }
}

/// Sends the outcome of a call and the body of a response, for which `held` counts its memory.
pub(crate) fn send_ended(
    outbox: &Outbox,
    call: CallId,
    outcome: Outcome,
    body: Bytes,
    held: ByteReservation,
    load: GateLoad,
) {
    let whole = body.len() <= PIECE_BYTES;
    let first: &[u8] = if whole { &body } else { &[] };
    outbox.push(Frame::Ended {
        call,
        outcome,
        body: ByteBuf::from(first),
        whole,
        load,
    });
    if !whole {
        outbox.push_body(call, body, Some(held));
    }
}

/// Returns the load of the gate that a message carries, if it does.
pub(crate) fn gate_load(frame: &Frame) -> Option<GateLoad> {
    match frame {
        Frame::Load(load) | Frame::Ended { load, .. } | Frame::Head { load, .. } => Some(*load),
        Frame::Hello { .. }
        | Frame::Offer { .. }
        | Frame::Piece { .. }
        | Frame::Cancel { .. }
        | Frame::Segment { .. }
        | Frame::SegmentsEnd { .. }
        | Frame::Credit { .. }
        | Frame::Ping
        | Frame::Pong
        | Frame::Known { .. }
        | Frame::Want { .. }
        | Frame::Routes { .. }
        | Frame::RoutesPiece { .. }
        | Frame::Servers(_)
        | Frame::Suspects { .. } => None,
    }
}
