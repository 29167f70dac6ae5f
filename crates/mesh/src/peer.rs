//! The link to the gate of another node, and the calls on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use oriolering::{GateLoad, Millis};
use serde_bytes::ByteBuf;
use tokio::sync::oneshot;

use crate::age::Age;
use crate::frame::{CallId, Frame, Offer, Outcome, PIECE_BYTES};
use crate::outbox::Outbox;
use crate::reply::Reply;

/// How long a link with calls may be silent before it is asked, in milliseconds.
const ASK_BUSY_MS: u64 = 200;
/// How long a link to a peer that watches the store may be silent, in milliseconds: others learn
/// of changes from it.
const ASK_READER_MS: u64 = 1_000;
/// How long the answer may take before the peer is avoided, in milliseconds.
const SUSPECT_MS: u64 = 250;
/// How long the answer may take before the link is given up, in milliseconds.
const GIVE_UP_MS: u64 = 1_200;

struct Waiting {
    sender: oneshot::Sender<Reply>,
    outcome: Option<Outcome>,
    body: Vec<u8>,
}

/// What the silence of a link means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The peer is there as cross_zone as is known.
    Alive,
    /// The peer does not answer for now.
    Suspect,
    /// The link is given up.
    Dead,
}

/// The node beside some backend server, as another node reaches it.
pub(crate) struct Peer {
    /// Where the node listens for other nodes.
    pub(crate) address: SocketAddr,
    outbox: RefCell<Rc<Outbox>>,
    up: Cell<bool>,
    /// Whether the list no longer names it.
    pub(crate) unlisted: Cell<bool>,
    /// Whether it is silent and avoided.
    pub(crate) suspected: Cell<bool>,
    calls: RefCell<HashMap<CallId, Waiting>>,
    numbers: Cell<u64>,
    heard: Cell<Millis>,
    /// When it was heard on the link that it keeps to this node.
    inbound: Cell<Millis>,
    /// Whether its instance is in another availability zone.
    pub(crate) cross_zone: Cell<bool>,
    asked: Cell<Option<Millis>>,
    /// The version of the routes and the revision of the list that it told last.
    pub(crate) knows: Cell<(u64, u64)>,
    /// How long ago the store confirmed that, as cross_zone as it told.
    pub(crate) confirmed: Cell<Option<Age>>,
    /// Whether it told what it knows since its link is up.
    pub(crate) told: Cell<bool>,
    /// Whether it said that it watches the store.
    reading: Cell<bool>,
    /// Whether it ever said so.
    has_read: Cell<bool>,
    /// The rate of its instance's link that it told last, in megabytes a second.
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
            numbers: Cell::new(0),
            heard: Cell::new(now),
            inbound: Cell::new(now),
            cross_zone: Cell::new(false),
            asked: Cell::new(None),
            knows: Cell::new((0, 0)),
            confirmed: Cell::new(None),
            told: Cell::new(false),
            reading: Cell::new(false),
            has_read: Cell::new(false),
            rate: Cell::new(0),
        }
    }

    /// Notes what the peer told of itself.
    pub(crate) fn record_known(
        &self,
        knows: (u64, u64),
        confirmed: Option<Age>,
        reading: bool,
        rate: u32,
    ) {
        self.knows.set(knows);
        self.confirmed.set(confirmed);
        self.told.set(true);
        self.reading.set(reading);
        self.has_read.set(reading || self.has_read.get());
        self.rate.set(rate);
    }

    /// Returns whether the peer is heard and watches the store.
    pub(crate) fn is_reading(&self) -> bool {
        self.up.get() && !self.suspected.get() && self.reading.get()
    }

    /// Returns whether the peer has watched the store, now or before.
    pub(crate) fn has_read(&self) -> bool {
        self.has_read.get()
    }

    /// Returns whether a link is up.
    pub(crate) fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Notes that a link is up, and returns its messages.
    pub(crate) fn open(&self, now: Millis) -> Rc<Outbox> {
        let outbox = Rc::new(Outbox::default());
        *self.outbox.borrow_mut() = Rc::clone(&outbox);
        self.heard.set(now);
        self.asked.set(None);
        self.suspected.set(false);
        self.up.set(true);
        outbox
    }

    /// Notes that the link ended; its calls are lost. Returns how many they are.
    pub(crate) fn close(&self) -> usize {
        self.up.set(false);
        self.told.set(false);
        self.reading.set(false);
        self.outbox.borrow().close();
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        let count = calls.len();
        for waiting in calls.into_values() {
            // The caller may have left, and nobody waits then.
            let _ = waiting.sender.send(Reply::Lost);
        }
        count
    }

    /// Sends a message if a link is up.
    pub(crate) fn push(&self, frame: Frame) {
        if self.up.get() {
            self.outbox.borrow().push(frame);
        }
    }

    /// Returns the messages that wait for the link.
    pub(crate) fn outbox(&self) -> Rc<Outbox> {
        Rc::clone(&self.outbox.borrow())
    }

    /// Notes that the peer was heard, and returns whether it was suspected.
    pub(crate) fn record_received(&self, now: Millis) -> bool {
        self.heard.set(now);
        self.asked.set(None);
        self.suspected.replace(false)
    }

    /// Notes that the peer was heard on the link that it keeps to this node.
    pub(crate) fn record_inbound(&self, now: Millis) {
        self.inbound.set(now);
    }

    /// Returns how long the peer is silent, in milliseconds.
    pub(crate) fn silent_ms(&self, now: Millis) -> u64 {
        now.since(self.heard.get())
    }

    /// Asks a silent peer whether it is there, and returns what its silence means.
    ///
    /// `idle_ms` is how long a link without calls may be silent. What the peer sends on its own
    /// link to this node counts there: one of the two asks, and both know.
    pub(crate) fn check_liveness(&self, now: Millis, idle_ms: u64) -> Liveness {
        if !self.up.get() {
            return Liveness::Alive;
        }
        let Some(asked) = self.asked.get() else {
            if self.is_due(now, idle_ms) {
                self.asked.set(Some(now));
                self.push(Frame::Ping);
            }
            return Liveness::Alive;
        };
        match now.since(asked) {
            waited if waited >= GIVE_UP_MS => {
                self.outbox.borrow().close();
                Liveness::Dead
            }
            waited if waited >= SUSPECT_MS => Liveness::Suspect,
            _ => Liveness::Alive,
        }
    }

    /// Returns whether the peer is silent for so long that it is asked.
    fn is_due(&self, now: Millis, idle_ms: u64) -> bool {
        let heard = self.heard.get();
        if !self.calls.borrow().is_empty() {
            return now.since(heard) >= ASK_BUSY_MS;
        }
        if self.reading.get() {
            return now.since(heard) >= ASK_READER_MS;
        }
        now.since(heard.max(self.inbound.get())) >= idle_ms
    }

    /// Sends a request to the gate, and waits for how it ends there.
    ///
    /// Dropping the future tells the gate that the caller left.
    pub(crate) async fn call(&self, offer: Offer, body: &[u8]) -> Reply {
        if !self.up.get() {
            return Reply::Unlinked;
        }
        let call = CallId(self.numbers.get());
        self.numbers.set(call.0 + 1);
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting {
            sender,
            outcome: None,
            body: Vec::new(),
        };
        self.calls.borrow_mut().insert(call, waiting);
        let guard = Guard { peer: self, call };
        let outbox = Rc::clone(&self.outbox.borrow());
        send_offer(&outbox, call, offer, body);
        let reply = receiver.await.unwrap_or(Reply::Lost);
        drop(guard);
        reply
    }

    /// Takes in how a call ended.
    pub(crate) fn finish_call(&self, call: CallId, outcome: Outcome, body: Vec<u8>, whole: bool) {
        let mut calls = self.calls.borrow_mut();
        if !whole {
            if let Some(waiting) = calls.get_mut(&call) {
                waiting.outcome = Some(outcome);
                waiting.body = body;
            }
            return;
        }
        if let Some(waiting) = calls.remove(&call) {
            // The caller may have left, and nobody waits then.
            let _ = waiting.sender.send(Reply::Ended { outcome, body });
        }
    }

    /// Takes in a piece of an answer's body.
    pub(crate) fn add_piece(&self, call: CallId, bytes: &[u8], last: bool) {
        let mut calls = self.calls.borrow_mut();
        let Some(waiting) = calls.get_mut(&call) else {
            return;
        };
        waiting.body.extend_from_slice(bytes);
        if !last {
            return;
        }
        if let Some(Waiting {
            sender,
            outcome: Some(outcome),
            body,
        }) = calls.remove(&call)
        {
            // The caller may have left, and nobody waits then.
            let _ = sender.send(Reply::Ended { outcome, body });
        }
    }
}

