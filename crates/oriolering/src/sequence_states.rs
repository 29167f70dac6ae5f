//! The states of the sequence numbers of a session, as runs of equal states.

use std::collections::VecDeque;

/// The state of one sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceState {
    Unseen,
    Queued,
    Running,
    Done,
    Fenced,
}

/// Equal states of neighbouring sequence numbers, from the end of the run before.
#[derive(Clone, Copy, Debug)]
struct Run {
    last: u64,
    state: SequenceState,
}

/// The states of all sequence numbers above a floor, kept as at most `bound` runs.
#[derive(Debug, Default)]
pub(crate) struct SequenceStates {
    floor: u64,
    runs: VecDeque<Run>,
}

impl SequenceStates {
    /// Returns the state of `seq`, or `None` when it is at or below the floor.
    pub(crate) fn get(&self, seq: u64) -> Option<SequenceState> {
        if seq <= self.floor {
            return None;
        }
        let run = self.runs.get(self.find(seq));
        Some(run.map_or(SequenceState::Unseen, |run| run.state))
    }

    /// Changes the state of `seq`, and returns whether it stands.
    ///
    /// The floor rises over the oldest runs when there are more than `bound`, which may forget
    /// `seq` itself.
    pub(crate) fn set(&mut self, seq: u64, state: SequenceState, bound: usize) -> bool {
        if seq <= self.floor {
            return false;
        }
        self.extend(seq);
        let index = self.split(seq);
        self.runs[index].state = state;
        self.join(index);
        if index > 0 {
            self.join(index - 1);
        }
        while self.runs.len() > bound {
            self.raise_floor(self.runs[0].last);
        }
        seq > self.floor
    }

    /// Forgets every sequence number up to `floor`.
    pub(crate) fn raise_floor(&mut self, floor: u64) {
        while self.runs.front().is_some_and(|run| run.last <= floor) {
            self.runs.pop_front();
        }
        self.floor = self.floor.max(floor);
    }

    /// Returns the number of runs.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Adds a run of unseen numbers up to `seq` when it is above all others.
    fn extend(&mut self, seq: u64) {
        if self.runs.back().is_none_or(|run| run.last < seq) {
            self.runs.push_back(Run {
                last: seq,
                state: SequenceState::Unseen,
            });
        }
    }

    /// Makes `seq` a run of its own, and returns its index.
    fn split(&mut self, seq: u64) -> usize {
        let index = self.find(seq);
        let run = self.runs[index];
        if run.last > seq {
            self.runs.insert(index, Run { last: seq, ..run });
        }
        if self.first(index) == seq {
            return index;
        }
        let last = seq - 1;
        self.runs.insert(index, Run { last, ..run });
        index + 1
    }

    /// Joins the run at `index` with the next one when their states are equal.
    fn join(&mut self, index: usize) {
        let next = self.runs.get(index + 1);
        if next.is_some_and(|next| next.state == self.runs[index].state) {
            self.runs.remove(index);
        }
    }

    /// Returns the first number of the run at `index`.
    fn first(&self, index: usize) -> u64 {
        match index.checked_sub(1) {
            Some(before) => self.runs[before].last + 1,
            None => self.floor + 1,
        }
    }

    /// Returns the index of the run that holds `seq`.
    fn find(&self, seq: u64) -> usize {
        self.runs.partition_point(|run| run.last < seq)
    }
}
