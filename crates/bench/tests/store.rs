//! The stand-in for the platform's store, as the platform's package reads it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use oriolering_bench::{Store, StoreFault, StoreLimits};
use oriolering_platform::{
    ALL_KEYS, Answer, Change, Range, SERVERS_PREFIX, StoreError, Watch, key_path, parse_era,
    parse_item, parse_range, parse_watch, range_path, watch_path,
};
use rstest::rstest;

/// Longer than any answer takes on a busy machine.
const LIMIT: Duration = Duration::from_secs(10);
/// How long a store without an answer is listened to.
const SILENCE: Duration = Duration::from_millis(300);

fn start(limits: StoreLimits) -> (Store, SocketAddr) {
    let store = Store::new(limits);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = store.clone();
    spawn(move || ntex::rt::System::new("store").block_on(served.serve(listener)));
    // The fault of a test has to meet a server that runs.
    get(address, &key_path("none"), LIMIT).unwrap();
    (store, address)
}

/// An answer with its head in lower case.
struct Reply {
    head: String,
    body: Vec<u8>,
}

impl Reply {
    fn answer(&self) -> Answer<'_> {
        let mut lines = self.head.lines();
        let retry_after = lines
            .clone()
            .find_map(|line| line.strip_prefix("retry-after: "));
        let era = lines
            .clone()
            .find_map(|line| line.strip_prefix("store-era: "));
        let status = lines.next().and_then(|line| line.split(' ').nth(1));
        Answer {
            status: status.unwrap().parse().unwrap(),
            retry_after,
            era: era.and_then(parse_era).expect("all answers name their era"),
            body: &self.body,
        }
    }
}

/// Reads a path on a connection of its own.
fn get(address: SocketAddr, path: &str, limit: Duration) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(limit))?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: store\r\n\r\n")?;
    let mut bytes = Vec::new();
    loop {
        if let Some(reply) = scan_reply(&bytes) {
            return Ok(reply);
        }
        let mut part = [0; 4096];
        match stream.read(&mut part)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            size => bytes.extend_from_slice(&part[..size]),
        }
    }
}

/// Returns the answer once its whole body is there.
fn scan_reply(bytes: &[u8]) -> Option<Reply> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let body = bytes[end + 4..].to_vec();
    let whole = body.len() >= length.map_or(0, |length| length.parse().unwrap());
    whole.then_some(Reply { head, body })
}

fn range(address: SocketAddr, after: Option<&str>) -> Result<Range, StoreError> {
    let path = range_path(SERVERS_PREFIX, after, false);
    parse_range(get(address, &path, LIMIT).unwrap().answer())
}

fn watch(address: SocketAddr, after: u64, wait_ms: u64) -> Result<Watch, StoreError> {
    let path = watch_path(ALL_KEYS, after, wait_ms);
    parse_watch(get(address, &path, LIMIT).unwrap().answer())
}

#[test]
fn items_are_read_by_key_and_page_by_page() {
    let (store, address) = start(StoreLimits {
        page_items: 2,
        ..StoreLimits::default()
    });
    for key in ["servers/b", "servers/a", "servers/c&d", "op/config", "t"] {
        store.put(key, key.to_owned());
    }
    let reply = get(address, &key_path("servers/c&d"), LIMIT).unwrap();
    let item = parse_item(reply.answer()).unwrap();
    assert_eq!(
        (&*item.value, item.position.revision),
        (&b"servers/c&d"[..], 3)
    );
    let first = range(address, None).unwrap();
    let keys: Vec<_> = first.items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["servers/a", "servers/b"]);
    let last = range(address, first.more.as_deref()).unwrap();
    assert_eq!((&*last.items[0].key, last.items.len()), ("servers/c&d", 1));
    assert_eq!((last.more, last.position.revision), (None, 5));
    let missing = get(address, &key_path("servers/x"), LIMIT).unwrap();
    assert!(matches!(
        parse_item(missing.answer()),
        Err(StoreError::Missing)
    ));
}

#[test]
fn a_watch_waits_for_a_change_and_ends_empty_without_one() {
    let (store, address) = start(StoreLimits::default());
    let before = store.put("servers/a", "1");
    let waiting = spawn(move || watch(address, before, 9_000).unwrap());
    sleep(Duration::from_millis(100));
    store.delete("servers/a");
    let seen = waiting.join().unwrap();
    assert_eq!(seen.events[0].change, Change::Deleted);
    assert_eq!(
        (&*seen.events[0].key, seen.position.revision),
        ("servers/a", before + 1)
    );
    let begun = Instant::now();
    let empty = watch(address, seen.position.revision, 100).unwrap();
    assert!(empty.events.is_empty() && begun.elapsed() >= Duration::from_millis(100));
    assert_eq!(empty.position.revision, seen.position.revision);
}

