//! The arena of live calls of a gate.

use crate::{CallId, Millis, Refusal};

/// A key to a live call of a gate; it is never valid again after the call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    index: u32,
    generation: u32,
}

/// How far a live call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits in the queue.
    Waiting,
    /// It was refused while it waited, and its event is still to be given.
    Refused(Refusal),
    /// It holds a slot and is not dispatched yet.
    Reserved,
    /// It holds a slot and was dispatched in this epoch of the limit.
    Running { epoch: u32 },
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

/// An arena whose keys carry a generation, so that an old key finds nothing.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    entries: Vec<(u32, Option<Call>)>,
    free: Vec<u32>,
}

impl Calls {
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

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Call> {
        self.entries.iter().filter_map(|(_, call)| call.as_ref())
    }

    /// Returns the key of the call with this identity while it waits.
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
