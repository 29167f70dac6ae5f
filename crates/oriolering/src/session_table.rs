//! The states of the calls of every open session, which make each refusal final.

use std::collections::HashMap;

use crate::sequence_states::{SequenceState, SequenceStates};
use crate::{AttemptStatus, CallId, Cause, Grant, Incarnation};

/// A session and the logical time of its last use.
#[derive(Debug, Default)]
struct Session {
    states: SequenceStates,
    last_used: u64,
}

/// A bounded table of the sessions that a gate opened, with the states of their calls.
///
/// A session keeps the states of its sequence numbers above a floor as at most `max_runs` runs of
/// equal states, so a long call keeps its state while many later calls come and go. Sequence
/// numbers that were acknowledged or fell below the floor, and evicted sessions, are refused
/// for good.
#[derive(Debug)]
pub struct SessionTable {
    gate: Incarnation,
    next_number: u64,
    clock: u64,
    capacity: usize,
    max_runs: usize,
    sessions: HashMap<u64, Session>,
}

impl SessionTable {
    /// Returns an empty table for at most `sessions` sessions with `max_runs` runs of states each.
    ///
    /// A bound of zero is raised to one.
    pub fn new(gate: Incarnation, sessions: u32, max_runs: u32) -> Self {
        Self {
            gate,
            next_number: 1,
            clock: 0,
            capacity: sessions.max(1) as usize,
            max_runs: max_runs.max(1) as usize,
            sessions: HashMap::new(),
        }
    }

    /// Changes the bounds; surplus sessions are evicted by the next [`Self::open`].
    pub fn resize(&mut self, sessions: u32, max_runs: u32) {
        self.capacity = sessions.max(1) as usize;
        self.max_runs = max_runs.max(1) as usize;
    }

    /// Opens a session, and evicts the least recently used ones when there are too many.
    pub fn open(&mut self) -> Grant {
        while self.sessions.len() >= self.capacity {
            self.evict();
        }
        let number = self.next_number;
        self.next_number += 1;
        let session = Session {
            last_used: self.advance_clock(),
            ..Session::default()
        };
        self.sessions.insert(number, session);
        Grant {
            gate: self.gate,
            number,
        }
    }

    /// Records a call as queued, and drops the states of the calls up to `ack`.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Session`] when the session is not open here, and [`Cause::Fenced`] when
    /// the sequence number was used or fenced before, or its state was dropped.
    pub fn admit(&mut self, id: CallId, ack: u64) -> Result<(), Cause> {
        let max_runs = self.max_runs;
        let last_used = self.advance_clock();
        let session = self.session(id.grant).ok_or(Cause::Session)?;
        session.last_used = last_used;
        session.states.raise_floor(ack);
        let unseen = session.states.get(id.seq) == Some(SequenceState::Unseen);
        if !unseen || !session.states.set(id.seq, SequenceState::Queued, max_runs) {
            return Err(Cause::Fenced);
        }
        Ok(())
    }

    /// Records a queued call as dispatched.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Session`] when the session is no longer open, and [`Cause::Fenced`] when
    /// the call is not queued.
    pub fn dispatch(&mut self, id: CallId) -> Result<(), Cause> {
        let max_runs = self.max_runs;
        let session = self.session(id.grant).ok_or(Cause::Session)?;
        let queued = session.states.get(id.seq) == Some(SequenceState::Queued);
        if !queued || !session.states.set(id.seq, SequenceState::Running, max_runs) {
            return Err(Cause::Fenced);
        }
        Ok(())
    }

    /// Fences a call that was refused before its dispatch, so that it is never dispatched.
    pub fn refuse(&mut self, id: CallId) {
        self.transition(id, SequenceState::Queued, SequenceState::Fenced);
    }

    /// Records that a dispatched call has ended.
    pub fn finish(&mut self, id: CallId) {
        self.transition(id, SequenceState::Running, SequenceState::Done);
    }

    /// Fences a dispatched call of which no byte was sent, so that it never runs.
    pub fn undo_dispatch(&mut self, id: CallId) {
        self.transition(id, SequenceState::Running, SequenceState::Fenced);
    }

    /// Returns the state of a call; with `fence`, a call that is not yet dispatched never will be.
    ///
    /// Without `fence`, an unknown call is [`AttemptStatus::Forgotten`].
    pub fn inquire(&mut self, id: CallId, fence: bool) -> AttemptStatus {
        let max_runs = self.max_runs;
        let Some(session) = self.session(id.grant) else {
            return AttemptStatus::Forgotten;
        };
        let Some(state) = session.states.get(id.seq) else {
            return AttemptStatus::Forgotten;
        };
        match (state, fence) {
            (SequenceState::Unseen | SequenceState::Queued, true) => {
                session.states.set(id.seq, SequenceState::Fenced, max_runs);
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

    /// Returns the number of runs of states in all sessions.
    pub fn runs(&self) -> usize {
        self.sessions.values().map(|s| s.states.len()).sum()
    }

    fn advance_clock(&mut self) -> u64 {
        self.clock += 1;
        self.clock
    }

    fn session(&mut self, grant: Grant) -> Option<&mut Session> {
        if grant.gate != self.gate {
            return None;
        }
        self.sessions.get_mut(&grant.number)
    }

    fn transition(&mut self, id: CallId, from: SequenceState, to: SequenceState) {
        let max_runs = self.max_runs;
        let Some(session) = self.session(id.grant) else {
            return;
        };
        if session.states.get(id.seq) == Some(from) {
            session.states.set(id.seq, to, max_runs);
        }
    }

    fn evict(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, s)| s.last_used);
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.sessions.remove(&number);
        }
    }
}