#[test]
fn a_watch_with_many_changes_goes_on_from_the_last_one_shown() {
    let (store, address) = start(StoreLimits {
        page_items: 2,
        ..StoreLimits::default()
    });
    for value in ["1", "2", "3"] {
        store.put("op/config", value);
    }
    let first = watch(address, 0, 0).unwrap();
    assert_eq!((first.events.len(), first.position.revision), (2, 2));
    let last = watch(address, first.position.revision, 0).unwrap();
    assert_eq!(last.events[0].change, Change::Put(b"3".to_vec()));
}

#[test]
fn history_that_is_dropped_or_too_old_is_gone() {
    let (store, address) = start(StoreLimits {
        history: SILENCE,
        ..StoreLimits::default()
    });
    let first = store.put("a", "1");
    store.drop_history();
    assert!(matches!(watch(address, 0, 0), Err(StoreError::Compacted)));
    assert!(watch(address, first, 0).unwrap().events.is_empty());
    store.put("a", "2");
    sleep(SILENCE * 2);
    assert!(matches!(
        watch(address, first, 0),
        Err(StoreError::Compacted)
    ));
}

#[test]
fn a_store_that_comes_back_from_a_copy_gives_out_its_revisions_again() {
    let (store, address) = start(StoreLimits::default());
    store.put("servers/a", "1");
    let copy = store.copy();
    let lost = store.put("servers/a", "2");
    let waiting = spawn(move || watch(address, lost, 9_000));
    sleep(Duration::from_millis(100));
    store.restore(copy);
    assert!(matches!(
        waiting.join().unwrap(),
        Err(StoreError::Compacted)
    ));
    let read = range(address, None).unwrap();
    assert_eq!((read.position.era, read.position.revision), (1, lost - 1));
    assert_eq!(read.items[0].value, b"1");
    assert_eq!(store.put("servers/a", "3"), lost);
    let seen = watch(address, read.position.revision, 0).unwrap();
    assert_eq!(seen.events[0].change, Change::Put(b"3".to_vec()));
}

#[test]
fn reads_beyond_the_limit_are_refused_but_stale_ones_are_not() {
    let (store, address) = start(StoreLimits {
        reads_per_s: 0,
        ..StoreLimits::default()
    });
    assert!(matches!(
        range(address, None),
        Err(StoreError::Limited { .. })
    ));
    let path = range_path(SERVERS_PREFIX, None, true);
    let reply = get(address, &path, LIMIT).unwrap();
    assert!(parse_range(reply.answer()).is_ok());
    let reads = store.reads();
    assert_eq!((reads.counted, reads.stale, reads.refused), (2, 1, 2));
}

#[test]
fn refusals_are_told_apart_and_meet_a_watch_that_waits() {
    let (store, address) = start(StoreLimits::default());
    let waiting = spawn(move || watch(address, 0, 9_000));
    sleep(Duration::from_millis(100));
    store.set_fault(StoreFault::Unavailable);
    assert!(matches!(
        waiting.join().unwrap(),
        Err(StoreError::Unavailable)
    ));
    let retry_after_ms = Some(250);
    store.set_fault(StoreFault::Limited { retry_after_ms });
    let limited = range(address, None);
    assert!(matches!(
        limited,
        Err(StoreError::Limited {
            retry_after_ms: Some(250)
        })
    ));
    store.set_fault(StoreFault::Slow { delay_ms: 200 });
    let begun = Instant::now();
    assert!(range(address, None).is_ok() && begun.elapsed() >= Duration::from_millis(200));
}

#[rstest]
#[case::silent(StoreFault::Silent, ErrorKind::WouldBlock, 0)]
#[case::lost(StoreFault::Lost, ErrorKind::WouldBlock, 1)]
#[case::reset(StoreFault::Reset, ErrorKind::ConnectionReset, 0)]
fn a_read_without_an_answer_ends_as_its_fault_says(
    #[case] fault: StoreFault,
    #[case] kind: ErrorKind,
    #[case] counted: u64,
) {
    let (store, address) = start(StoreLimits::default());
    let before = store.reads().counted;
    store.set_fault(fault);
    let path = range_path(SERVERS_PREFIX, None, false);
    let error = get(address, &path, SILENCE).err().unwrap();
    assert_eq!(error.kind(), kind);
    assert_eq!(store.reads().counted - before, counted);
    store.set_fault(StoreFault::None);
    assert!(range(address, None).is_ok());
}
