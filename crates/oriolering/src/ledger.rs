//! The record of every call that an ingress offered, which makes each refusal final.

use std::collections::{HashMap, VecDeque};

use crate::{CallId, Cause, Fate, Grant, Incarnation};

/// The state of one sequence number of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unseen,
    Queued,
    Running,
    Done,
    Fenced,
}

/// The sequence numbers above the floor of one session, oldest first.
#[derive(Debug, Default)]
struct Session {
    floor: u64,
    states: VecDeque<State>,
    stamp: u64,
}

impl Session {
    /// Forgets every sequence number up to `floor`.
    fn raise(&mut self, floor: u64) {
        let steps = floor.saturating_sub(self.floor);
        let count = steps.min(self.states.len() as u64) as usize;
        self.states.drain(..count);
        self.floor += steps;
    }

    /// Returns the state of `seq`, or `None` when it is at or below the floor.
    ///
    /// The floor rises when `seq` is more than `window` above it.
    fn state(&mut self, seq: u64, window: u32) -> Option<&mut State> {
        self.raise(seq.saturating_sub(u64::from(window)));
        let index = self.index(seq)?;
        if index >= self.states.len() {
            self.states.resize(index + 1, State::Unseen);
        }
        self.states.get_mut(index)
    }

    /// Returns the state of `seq` when it was seen before.
    fn known(&mut self, seq: u64) -> Option<&mut State> {
        let index = self.index(seq)?;
        self.states.get_mut(index)
    }

    fn index(&self, seq: u64) -> Option<usize> {
        let offset = seq.checked_sub(self.floor)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }
}

/// A bounded record of the calls of every session that a gate opened.
///
/// A session keeps one state for each sequence number between its floor and the highest
/// number seen, at most `window` of them. A number that falls out of the window and a session
/// that is evicted are refused for good.
#[derive(Debug)]
pub struct Ledger {
    gate: Incarnation,
    next: u64,
    stamp: u64,
    capacity: usize,
    window: u32,
    sessions: HashMap<u64, Session>,
}

impl Ledger {
    /// Returns an empty ledger for `sessions` sessions of `window` sequence numbers each.
    ///
    /// Both bounds are raised to one when they are zero.
    pub fn new(gate: Incarnation, sessions: u32, window: u32) -> Self {
        Self {
            gate,
            next: 1,
            stamp: 0,
            capacity: sessions.max(1) as usize,
            window: window.max(1),
            sessions: HashMap::new(),
        }
    }

    /// Changes the bounds; sessions over the bound are evicted at the next [`Self::open`].
    pub fn resize(&mut self, sessions: u32, window: u32) {
        self.capacity = sessions.max(1) as usize;
        self.window = window.max(1);
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
        session.raise(ack);
        let state = session.state(id.seq, window).ok_or(Cause::Fenced)?;
        if *state != State::Unseen {
            return Err(Cause::Fenced);
        }
        *state = State::Queued;
        Ok(())
    }

    /// Sets the mark that an admitted call is dispatched.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Session`] when the session is not open any more, and
    /// [`Cause::Fenced`] when the call is not waiting to be dispatched.
    pub fn dispatch(&mut self, id: CallId) -> Result<(), Cause> {
        let session = self.session(id.grant).ok_or(Cause::Session)?;
        let state = session.known(id.seq).ok_or(Cause::Fenced)?;
        if *state != State::Queued {
            return Err(Cause::Fenced);
        }
        *state = State::Running;
        Ok(())
    }

    /// Records that a call was refused before it was dispatched, so that it never will be.
    pub fn refuse(&mut self, id: CallId) {
        self.change(id, State::Queued, State::Fenced);
    }

    /// Records that the run of a dispatched call has ended.
    pub fn finish(&mut self, id: CallId) {
        self.change(id, State::Running, State::Done);
    }

    /// Takes back the mark of a call of which no byte was sent, so that it never runs.
    pub fn take_back(&mut self, id: CallId) {
        self.change(id, State::Running, State::Fenced);
    }

    /// Returns what became of a call; with `fence` a call not yet dispatched never will be.
    ///
    /// Without `fence`, a call that was never seen is [`Fate::Forgotten`].
    pub fn inquire(&mut self, id: CallId, fence: bool) -> Fate {
        let window = self.window;
        let Some(session) = self.session(id.grant) else {
            return Fate::Forgotten;
        };
        let state = match fence {
            true => session.state(id.seq, window),
            false => session.known(id.seq),
        };
        let Some(state) = state else {
            return Fate::Forgotten;
        };
        match (*state, fence) {
            (State::Unseen | State::Queued, true) => {
                *state = State::Fenced;
                Fate::Fenced
            }
            (State::Unseen, false) => Fate::Forgotten,
            (State::Queued, false) => Fate::Queued,
            (State::Running, _) => Fate::Running,
            (State::Done, _) => Fate::Done,
            (State::Fenced, _) => Fate::Fenced,
        }
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of sequence numbers that the ledger keeps a state for.
    pub fn states(&self) -> usize {
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

    fn change(&mut self, id: CallId, from: State, to: State) {
        let state = self
            .session(id.grant)
            .and_then(|session| session.known(id.seq));
        if let Some(state) = state.filter(|state| **state == from) {
            *state = to;
        }
    }

    fn evict(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, s)| s.stamp);
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.sessions.remove(&number);
        }
    }
}