/// A call that is under way; the gate is told when it is dropped before its end.
struct Guard<'a> {
    peer: &'a Peer,
    call: CallId,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let waiting = self.peer.calls.borrow_mut().remove(&self.call);
        if waiting.is_some() {
            self.peer.push(Frame::Cancel { call: self.call });
        }
    }
}

fn send_offer(outbox: &Outbox, call: CallId, offer: Offer, body: &[u8]) {
    let offer = Box::new(offer);
    let whole = body.len() <= PIECE_BYTES;
    let first = if whole { body } else { &[] };
    outbox.push(Frame::Offer {
        call,
        offer,
        body: ByteBuf::from(first),
        whole,
    });
    if !whole {
        send_pieces(outbox, call, body);
    }
}

/// Sends a long body in pieces.
pub(crate) fn send_pieces(outbox: &Outbox, call: CallId, body: &[u8]) {
    let count = body.len().div_ceil(PIECE_BYTES);
    for (i, piece) in body.chunks(PIECE_BYTES).enumerate() {
        outbox.push(Frame::Piece {
            call,
            bytes: ByteBuf::from(piece),
            last: i + 1 == count,
        });
    }
}

/// What a gate told with a message, if it did.
pub(crate) fn gate_load(frame: &Frame) -> Option<GateLoad> {
    match frame {
        Frame::Load(load) | Frame::Ended { load, .. } => Some(*load),
        Frame::Hello { .. }
        | Frame::Offer { .. }
        | Frame::Piece { .. }
        | Frame::Cancel { .. }
        | Frame::Ping
        | Frame::Pong
        | Frame::Known { .. }
        | Frame::Want { .. }
        | Frame::Routes { .. }
        | Frame::RoutesPiece { .. }
        | Frame::Servers { .. }
        | Frame::Suspects { .. } => None,
    }
}
