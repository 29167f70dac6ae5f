//! The links over which a gate tells ingresses of itself.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use oriolering::{GateLoad, Millis};

use crate::frame::Frame;
use crate::outbox::Outbox;

/// How long after its last offer, and after its link is up, a node of another availability zone
/// is told the load unasked, in milliseconds; with its next offer it learns it anew.
const USED_MS: u64 = 3_000;

/// A link from another node.
pub(crate) struct Subscriber {
    outbox: Rc<Outbox>,
    /// Whether the node is in another availability zone.
    cross_zone: Cell<bool>,
    /// When it offered a request last, or linked.
    offered: Cell<Millis>,
}

impl Subscriber {
    /// Returns a link from a node of which nothing is known yet.
    pub(crate) fn new(outbox: Rc<Outbox>, now: Millis) -> Self {
        Self {
            outbox,
            cross_zone: Cell::new(false),
            offered: Cell::new(now),
        }
    }

    /// Notes whether the node is in another availability zone.
    pub(crate) fn set_cross_zone(&self, cross_zone: bool) {
        self.cross_zone.set(cross_zone);
    }

    /// Returns whether the node is in another availability zone.
    pub(crate) fn is_cross_zone(&self) -> bool {
        self.cross_zone.get()
    }

    /// Notes that the node offered a request.
    pub(crate) fn record_offer(&self, now: Millis) {
        self.offered.set(now);
    }

    /// Returns whether the node is likely to use the load: those of the same zone weigh all
    /// backend servers of it, the others are in use only while this zone takes what they lack.
    fn uses_load(&self, now: Millis) -> bool {
        !self.is_cross_zone() || now.since(self.offered.get()) < USED_MS
    }
}

/// The links from other nodes, and the load that they were told last.
#[derive(Default)]
pub(crate) struct Subscribers {
    links: RefCell<Vec<Rc<Subscriber>>>,
    told: Cell<GateLoad>,
}

impl Subscribers {
    /// Adds a link, and tells the load over it.
    pub(crate) fn add(&self, link: Rc<Subscriber>, load: GateLoad) {
        link.outbox.push(Frame::Load(load));
        self.links.borrow_mut().push(link);
    }

    /// Returns the load that was told last.
    pub(crate) fn last_load(&self) -> GateLoad {
        self.told.get()
    }

    /// Tells the load to those who use it, and to all whether the gate takes requests, and by
    /// about which limit.
    pub(crate) fn send_load(&self, now: Millis, load: GateLoad) {
        let turned = self.told.replace(load).needs_broadcast(load);
        let uses = |link: &Subscriber| turned || link.uses_load(now);
        self.push(&Frame::Load(load), uses);
    }

    /// Sends a message, if there is one, over all links that are still up.
    pub(crate) fn broadcast(&self, frame: Option<Frame>) {
        if let Some(frame) = frame {
            self.push(&frame, |_| true);
        }
    }

    fn push(&self, frame: &Frame, gets: impl Fn(&Subscriber) -> bool) {
        let mut links = self.links.borrow_mut();
        links.retain(|link| !link.outbox.is_closed());
        let wanting = links.iter().filter(|link| gets(link));
        wanting.for_each(|link| link.outbox.push(frame.clone()));
    }
}
