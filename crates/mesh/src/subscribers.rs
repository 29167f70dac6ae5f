//! The links over which a gate sends its load to the ingresses of other nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use oriolering::{GateLoad, Millis};

use crate::frame::Frame;
use crate::outbox::Outbox;

/// How long a node in another availability zone is sent load updates after its last offer or
/// after its link came up, in milliseconds. Later it gets the load with the reply to its next
/// offer.
const ACTIVE_MS: u64 = 3_000;

/// A link from another node, over which it receives the load of this gate.
pub(crate) struct Subscriber {
    outbox: Rc<Outbox>,
    /// Whether the node is in another availability zone.
    cross_zone: Cell<bool>,
    /// When the node last offered a request, or when the link was opened.
    last_offer: Cell<Millis>,
}

impl Subscriber {
    /// Returns a subscriber for a new link, whose availability zone is not known yet.
    pub(crate) fn new(outbox: Rc<Outbox>, now: Millis) -> Self {
        Self {
            outbox,
            cross_zone: Cell::new(false),
            last_offer: Cell::new(now),
        }
    }

    /// Records whether the node is in another availability zone.
    pub(crate) fn set_cross_zone(&self, cross_zone: bool) {
        self.cross_zone.set(cross_zone);
    }

    /// Returns whether the node is in another availability zone.
    pub(crate) fn is_cross_zone(&self) -> bool {
        self.cross_zone.get()
    }

    /// Records that the node offered a request.
    pub(crate) fn record_offer(&self, now: Millis) {
        self.last_offer.set(now);
    }

    /// Returns whether the node is likely to use the load. Nodes in the same zone compare all its
    /// backend servers; nodes in other zones need the load only while this zone takes over some
    /// of their requests.
    fn uses_load(&self, now: Millis) -> bool {
        !self.is_cross_zone() || now.since(self.last_offer.get()) < ACTIVE_MS
    }
}

/// The links from other nodes, and the load that was last sent to them.
#[derive(Default)]
pub(crate) struct Subscribers {
    links: RefCell<Vec<Rc<Subscriber>>>,
    sent: Cell<GateLoad>,
}

impl Subscribers {
    /// Adds a link, and sends the load over it.
    pub(crate) fn add(&self, link: Rc<Subscriber>, load: GateLoad) {
        link.outbox.push(Frame::Load(load));
        self.links.borrow_mut().push(link);
    }

    /// Returns the load that was last sent.
    pub(crate) fn last_load(&self) -> GateLoad {
        self.sent.get()
    }

    /// Sends the load to the nodes that use it. A change that all nodes must know, of whether the
    /// gate accepts requests or of its approximate limit, goes to all.
    pub(crate) fn send_load(&self, now: Millis, load: GateLoad) {
        let all = self.sent.replace(load).needs_broadcast(load);
        let selected = |link: &Subscriber| all || link.uses_load(now);
        self.push(&Frame::Load(load), selected);
    }

    /// Sends a message, if there is one, over all open links.
    pub(crate) fn broadcast(&self, frame: Option<Frame>) {
        if let Some(frame) = frame {
            self.push(&frame, |_| true);
        }
    }

    fn push(&self, frame: &Frame, selected: impl Fn(&Subscriber) -> bool) {
        let mut links = self.links.borrow_mut();
        links.retain(|link| !link.outbox.is_closed());
        let receivers = links.iter().filter(|link| selected(link));
        receivers.for_each(|link| link.outbox.push(frame.clone()));
    }
}
