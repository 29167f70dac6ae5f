//! The states of the sequence numbers of a session, run-length encoded.

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

/// A run of consecutive sequence numbers in the same state, which starts after the previous run.
#[derive(Clone, Copy, Debug)]
struct Run {
    last: u64,
    state: SequenceState,
}

/// The states of all sequence numbers above a floor, in a bounded number of runs.
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

    /// Sets the state of `seq`, and returns whether `seq` is still above the floor.
    ///
    /// If there are more than `max_runs` runs, the floor is raised over the oldest ones, which may
    /// include `seq` itself.
    pub(crate) fn set(&mut self, seq: u64, state: SequenceState, max_runs: usize) -> bool {
        if seq <= self.floor {
            return false;
        }
        self.extend(seq);
        let index = self.split(seq);
        self.runs[index].state = state;
        self.merge(index);
        if index > 0 {
            self.merge(index - 1);
        }
        while self.runs.len() > max_runs {
            self.raise_floor(self.runs[0].last);
        }
        seq > self.floor
    }

    /// Raises the floor, discarding the states of all sequence numbers up to it.
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

    /// Appends a run of unseen numbers up to `seq` if it is above all runs.
    fn extend(&mut self, seq: u64) {
        if self.runs.back().is_none_or(|run| run.last < seq) {
            self.runs.push_back(Run {
                last: seq,
                state: SequenceState::Unseen,
            });
        }
    }

    /// Splits off `seq` as a run of its own, and returns its index.
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

    /// Merges the run at `index` with the next one if their states are equal.
    fn merge(&mut self, index: usize) {
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

    /// Returns the index of the run that contains `seq`.
    fn find(&self, seq: u64) -> usize {
        self.runs.partition_point(|run| run.last < seq)
    }
}
