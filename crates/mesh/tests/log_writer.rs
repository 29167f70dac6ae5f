//! Lines on their way to an output: a flood, an output that nobody reads, the end.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oriolering_mesh::{LogWriter, Rank};

/// How long one call may take when it waits for nothing; far above any scheduler's pause.
const AT_ONCE: Duration = Duration::from_millis(500);
const LINE: &[u8] = b"{\"event\":\"answered\",\"request\":\"9c41d07be2a35f68\"}\n";

/// An output that keeps each write.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<Vec<u8>>>>);

impl Kept {
    fn text(&self) -> String {
        let writes = self.0.lock().unwrap().concat();
        String::from_utf8(writes).unwrap()
    }
}

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that takes nothing until its other end is dropped.
struct Stuck(SyncSender<()>);

impl Stuck {
    fn new() -> (Self, Receiver<()>) {
        let (sender, receiver) = sync_channel(0);
        (Self(sender), receiver)
    }
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Nobody receives, so this waits until the receiver is dropped.
        let _ = self.0.send(());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn offer(lines: &LogWriter, rank: Rank, line: &[u8]) {
    if lines.allows(rank) {
        lines.push(rank, line);
    }
}

#[test]
fn lines_arrive_whole_and_in_order() {
    let out = Kept::default();
    let lines = LogWriter::start(out.clone()).unwrap();
    for i in 0..100 {
        lines.push(Rank::Change, format!("line {i}\n").as_bytes());
    }
    lines.finish();
    let expected: String = (0..100).map(|i| format!("line {i}\n")).collect();
    assert_eq!(out.text(), expected);
}

#[test]
fn one_write_holds_whole_lines_that_a_pipe_takes_at_once() {
    let out = Kept::default();
    let lines = LogWriter::start(out.clone()).unwrap();
    let long = format!("{}\n", "x".repeat(5_000));
    for _ in 0..300 {
        lines.push(Rank::Change, LINE);
    }
    lines.push(Rank::Change, long.as_bytes());
    lines.finish();
    let writes = out.0.lock().unwrap();
    assert!(writes.iter().all(|w| w.last() == Some(&b'\n')));
    let too_long = writes.iter().filter(|w| w.len() > 4_096).count();
    assert_eq!(too_long, 1, "only the line that is longer itself");
    assert_eq!(writes.concat().len(), 300 * LINE.len() + long.len());
}

#[test]
fn an_output_that_nobody_reads_holds_up_nobody() {
    let (out, reader) = Stuck::new();
    let lines = LogWriter::start(out).unwrap();
    let begun = Instant::now();
    let mut dropped = 0;
    for _ in 0..40 {
        for _ in 0..1_000 {
            offer(&lines, Rank::Failure, LINE);
        }
        lines.flush();
        dropped += lines.renew_quota().lines();
    }
    lines.finish();
    assert!(begun.elapsed() < AT_ONCE, "{:?}", begun.elapsed());
    // All that is not told as dropped waits in memory, which takes what the thread holds and as
    // much again.
    let kept = (40_000 - dropped as usize) * LINE.len();
    let bounds = 255 * 1024..=512 * 1024;
    assert!(bounds.contains(&kept), "{kept} bytes are kept");
    drop(reader);
}

#[test]
fn the_memory_for_lines_is_bounded() {
    let (out, reader) = Stuck::new();
    let lines = LogWriter::start(out).unwrap();
    let mut long = [b'x'; 10_000];
    long[9_999] = b'\n';
    let mut full = 0;
    for _ in 0..100 {
        for _ in 0..13 {
            offer(&lines, Rank::Change, &long);
        }
        lines.flush();
        full += lines.renew_quota().queue_full;
    }
    // What the thread took with it and what waits are two seconds of the budget each at most.
    let kept = 100 * 13 - full as usize;
    assert!(kept * long.len() <= 4 * 128 * 1024, "{kept} lines are kept");
    assert!(full > 1_000, "{full} lines found no room");
    drop(reader);
}

#[test]
fn a_flood_of_one_rank_leaves_room_for_the_ranks_above_it() {
    let out = Kept::default();
    let lines = LogWriter::start(out.clone()).unwrap();
    for _ in 0..10_000 {
        offer(&lines, Rank::Success, b"success\n");
    }
    for _ in 0..10_000 {
        offer(&lines, Rank::Failure, b"failure\n");
    }
    for _ in 0..10_000 {
        offer(&lines, Rank::Trouble, b"trouble\n");
    }
    lines.finish();
    let text = out.text();
    let count = |word: &str| text.lines().filter(|line| *line == word).count();
    assert_eq!(count("success"), 200);
    assert_eq!(count("failure"), 150);
    assert_eq!(count("trouble"), 50);
    let dropped = lines.renew_quota();
    assert_eq!(dropped.successes, 9_800);
    assert_eq!(dropped.failures, 9_850);
    assert_eq!(dropped.changes, 9_950);
    assert_eq!(dropped.lines(), 29_600);
}

#[test]
fn the_budget_begins_anew_and_drops_are_told_once() {
    let out = Kept::default();
    let lines = LogWriter::start(out.clone()).unwrap();
    for _ in 0..500 {
        offer(&lines, Rank::Change, LINE);
    }
    assert_eq!(lines.renew_quota().changes, 100);
    assert_eq!(lines.renew_quota().lines(), 0);
    offer(&lines, Rank::Change, LINE);
    lines.finish();
    assert_eq!(out.text().lines().count(), 401);
}

#[test]
fn bytes_have_a_budget_of_their_own() {
    let lines = LogWriter::start(Kept::default()).unwrap();
    let long = [b'x'; 8_192];
    for _ in 0..100 {
        offer(&lines, Rank::Trouble, &long);
    }
    assert_eq!(lines.renew_quota().changes, 84, "sixteen lines are 128 KiB");
}
