//! The log writer: rate limits, a blocked output, chunks of whole lines.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oriolering_mesh::{LogWriter, Rank};

/// The maximum duration of calls that must not block; far above any scheduling delay.
const NON_BLOCKING_MAX: Duration = Duration::from_millis(500);
const LINE: &[u8] = b"{\"event\":\"answered\",\"request\":\"9c41d07be2a35f68\"}\n";

/// An output that records each write.
#[derive(Clone, Default)]
struct RecordingOutput(Arc<Mutex<Vec<Vec<u8>>>>);

impl RecordingOutput {
    fn text(&self) -> String {
        let writes = self.0.lock().unwrap().concat();
        String::from_utf8(writes).unwrap()
    }
}

impl Write for RecordingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose writes block until the receiver is dropped.
struct BlockedOutput(SyncSender<()>);

impl BlockedOutput {
    fn new() -> (Self, Receiver<()>) {
        let (sender, receiver) = sync_channel(0);
        (Self(sender), receiver)
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Nobody receives, so this blocks until the receiver is dropped.
        let _ = self.0.send(());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn push_if_allowed(writer: &LogWriter, rank: Rank, line: &[u8]) {
    if writer.allows(rank) {
        writer.push(rank, line);
    }
}

#[test]
fn lines_are_written_whole_and_in_order() {
    let out = RecordingOutput::default();
    let writer = LogWriter::start(out.clone()).unwrap();
    for i in 0..100 {
        writer.push(Rank::Change, format!("line {i}\n").as_bytes());
    }
    writer.finish();
    let expected: String = (0..100).map(|i| format!("line {i}\n")).collect();
    assert_eq!(out.text(), expected);
}

#[test]
fn each_write_has_whole_lines_and_at_most_the_atomic_size_of_a_pipe() {
    let out = RecordingOutput::default();
    let writer = LogWriter::start(out.clone()).unwrap();
    let long = format!("{}\n", "x".repeat(5_000));
    for _ in 0..300 {
        writer.push(Rank::Change, LINE);
    }
    writer.push(Rank::Change, long.as_bytes());
    writer.finish();
    let writes = out.0.lock().unwrap();
    assert!(writes.iter().all(|w| w.last() == Some(&b'\n')));
    let too_long = writes.iter().filter(|w| w.len() > 4_096).count();
    assert_eq!(too_long, 1, "only the single line above the size");
    assert_eq!(writes.concat().len(), 300 * LINE.len() + long.len());
}

#[test]
fn a_blocked_output_does_not_block_the_callers() {
    let (out, reader) = BlockedOutput::new();
    let writer = LogWriter::start(out).unwrap();
    let started = Instant::now();
    let mut dropped = 0;
    for _ in 0..40 {
        for _ in 0..1_000 {
            push_if_allowed(&writer, Rank::Failure, LINE);
        }
        writer.flush();
        dropped += writer.renew_quota().lines();
    }
    writer.finish();
    assert!(
        started.elapsed() < NON_BLOCKING_MAX,
        "{:?}",
        started.elapsed()
    );
    // Lines that are not reported as dropped are in memory: one full buffer in the writer thread
    // and a second one that is pending.
    let accepted = (40_000 - dropped as usize) * LINE.len();
    let bounds = 255 * 1024..=512 * 1024;
    assert!(bounds.contains(&accepted), "{accepted} bytes in memory");
    drop(reader);
}

#[test]
fn the_buffer_for_lines_is_bounded() {
    let (out, reader) = BlockedOutput::new();
    let writer = LogWriter::start(out).unwrap();
    let mut long = [b'x'; 10_000];
    long[9_999] = b'\n';
    let mut full = 0;
    for _ in 0..100 {
        for _ in 0..13 {
            push_if_allowed(&writer, Rank::Change, &long);
        }
        writer.flush();
        full += writer.renew_quota().queue_full;
    }
    // The batch of the thread and the pending lines are at most two seconds of the limit each.
    let accepted = 100 * 13 - full as usize;
    assert!(
        accepted * long.len() <= 4 * 128 * 1024,
        "{accepted} lines in memory"
    );
    assert!(full > 1_000, "{full} lines dropped by a full buffer");
    drop(reader);
}

#[test]
fn a_flood_of_one_rank_leaves_room_for_the_ranks_above_it() {
    let out = RecordingOutput::default();
    let writer = LogWriter::start(out.clone()).unwrap();
    for _ in 0..10_000 {
        push_if_allowed(&writer, Rank::Success, b"success\n");
    }
    for _ in 0..10_000 {
        push_if_allowed(&writer, Rank::Failure, b"failure\n");
    }
    for _ in 0..10_000 {
        push_if_allowed(&writer, Rank::Trouble, b"trouble\n");
    }
    writer.finish();
    let text = out.text();
    let count = |word: &str| text.lines().filter(|line| *line == word).count();
    assert_eq!(count("success"), 200);
    assert_eq!(count("failure"), 150);
    assert_eq!(count("trouble"), 50);
    let dropped = writer.renew_quota();
    assert_eq!(dropped.successes, 9_800);
    assert_eq!(dropped.failures, 9_850);
    assert_eq!(dropped.changes, 9_950);
    assert_eq!(dropped.lines(), 29_600);
}

#[test]
fn the_rate_limit_is_renewed_and_drops_are_reported_once() {
    let out = RecordingOutput::default();
    let writer = LogWriter::start(out.clone()).unwrap();
    for _ in 0..500 {
        push_if_allowed(&writer, Rank::Change, LINE);
    }
    assert_eq!(writer.renew_quota().changes, 100);
    assert_eq!(writer.renew_quota().lines(), 0);
    push_if_allowed(&writer, Rank::Change, LINE);
    writer.finish();
    assert_eq!(out.text().lines().count(), 401);
}

#[test]
fn bytes_have_a_separate_limit() {
    let writer = LogWriter::start(RecordingOutput::default()).unwrap();
    let long = [b'x'; 8_192];
    for _ in 0..100 {
        push_if_allowed(&writer, Rank::Trouble, &long);
    }
    assert_eq!(
        writer.renew_quota().changes,
        84,
        "sixteen lines are 128 KiB"
    );
}
