//! A table of the live calls of a gate, addressed by generational keys.

use crate::server::Run;
use crate::{CallId, Millis, Offer, Refusal};

/// A key to a live call of a gate; it becomes invalid for good when the call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    index: u32,
    generation: u32,
}

/// The progress of a live call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The call waits in the queue.
    Waiting,
    /// The call was refused while it waited, and the event has not been delivered yet.
    Refused(Refusal),
    /// The call holds a slot and has not been dispatched yet.
    Reserved,
    /// The call holds a slot and has been dispatched.
    Running(Run),
}

/// A live call of a gate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) customer: u64,
    pub(crate) deadline: Millis,
    pub(crate) fingerprint: u64,
    pub(crate) phase: Phase,
}

impl Call {
    pub(crate) fn new(offer: Offer) -> Self {
        Self {
            id: offer.id,
            customer: offer.customer,
            deadline: offer.deadline,
            fingerprint: offer.fingerprint,
            phase: Phase::Waiting,
        }
    }
}

/// A generational arena: the generation in a key ensures that an outdated key finds nothing.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    entries: Vec<(u32, Option<Call>)>,
    free: Vec<u32>,
}

impl CallTable {
    pub(crate) fn insert(&mut self, call: Call) -> Ticket {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push((0, None));
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[index as usize];
        entry.1 = Some(call);
        Ticket {
            index,
            generation: entry.0,
        }
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Call> {
        let (generation, call) = self.entries.get(ticket.index as usize)?;
        call.as_ref().filter(|_| *generation == ticket.generation)
    }

    pub(crate) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Call> {
        let (generation, call) = self.entries.get_mut(ticket.index as usize)?;
        call.as_mut().filter(|_| *generation == ticket.generation)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Call> {
        let call = *self.get(ticket)?;
        let entry = &mut self.entries[ticket.index as usize];
        entry.0 = entry.0.wrapping_add(1);
        entry.1 = None;
        self.free.push(ticket.index);
        Some(call)
    }

    /// Returns the distinct fingerprints of the running calls.
    pub(crate) fn fingerprints(&self) -> Vec<u64> {
        let calls = self.entries.iter().filter_map(|(_, call)| call.as_ref());
        let running = calls.filter(|call| match call.phase {
            Phase::Running(_) => call.fingerprint != 0,
            Phase::Waiting | Phase::Refused(_) | Phase::Reserved => false,
        });
        let mut fingerprints: Vec<u64> = running.map(|call| call.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Returns the key of the call with this id if it is waiting.
    pub(crate) fn waiting(&self, id: CallId) -> Option<Ticket> {
        let mut entries = self.entries.iter().enumerate();
        entries.find_map(|(index, (generation, call))| {
            let call = call.as_ref()?;
            let found = call.id == id && call.phase == Phase::Waiting;
            found.then_some(Ticket {
                index: index as u32,
                generation: *generation,
            })
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }
}
