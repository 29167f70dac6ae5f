//! The record of every call that an ingress offered, which makes each refusal final.

use std::collections::HashMap;

use crate::sequence_states::{SequenceState, SequenceStates};
use crate::{AttemptStatus, CallId, Cause, Grant, Incarnation};

/// One session, and when it was used last.
#[derive(Debug, Default)]
struct Session {
    states: SequenceStates,
    stamp: u64,
}

/// A bounded record of the calls of every session that a gate opened.
///
/// A session keeps the states of its sequence numbers above a floor as runs of equal states,
/// at most `window` of them. So a call that takes long keeps its record while later ones come
/// and go. Numbers that are acknowledged or run out of the window, and sessions that are
/// evicted, are refused for good.
#[derive(Debug)]
pub struct SessionTable {
    gate: Incarnation,
    next: u64,
    stamp: u64,
    capacity: usize,
    window: usize,
    sessions: HashMap<u64, Session>,
}

impl SessionTable {
    /// Returns an empty ledger for `sessions` sessions of `window` runs of states each.
    ///
    /// Both bounds are raised to one when they are zero.
    pub fn new(gate: Incarnation, sessions: u32, window: u32) -> Self {
        Self {
            gate,
            next: 1,
            stamp: 0,
            capacity: sessions.max(1) as usize,
            window: window.max(1) as usize,
            sessions: HashMap::new(),
        }
    }

    /// Changes the bounds; sessions over the bound are evicted at the next [`Self::open`].
    pub fn resize(&mut self, sessions: u32, window: u32) {
        self.capacity = sessions.max(1) as usize;
        self.window = window.max(1) as usize;
    }

    /// Opens a session, and evicts the ones used least recently when there are too many.
    pub fn open(&mut self) -> Grant {
        while self.sessions.len() >= self.capacity {
            self.evict();
        }
        let number = self.next;
        self.next += 1;
        let session = Session {
            stamp: self.touch(),
            ..Session::default()
        };
        self.sessions.insert(number, session);
        Grant {
            gate: self.gate,
            number,
        }
    }

    /// Records that a call was admitted, and forgets the calls up to `ack`.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Session`] when the session is not open here, and [`Cause::Fenced`]
    /// when the sequence number was used, fenced or forgotten before.
    pub fn admit(&mut self, id: CallId, ack: u64) -> Result<(), Cause> {
        let window = self.window;
        let stamp = self.touch();
        let session = self.session(id.grant).ok_or(Cause::Session)?;
        session.stamp = stamp;
        session.states.raise_floor(ack);
        let unseen = session.states.get(id.seq) == Some(SequenceState::Unseen);
        if !unseen || !session.states.set(id.seq, SequenceState::Queued, window) {
            return Err(Cause::Fenced);
        }
        Ok(())
    }

    /// Sets the mark that an admitted call is dispatched.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Session`] when the session is not open any more, and
    /// [`Cause::Fenced`] when the call is not waiting to be dispatched.
    pub fn dispatch(&mut self, id: CallId) -> Result<(), Cause> {
        let window = self.window;
        let session = self.session(id.grant).ok_or(Cause::Session)?;
        let queued = session.states.get(id.seq) == Some(SequenceState::Queued);
        if !queued || !session.states.set(id.seq, SequenceState::Running, window) {
            return Err(Cause::Fenced);
        }
        Ok(())
    }

    /// Records that a call was refused before it was dispatched, so that it never will be.
    pub fn refuse(&mut self, id: CallId) {
        self.change(id, SequenceState::Queued, SequenceState::Fenced);
    }

    /// Records that the run of a dispatched call has ended.
    pub fn finish(&mut self, id: CallId) {
        self.change(id, SequenceState::Running, SequenceState::Done);
    }

    /// Takes back the mark of a call of which no byte was sent, so that it never runs.
    pub fn undo_dispatch(&mut self, id: CallId) {
        self.change(id, SequenceState::Running, SequenceState::Fenced);
    }

    /// Returns what became of a call; with `fence` a call not yet dispatched never will be.
    ///
    /// Without `fence`, a call that was never seen is [`AttemptStatus::Forgotten`].
    pub fn inquire(&mut self, id: CallId, fence: bool) -> AttemptStatus {
        let window = self.window;
        let Some(session) = self.session(id.grant) else {
            return AttemptStatus::Forgotten;
        };
        let Some(state) = session.states.get(id.seq) else {
            return AttemptStatus::Forgotten;
        };
        match (state, fence) {
            (SequenceState::Unseen | SequenceState::Queued, true) => {
                session.states.set(id.seq, SequenceState::Fenced, window);
                AttemptStatus::Fenced
            }
            (SequenceState::Unseen, false) => AttemptStatus::Forgotten,
            (SequenceState::Queued, false) => AttemptStatus::Queued,
            (SequenceState::Running, _) => AttemptStatus::Running,
            (SequenceState::Done, _) => AttemptStatus::Done,
            (SequenceState::Fenced, _) => AttemptStatus::Fenced,
        }
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of runs of states that the ledger keeps.
    pub fn runs(&self) -> usize {
        self.sessions.values().map(|s| s.states.len()).sum()
    }

    fn touch(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    fn session(&mut self, grant: Grant) -> Option<&mut Session> {
        if grant.gate != self.gate {
            return None;
        }
        self.sessions.get_mut(&grant.number)
    }

    fn change(&mut self, id: CallId, from: SequenceState, to: SequenceState) {
        let window = self.window;
        let Some(session) = self.session(id.grant) else {
            return;
        };
        if session.states.get(id.seq) == Some(from) {
            session.states.set(id.seq, to, window);
        }
    }

    fn evict(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, s)| s.stamp);
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.sessions.remove(&number);
        }
    }
}
