//! The lines that wait to be written: bounded, and never waited for.
//!
//! Whoever writes a line copies it into memory and goes on. A thread writes the lines to the
//! output, so that one that nobody reads holds up that thread alone. What exceeds the budget of
//! a second, or the memory, is dropped and counted.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::Rank;

/// The lines that a node writes in a second at most; with [`BYTES_PER_S`] well under a
/// hundredth of the processor time and of the link of the smallest documented instance.
const LINES_PER_S: u32 = 400;
/// The bytes that a node writes in a second at most: the lines at a usual length of 320 bytes.
const BYTES_PER_S: usize = 128 * 1024;
/// The bytes that wait at most: two seconds of the budget.
const QUEUE_BYTES: usize = 2 * BYTES_PER_S;
/// How long the end of the process waits for the output to take the last lines.
const FINISH_WAIT: Duration = Duration::from_millis(200);
/// The bytes that go to the output at once at most. A pipe takes so much as a whole, so that
/// lines of several processes on one pipe do not mix.
const WRITE_BYTES: usize = 4_096;
/// The stack of the writing thread, in bytes; it calls nothing deep.
const STACK_BYTES: usize = 64 * 1024;

/// The lines that were dropped since they were told last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines on requests that went well.
    pub successes: u64,
    /// Lines on requests that did not.
    pub failures: u64,
    /// Lines on changes of the node's state.
    pub changes: u64,
    /// How many of all these were dropped since the output did not take the ones before.
    pub queue_full: u64,
}

impl DroppedLines {
    /// Returns the number of lines.
    pub fn lines(self) -> u64 {
        self.successes + self.failures + self.changes
    }

    fn count(&mut self, rank: Rank) {
        match rank {
            Rank::Success => self.successes += 1,
            Rank::Failure => self.failures += 1,
            Rank::Change | Rank::Trouble => self.changes += 1,
        }
    }
}

/// What was written in the current second.
#[derive(Default)]
struct Quota {
    lines: u32,
    bytes: usize,
}

impl Quota {
    /// Returns whether a line of this rank may still be written in this second.
    ///
    /// Successes take half of the budget at most and failures seven eighths, so that a flood of
    /// one rank leaves room for the ranks above it.
    fn allows(&self, rank: Rank) -> bool {
        let eighths = match rank {
            Rank::Success => 4,
            Rank::Failure => 7,
            Rank::Change | Rank::Trouble => 8,
        };
        self.lines < LINES_PER_S * eighths / 8 && self.bytes < BYTES_PER_S * eighths as usize / 8
    }

    fn spend(&mut self, bytes: usize) {
        self.lines += 1;
        self.bytes += bytes;
    }
}

struct State {
    waiting: Vec<u8>,
    quota: Quota,
    dropped: DroppedLines,
    /// Whether more than successes wait.
    urgent: bool,
    /// Whether the thread is to write what waits.
    due: bool,
    /// Whether the thread is writing.
    busy: bool,
}

struct Shared {
    state: Mutex<State>,
    due: Condvar,
    idle: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The lines of a process on their way to its output.
#[derive(Clone)]
pub struct LogWriter(Arc<Shared>);

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the system refuses the thread.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let state = State {
            waiting: Vec::new(),
            quota: Quota::default(),
            dropped: DroppedLines::default(),
            urgent: false,
            due: false,
            busy: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            due: Condvar::new(),
            idle: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("lines".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write(&writer, out))?;
        Ok(Self(shared))
    }

    /// Returns whether a line of this rank may be written now; counts it as dropped if not.
    pub fn allows(&self, rank: Rank) -> bool {
        let mut state = self.0.lock();
        let allowed = state.quota.allows(rank);
        if !allowed {
            state.dropped.count(rank);
        }
        allowed
    }

    /// Adds a line with its line feed, or counts it as dropped.
    pub fn push(&self, rank: Rank, line: &[u8]) {
        let mut state = self.0.lock();
        if state.waiting.len() + line.len() > QUEUE_BYTES {
            state.dropped.count(rank);
            state.dropped.queue_full += 1;
            return;
        }
        state.quota.spend(line.len());
        state.urgent |= rank != Rank::Success;
        state.waiting.extend_from_slice(line);
    }

    /// Adds a line of a library within the budget of changes.
    pub fn push_library_line(&self, line: &[u8]) {
        if self.allows(Rank::Change) {
            self.push(Rank::Change, line);
        }
    }

    /// Begins the budget of the next second, and returns what was dropped in the last one.
    pub fn renew_quota(&self) -> DroppedLines {
        let mut state = self.0.lock();
        state.quota = Quota::default();
        std::mem::take(&mut state.dropped)
    }

    /// Returns whether more than lines of successes wait.
    pub(crate) fn is_urgent(&self) -> bool {
        self.0.lock().urgent
    }

    /// Has the thread write what waits; returns at once.
    pub fn flush(&self) {
        let mut state = self.0.lock();
        if state.waiting.is_empty() || state.due {
            return;
        }
        state.due = true;
        state.urgent = false;
        self.0.due.notify_one();
    }

    /// Has the thread write what waits, and waits a moment for it.
    pub fn finish(&self) {
        self.flush();
        let state = self.0.lock();
        let more = |state: &mut State| state.busy || state.due;
        // What the output does not take in time is lost with the process.
        let _ = self.0.idle.wait_timeout_while(state, FINISH_WAIT, more);
    }
}

/// Writes lines until the process ends.
fn write(shared: &Shared, mut out: impl Write) {
    let mut batch = Vec::new();
    loop {
        let mut state = shared.lock();
        state.busy = false;
        shared.idle.notify_all();
        while !state.due {
            state = shared
                .due
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.due = false;
        state.busy = true;
        std::mem::swap(&mut state.waiting, &mut batch);
        drop(state);
        for part in Parts(&batch) {
            // An output that fails is tried again with the next; there is no other to tell.
            let _ = out.write_all(part).and_then(|()| out.flush());
        }
        batch.clear();
    }
}

/// Whole lines, as many at a time as go to the output at once.
struct Parts<'a>(&'a [u8]);

impl<'a> Iterator for Parts<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<Self::Item> {
        let ends = |bytes: &[u8]| bytes.iter().rposition(|byte| *byte == b'\n');
        let near = &self.0[..self.0.len().min(WRITE_BYTES)];
        // A line that is longer goes alone.
        let first = || self.0.iter().position(|byte| *byte == b'\n');
        let end = ends(near).or_else(first)?;
        let (part, rest) = self.0.split_at(end + 1);
        self.0 = rest;
        Some(part)
    }
}
