//! Calls that wait at a gate: their place in the queue, their turn and their refusal.

use super::Gate;
use crate::call_table::{Call, Phase};
use crate::fair_queue::PushResult;
use crate::{Cause, Decision, GateEvent, Millis, Offer, Refusal, Ticket};

impl Gate {
    /// Returns the next change of a waiting call.
    ///
    /// It is called until it returns `None` after each other change and at [`Self::next_wake`].
    pub fn next_event(&mut self, now: Millis) -> Option<GateEvent> {
        self.observe(now);
        if let Some(ticket) = self.queue.expire(now) {
            self.expire(now, ticket);
        }
        while let Some(ticket) = self.refused.pop_front() {
            let phase = self.calls.get(ticket).map(|call| call.phase);
            if let Some(Phase::Refused(refusal)) = phase {
                self.calls.remove(ticket);
                return Some(GateEvent::Refuse(ticket, refusal));
            }
        }
        self.server.prune(now);
        if !self.has_slot(now) {
            return None;
        }
        let ticket = self.queue.pop(|customer| self.server.slots_of(customer))?;
        self.reserve(ticket);
        Some(GateEvent::Start(ticket))
    }

    /// Returns when [`Self::next_event`] is to be called if nothing changes before.
    pub fn next_wake(&self) -> Option<Millis> {
        if !self.refused.is_empty() {
            return Some(self.now);
        }
        let expiry = self.queue.next_expiry()?;
        let settled = self.pause.settling_until(self.now);
        let slot = settled.or(self.server.next_free_slot(self.now));
        Some(slot.map_or(expiry, |at| at.min(expiry)))
    }

    /// Finds a slot or a place in the queue for an admitted call.
    pub(super) fn place(&mut self, now: Millis, offer: Offer) -> Decision {
        if self.is_leaving() {
            return Decision::Refuse(self.refusal(now, Cause::Leaving));
        }
        if offer.deadline <= now {
            return Decision::Refuse(self.refusal(now, Cause::Deadline));
        }
        let call = Call::new(offer);
        if self.queue.is_empty() && self.has_slot(now) {
            let ticket = self.calls.insert(call);
            self.reserve(ticket);
            return Decision::Start(ticket);
        }
        if self.refused.len() >= self.settings.queue_length as usize {
            return Decision::Refuse(self.refusal(now, Cause::Full));
        }
        self.enqueue(now, call)
    }

    fn enqueue(&mut self, now: Millis, call: Call) -> Decision {
        let latest = Millis(call.deadline.0.saturating_sub(self.server.service_ms()));
        let start = now + self.server.drain_ms(now, self.queue.ahead(call.customer));
        if start >= latest {
            return Decision::Refuse(self.refusal(now, Cause::Deadline));
        }
        let expires = latest.min(now + self.settings.queue_wait_ms);
        if start > expires {
            return Decision::Refuse(self.refusal(now, Cause::Full));
        }
        let ticket = self.calls.insert(call);
        let cause = match self.queue.push(ticket, call.customer, expires) {
            PushResult::Queued => return Decision::Wait(ticket),
            PushResult::Evicted(victim) => {
                self.refuse(victim, self.refusal(now, Cause::Share));
                return Decision::Wait(ticket);
            }
            PushResult::Full => Cause::Full,
            PushResult::Share => Cause::Share,
        };
        self.calls.remove(ticket);
        Decision::Refuse(self.refusal(now, cause))
    }

    fn expire(&mut self, now: Millis, ticket: Ticket) {
        let finish = now + self.server.service_ms();
        let call = self.calls.get(ticket);
        let late = call.is_some_and(|call| call.deadline <= finish);
        let cause = match late {
            true => Cause::Deadline,
            false => Cause::Full,
        };
        self.refuse(ticket, self.refusal(now, cause));
    }

    /// Refuses a call that left the queue; its event follows.
    pub(super) fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if let Some(call) = self.calls.get_mut(ticket) {
            call.phase = Phase::Refused(refusal);
            self.sessions.refuse(call.id);
            self.refused.push_back(ticket);
        }
    }
}
