//! The gate of this node with the calls that wait for its decision.

use std::collections::HashMap;

use oriolering::{Cause, Decision, Gate, GateEvent, Millis, Offer, Refusal, Ticket};
use tokio::sync::oneshot;

/// The word of the gate about a call that waited.
pub(crate) type Word = Result<(), Refusal>;

/// The gate and the calls in its queue.
pub(crate) struct Admission {
    /// The decisions themselves.
    pub(crate) gate: Gate,
    waiting: HashMap<Ticket, oneshot::Sender<Word>>,
}

/// What the gate said to a call that has just come in.
pub(crate) enum Entry {
    /// The call may be dispatched.
    Start(Ticket),
    /// The call waits; the word comes through the channel.
    Wait(Ticket, oneshot::Receiver<Word>),
    /// The call is refused for good.
    Refuse(Refusal),
}

impl Admission {
    /// Wraps a gate.
    pub(crate) fn new(gate: Gate) -> Self {
        Self {
            gate,
            waiting: HashMap::new(),
        }
    }

    /// Offers a call to the gate.
    pub(crate) fn enter(&mut self, now: Millis, offer: Offer) -> Entry {
        let entry = match self.gate.offer(now, offer) {
            Decision::Start(ticket) => Entry::Start(ticket),
            Decision::Refuse(refusal) => Entry::Refuse(refusal),
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                Entry::Wait(ticket, receiver)
            }
        };
        self.pump(now);
        entry
    }

    /// Withdraws a call whose caller has gone.
    pub(crate) fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.gate.cancel(now, ticket);
        self.pump(now);
    }

    /// Passes the gate's events on to the calls that wait for them.
    pub(crate) fn pump(&mut self, now: Millis) {
        while let Some(event) = self.gate.next_event(now) {
            match event {
                GateEvent::Start(ticket) => self.tell(ticket, Ok(())),
                GateEvent::Refuse(ticket, refusal) => self.tell(ticket, Err(refusal)),
            }
        }
    }

    fn tell(&mut self, ticket: Ticket, word: Word) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // A receiver that is gone cancels its ticket through its own guard.
            let _ = sender.send(word);
        }
    }
}

/// The refusal of a call whose channel closed without a word.
pub(crate) const LOST_WORD: Refusal = Refusal {
    cause: Cause::Cancelled,
    retry_after: 0,
};
