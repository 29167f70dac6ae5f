//! The hold of one call on the gate, given back whatever happens to the call.

use std::sync::Arc;

use oriolering::{Finish, Offer, Refusal, Ticket};

use crate::admission::{Entry, LOST_WORD};
use crate::state::Node;

/// A call that the gate has admitted; dropping it withdraws the call.
pub(crate) struct Permit {
    node: Arc<Node>,
    ticket: Ticket,
    settled: bool,
}

impl Permit {
    /// Offers a call to the gate and waits for its word.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the gate, which is final.
    pub(crate) async fn enter(node: &Arc<Node>, offer: Offer) -> Result<Self, Refusal> {
        let now = node.clock.now();
        let entry = node.admission.lock().enter(now, offer);
        let (ticket, word) = match entry {
            Entry::Start(ticket) => (ticket, None),
            Entry::Wait(ticket, word) => {
                node.queued.notify_one();
                (ticket, Some(word))
            }
            Entry::Refuse(refusal) => return Err(refusal),
        };
        let mut permit = Self {
            node: Arc::clone(node),
            ticket,
            settled: false,
        };
        let Some(word) = word else { return Ok(permit) };
        match word.await.unwrap_or(Err(LOST_WORD)) {
            Ok(()) => Ok(permit),
            Err(refusal) => {
                permit.settled = true;
                Err(refusal)
            }
        }
    }

    /// Marks the call as dispatched; from here on it may have run.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the call was fenced, or its deadline passed, in the meantime.
    pub(crate) fn dispatch(&mut self) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        let mut admission = self.node.admission.lock();
        let word = admission.gate.dispatch(now, self.ticket);
        self.settled = word.is_err();
        admission.pump(now);
        word
    }

    /// Ends the call and frees its slot.
    pub(crate) fn finish(mut self, finish: Finish) {
        self.settled = true;
        let now = self.node.clock.now();
        let mut admission = self.node.admission.lock();
        admission.gate.finish(now, self.ticket, finish);
        admission.pump(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let now = self.node.clock.now();
        self.node.admission.lock().cancel(now, self.ticket);
    }
}
