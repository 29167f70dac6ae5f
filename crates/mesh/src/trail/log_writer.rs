//! A bounded buffer of log lines that never blocks the threads that log.
//!
//! Lines are copied into memory, and a separate thread writes them to the output, so that an
//! output that nobody reads blocks only that thread. Lines above the rate limit of a second or
//! the size of the buffer are dropped and counted.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::Rank;

/// The maximum number of lines per second. Together with [`BYTES_PER_S`] it keeps logging well
/// under 1% of the processor time and of the link of the smallest documented instance.
const LINES_PER_S: u32 = 400;
/// The maximum number of bytes per second: [`LINES_PER_S`] lines of a usual 320 bytes.
const BYTES_PER_S: usize = 128 * 1024;
/// The maximum size of the buffer in bytes: two seconds at the rate limit.
const QUEUE_BYTES: usize = 2 * BYTES_PER_S;
/// How long the process waits at its end for the last lines to be written.
const FINISH_WAIT: Duration = Duration::from_millis(200);
/// The maximum size of one write in bytes. A pipe accepts this much atomically, so that lines of
/// several processes on one pipe are not interleaved.
const WRITE_BYTES: usize = 4_096;
/// The stack size of the writer thread in bytes; its calls are not deeply nested.
const STACK_BYTES: usize = 64 * 1024;

/// The numbers of lines that were dropped since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines about requests that succeeded.
    pub successes: u64,
    /// Lines about requests that failed, were refused, were late or needed a second try.
    pub failures: u64,
    /// Lines about changes of the node's state, and lines of libraries.
    pub changes: u64,
    /// How many of all these were dropped because the buffer was full.
    pub queue_full: u64,
}

impl DroppedLines {
    /// Returns the total number of dropped lines.
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

/// The lines and bytes that were accepted in the current second.
#[derive(Default)]
struct Quota {
    lines: u32,
    bytes: usize,
}

impl Quota {
    /// Returns whether another line of this rank is accepted in this second.
    ///
    /// Successes use at most half of the limit and failures seven eighths, so that a flood of
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
    pending: Vec<u8>,
    quota: Quota,
    dropped: DroppedLines,
    /// Whether lines other than successes are pending.
    urgent: bool,
    /// Whether the thread is to write the pending lines.
    flush_due: bool,
    /// Whether the thread is writing.
    writing: bool,
}

struct Shared {
    state: Mutex<State>,
    wake: Condvar,
    idle: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the log lines of a process to its output, with a rate limit and a bounded buffer.
#[derive(Clone)]
pub struct LogWriter(Arc<Shared>);

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be spawned.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let state = State {
            pending: Vec::new(),
            quota: Quota::default(),
            dropped: DroppedLines::default(),
            urgent: false,
            flush_due: false,
            writing: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            wake: Condvar::new(),
            idle: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("lines".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_loop(&writer, out))?;
        Ok(Self(shared))
    }

    /// Returns whether the rate limit allows a line of this rank; counts it as dropped if not.
    pub fn allows(&self, rank: Rank) -> bool {
        let mut state = self.0.lock();
        let allowed = state.quota.allows(rank);
        if !allowed {
            state.dropped.count(rank);
        }
        allowed
    }

    /// Adds a line, which ends in a line feed; counts it as dropped if the buffer is full.
    pub fn push(&self, rank: Rank, line: &[u8]) {
        let mut state = self.0.lock();
        if state.pending.len() + line.len() > QUEUE_BYTES {
            state.dropped.count(rank);
            state.dropped.queue_full += 1;
            return;
        }
        state.quota.spend(line.len());
        state.urgent |= rank != Rank::Success;
        state.pending.extend_from_slice(line);
    }

    /// Adds a line of a library, with the rank of a change, if the rate limit allows it.
    pub fn push_library_line(&self, line: &[u8]) {
        if self.allows(Rank::Change) {
            self.push(Rank::Change, line);
        }
    }

    /// Resets the rate limit for the next second, and returns what was dropped since the last call.
    pub fn renew_quota(&self) -> DroppedLines {
        let mut state = self.0.lock();
        state.quota = Quota::default();
        std::mem::take(&mut state.dropped)
    }

    /// Returns whether lines other than successes are pending.
    pub(crate) fn is_urgent(&self) -> bool {
        self.0.lock().urgent
    }

    /// Has the thread write the pending lines; returns immediately.
    pub fn flush(&self) {
        let mut state = self.0.lock();
        if state.pending.is_empty() || state.flush_due {
            return;
        }
        state.flush_due = true;
        state.urgent = false;
        self.0.wake.notify_one();
    }

    /// Has the thread write the pending lines, and waits for it for a bounded time.
    pub fn finish(&self) {
        self.flush();
        let state = self.0.lock();
        let is_writing = |state: &mut State| state.writing || state.flush_due;
        // Lines that are not written in time are lost when the process exits.
        let _ = self
            .0
            .idle
            .wait_timeout_while(state, FINISH_WAIT, is_writing);
    }
}

/// Writes pending lines whenever a flush is due, until the process exits.
fn write_loop(shared: &Shared, mut out: impl Write) {
    let mut batch = Vec::new();
    loop {
        let mut state = shared.lock();
        state.writing = false;
        shared.idle.notify_all();
        while !state.flush_due {
            state = shared
                .wake
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.flush_due = false;
        state.writing = true;
        std::mem::swap(&mut state.pending, &mut batch);
        drop(state);
        for chunk in Chunks(&batch) {
            // After an error the next chunk is tried; there is nowhere else to report the error.
            let _ = out.write_all(chunk).and_then(|()| out.flush());
        }
        batch.clear();
    }
}

/// Splits a batch into chunks of whole lines of at most [`WRITE_BYTES`].
struct Chunks<'a>(&'a [u8]);

impl<'a> Iterator for Chunks<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<Self::Item> {
        let last_line_end = |bytes: &[u8]| bytes.iter().rposition(|byte| *byte == b'\n');
        let prefix = &self.0[..self.0.len().min(WRITE_BYTES)];
        // A longer line is a chunk of its own.
        let first_line_end = || self.0.iter().position(|byte| *byte == b'\n');
        let end = last_line_end(prefix).or_else(first_line_end)?;
        let (chunk, rest) = self.0.split_at(end + 1);
        self.0 = rest;
        Some(chunk)
    }
}
