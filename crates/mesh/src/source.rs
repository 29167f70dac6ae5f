//! Reads the platform's store and watches it; the only client of the store.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::ResponseHead;
use oriolering::{Millis, ServerRecord, ServerUpdate};
use oriolering_http::{Bytes, ClientConn, ExchangeError, HeaderMap, Method, Request, Uri};
use oriolering_platform::{
    ALL_KEYS, Answer, CONFIG_KEY, Change, Event, InvalidItem, Item, Range, SERVERS_PREFIX,
    StoreError, Watch, key_path, parse_entry, parse_item, parse_range, parse_watch, range_path,
    watch_path,
};
use rand::Rng;
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, timeout};

use crate::news;
use crate::node::Node;
use crate::trail::{Event as Decision, Trail, clip};

/// How long a connection to the store may take, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// How long the store may take for an answer that does not wait, in milliseconds.
const ANSWER_MS: u64 = 2_000;
/// How long a watch waits for a change, in milliseconds.
///
/// A store that falls silent shows only when this time is over, and a change has to be in force
/// within two seconds, by then through another node.
const WATCH_MS: u64 = 1_000;
/// How long the answer to a watch may take beyond its time, in milliseconds.
const WATCH_SLACK_MS: u64 = 300;
/// The first wait after a failure, in milliseconds.
const BACKOFF_MIN_MS: u64 = 100;
/// The longest wait after failures, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2_000;
/// How long after the store's return a removal may be a lapse, in milliseconds; live backend
/// servers are listed again within two seconds.
const UNSETTLED_MS: u64 = 2_000;
/// The time between two looks whether this node is to watch the store, in milliseconds.
const IDLE_MS: u64 = 100;
/// How much longer each node with a lower rank waits before it begins to watch, in milliseconds.
const TURN_MS: u64 = 150;
/// The longest such wait, in milliseconds; well below the time for a change to be in force.
const TURN_MAX_MS: u64 = 1_200;
/// How many nodes begin to watch at once where all that did have ceased, since the store may be
/// silent for some of them, too.
const CROWD: u64 = 48;
/// The longest time that a node without peers leaves to others to begin, in milliseconds; the
/// first of them finds all others and links to them.
const ALONE_MAX_MS: u64 = 3_000;
/// The time between the answer to a watch and the next watch, in milliseconds, so that changes
/// that follow each other closely come together.
const GATHER_MS: u64 = 150;
/// The time in which a node that starts links to its peers, in milliseconds.
const LINK_MS: u64 = 150;
/// The time between two looks at what peers told, in milliseconds.
const JOIN_LOOK_MS: u64 = 10;
/// How long the watch waits that brings what a read of a moment ago lacks, in milliseconds.
const CATCH_UP_MS: u64 = 0;

/// Why a call to the store brought nothing.
#[derive(Debug, Snafu)]
enum SourceError {
    #[snafu(display("the store cannot be reached: {source}"))]
    Exchange { source: ExchangeError },
    #[snafu(display("the store did not answer within {ms} ms"))]
    Silent { ms: u64 },
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    #[snafu(display("a path of the store is not a valid target: {path}"))]
    Path { path: String },
}

/// The connection to the store, and what is known of its state.
struct Source {
    node: Rc<Node>,
    conn: Option<ClientConn>,
    failed: bool,
    lost_at: Millis,
    /// Until when removals may be lapses, in the node's time.
    unsettled: u64,
}

/// Reads and watches the store until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut source = Source {
        node,
        conn: None,
        failed: false,
        lost_at: Millis::default(),
        unsettled: 0,
    };
    let mut backoff = BACKOFF_MIN_MS;
    while let Err(e) = source.begin().await {
        source.conn = None;
        source.note_failure(&e);
        // While the store is away, what peers work with is the best that can be known.
        news::confirm(&source.node, "nobody");
        pause(&mut backoff).await;
    }
    sleep(Duration::from_millis(LINK_MS)).await;
    loop {
        source.wait_turn().await;
        let result = source.follow(&mut backoff).await;
        source.conn = None;
        news::set_reading(&source.node, false);
        match result {
            Ok(()) => continue,
            Err(e) => source.note_failure(&e),
        }
        pause(&mut backoff).await;
    }
}

/// Waits after a failure, longer each time.
async fn pause(backoff: &mut u64) {
    let wait = rand::rng().random_range(*backoff / 2..=*backoff);
    sleep(Duration::from_millis(wait)).await;
    *backoff = (*backoff * 2).min(BACKOFF_MAX_MS);
}

impl Source {
    /// Waits until too few other nodes watch the store, and those with a higher rank have had
    /// the time to begin.
    async fn wait_turn(&self) {
        let mut waited = 0;
        let alone = match self.node.settings.first_start {
            true => rand::rng().random_range(0..ALONE_MAX_MS),
            false => 0,
        };
        loop {
            let ahead = self.node.readers_ahead() as u64;
            let turn = match self.node.peers.borrow().is_empty() {
                true => alone,
                false if self.node.has_lost_readers() => ahead / CROWD * TURN_MS,
                false => ahead * TURN_MS,
            };
            let turn = turn.min(TURN_MAX_MS.max(alone));
            match self.node.should_read() {
                true if waited >= turn => return,
                true => waited += IDLE_MS,
                false => waited = 0,
            }
            sleep(Duration::from_millis(IDLE_MS)).await;
        }
    }

    /// Reads what names the first peers, and learns from them what holds.
    ///
    /// Where the whole system starts for the first time, what the store knew a moment ago may be
    /// used at once; the list counts as incomplete then, so that what is newer comes from peers
    /// or from a watch. A node that starts again uses only what holds now, since addresses may
    /// have been given to other backend servers: it asks peers, and reads all where none of them
    /// knows in time. Where one page holds all, a watch brings what is newer at once.
    async fn begin(&mut self) -> Result<(), SourceError> {
        let path = range_path(ALL_KEYS, None, true);
        let range: Range = self.call("start", &path, ANSWER_MS, parse_range).await?;
        if self.node.settings.first_start {
            self.take_items(range.items);
            news::apply_list(&self.node);
            return Ok(());
        }
        if range.more.is_none() {
            return self.catch_up(range.items, range.revision).await.map(drop);
        }
        let trail = &self.node.trail;
        let notes = range
            .items
            .into_iter()
            .filter_map(|item| note_of(trail, item));
        let records: Vec<ServerRecord> = notes.filter_map(|note| note.record).collect();
        news::meet(&self.node, &records);
        match self.hears_what_holds().await {
            true => news::confirm(&self.node, "peer"),
            false => {
                self.read_all().await?;
            }
        }
        Ok(())
    }

    /// Waits until this node knows all, as a peer says that has just heard of it; returns false
    /// once no peer is expected to help.
    async fn hears_what_holds(&self) -> bool {
        let begun = self.node.now();
        loop {
            if self.node.is_current() {
                return true;
            }
            let waited = self.node.now().since(begun);
            if waited >= self.node.help_ms() {
                return false;
            }
            sleep(Duration::from_millis(JOIN_LOOK_MS)).await;
        }
    }

    /// Takes in what the store knew a moment ago.
    fn take_items(&self, items: Vec<Item>) {
        for item in items {
            if item.key == CONFIG_KEY {
                news::put_routes(&self.node, item.value);
            } else if let Some(note) = note_of(&self.node.trail, item) {
                let now = self.node.now();
                self.node.list.borrow_mut().apply(now, note);
            }
        }
    }

    /// Reads what this node does not know yet, then watches until something fails or enough
    /// other nodes watch.
    async fn follow(&mut self, backoff: &mut u64) -> Result<(), SourceError> {
        let known = self.node.list.borrow().revision();
        let mut revision = match known > 0 && self.node.version() > 0 {
            true => known,
            false => self.read_all().await?,
        };
        while self.node.should_read() {
            let path = watch_path(ALL_KEYS, revision, WATCH_MS);
            let watch = match self.watch(&path).await {
                Err(SourceError::Store {
                    source: StoreError::Compacted,
                }) => {
                    self.node.trail.note(Decision::StoreCompacted { revision });
                    revision = self.read_new().await?;
                    continue;
                }
                result => result?,
            };
            *backoff = BACKOFF_MIN_MS;
            self.note_success();
            self.note_asked();
            revision = watch.revision;
            self.take(watch);
            news::set_reading(&self.node, true);
            sleep(Duration::from_millis(GATHER_MS)).await;
        }
        Ok(())
    }

    /// Reads the routes and the whole list, and returns the revision to watch from.
    ///
    /// What the store knew a moment ago costs a tenth of a read, and a watch from then on brings
    /// what has changed since.
    async fn read_all(&mut self) -> Result<u64, SourceError> {
        let (items, revision) = self.read_old().await?;
        self.catch_up(items, revision).await
    }

    /// Puts in force what the store held at `revision` and what has changed since, and returns
    /// the revision to watch from.
    async fn catch_up(&mut self, items: Vec<Item>, revision: u64) -> Result<u64, SourceError> {
        let path = watch_path(ALL_KEYS, revision, CATCH_UP_MS);
        let since = match self.watch(&path).await {
            Err(SourceError::Store {
                source: StoreError::Compacted,
            }) => return self.read_new().await,
            result => result?,
        };
        let mut notes = Vec::new();
        for item in items {
            if item.key == CONFIG_KEY {
                news::put_routes(&self.node, item.value);
            } else {
                notes.extend(note_of(&self.node.trail, item));
            }
        }
        self.note_success();
        let lapsed = self.is_unsettled();
        let now = self.node.now();
        let mut list = self.node.list.borrow_mut();
        list.replace(now, notes, revision, lapsed);
        drop(list);
        let revision = since.revision;
        self.take(since);
        Ok(self.finish_read(revision))
    }

    /// Reads all pages as the store knew them a moment ago, and returns the oldest revision of
    /// them: what is newer may be lacking.
    async fn read_old(&mut self) -> Result<(Vec<Item>, u64), SourceError> {
        let mut items = Vec::new();
        let mut after: Option<CompactString> = None;
        let mut oldest = u64::MAX;
        loop {
            let path = range_path(ALL_KEYS, after.as_deref(), true);
            let range: Range = self.call("start", &path, ANSWER_MS, parse_range).await?;
            self.note_broken(&range.broken, range.revision);
            oldest = oldest.min(range.revision);
            items.extend(range.items);
            match range.more {
                Some(key) => after = Some(key),
                None => return Ok((items, oldest)),
            }
        }
    }

    /// Reads the routes and the whole list as they are now.
    async fn read_new(&mut self) -> Result<u64, SourceError> {
        let (notes, revision) = self.read_servers().await?;
        self.read_routes().await?;
        self.note_success();
        let lapsed = self.is_unsettled();
        let now = self.node.now();
        let mut list = self.node.list.borrow_mut();
        list.replace(now, notes, revision, lapsed);
        drop(list);
        Ok(self.finish_read(revision))
    }

    /// Puts in force what was read, and returns its revision.
    fn finish_read(&self, revision: u64) -> u64 {
        self.note_asked();
        self.node.confirmed.set(true);
        news::apply_list(&self.node);
        news::announce_all(&self.node);
        let servers = self.node.list.borrow().servers().count() as u64;
        self.node
            .trail
            .note(Decision::StoreRead { revision, servers });
        revision
    }

    /// Notes that the store has told all that is new.
    fn note_asked(&self) {
        self.node.asked_store.set(Some(self.node.now()));
    }

    fn note_broken(&self, broken: &[InvalidItem], revision: u64) {
        for InvalidItem { key, error } in broken {
            let key = key.as_deref().unwrap_or_default();
            let error = error.to_string();
            self.node.trail.item_rejected(key, revision, &error);
        }
    }

    async fn read_servers(&mut self) -> Result<(Vec<ServerUpdate>, u64), SourceError> {
        let mut notes = Vec::new();
        let mut after: Option<CompactString> = None;
        let mut first = None;
        loop {
            let path = range_path(SERVERS_PREFIX, after.as_deref(), false);
            let range: Range = self.call("list", &path, ANSWER_MS, parse_range).await?;
            // Pages are not a snapshot, so changes since the first one are watched again.
            let revision = *first.get_or_insert(range.revision);
            self.note_broken(&range.broken, revision);
            let trail = &self.node.trail;
            let items = range.items.into_iter();
            notes.extend(items.filter_map(|item| note_of(trail, item)));
            match range.more {
                Some(key) => after = Some(key),
                None => return Ok((notes, revision)),
            }
        }
    }

    async fn read_routes(&mut self) -> Result<(), SourceError> {
        let path = key_path(CONFIG_KEY);
        match self.call("routes", &path, ANSWER_MS, parse_item).await {
            Ok(item) => {
                news::put_routes(&self.node, item.value);
                Ok(())
            }
            Err(SourceError::Store {
                source: StoreError::Missing,
            }) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn watch(&mut self, path: &str) -> Result<Watch, SourceError> {
        let within_ms = WATCH_MS + WATCH_SLACK_MS;
        self.call("watch", path, within_ms, parse_watch).await
    }

    /// Takes in what a watch returned.
    fn take(&mut self, watch: Watch) {
        let lapsed = self.is_unsettled();
        let now = self.node.now();
        let mut changed = false;
        self.note_broken(&watch.broken, watch.revision);
        for Event {
            key,
            change,
            revision,
        } in watch.events
        {
            if key == CONFIG_KEY {
                if let Change::Put(text) = change {
                    news::put_routes(&self.node, text);
                }
                continue;
            }
            let value = match &change {
                Change::Put(value) => Some(value.as_slice()),
                Change::Deleted => None,
            };
            if let Some(note) = note(&self.node.trail, &key, value, revision, lapsed) {
                changed |= self.node.list.borrow_mut().apply(now, note);
            }
        }
        self.node.list.borrow_mut().advance(watch.revision);
        if changed {
            news::apply_list(&self.node);
            news::announce_all(&self.node);
        }
    }

    async fn call<T>(
        &mut self,
        cause: &'static str,
        path: &str,
        within_ms: u64,
        scan: fn(Answer<'_>) -> Result<T, StoreError>,
    ) -> Result<T, SourceError> {
        self.node.trail.counts.store_calls.add(cause);
        let exchange = self.exchange(path);
        let result = timeout(Duration::from_millis(within_ms), exchange).await;
        let response = match result {
            Ok(response) => response?,
            Err(_) => return SilentSnafu { ms: within_ms }.fail(),
        };
        let retry_after = crate::headers::text(&response.headers, "retry-after");
        let answer = Answer {
            status: response.status.as_u16(),
            retry_after,
            body: &response.body,
        };
        scan(answer).context(StoreSnafu)
    }

    async fn exchange(&mut self, path: &str) -> Result<oriolering_http::Response, SourceError> {
        let address = self.node.settings.store.address;
        let Ok(uri) = Uri::try_from(path) else {
            return PathSnafu { path }.fail();
        };
        let mut headers = HeaderMap::new();
        crate::headers::set(&mut headers, "host", &address.to_string());
        let request = Request {
            method: Method::GET,
            uri,
            headers,
            body: Bytes::new(),
        };
        let kept = self.conn.take();
        let reusable = kept.and_then(|mut conn| conn.is_reusable().then_some(conn));
        let mut conn = match reusable {
            Some(conn) => conn,
            None => {
                let date = self.node.date.clone();
                let conn = ClientConn::connect(address, date, CONNECT_MS).await;
                conn.context(ExchangeSnafu)?
            }
        };
        let any = |_: &ResponseHead| true;
        let response = conn.exchange(request, any).await.context(ExchangeSnafu)?;
        self.conn = Some(conn);
        Ok(response)
    }

    fn is_unsettled(&self) -> bool {
        self.node.now().0 < self.unsettled
    }

    fn note_failure(&mut self, e: &SourceError) {
        if !self.failed {
            self.lost_at = self.node.now();
            self.node.trail.note(Decision::StoreLost {
                error: clip(&e.to_string()),
                revision: self.node.list.borrow().revision(),
            });
        }
        self.failed = true;
    }

    fn note_success(&mut self) {
        if self.failed {
            let now = self.node.now();
            self.node.trail.note(Decision::StoreBack {
                lost_ms: now.since(self.lost_at),
                revision: self.node.list.borrow().revision(),
            });
            // Where a peer has watched all the while, only this node was turned away.
            if !self.node.is_informed() {
                self.unsettled = now.0 + UNSETTLED_MS;
            }
        }
        self.failed = false;
    }
}

/// Returns what an item of the list says, or nothing for other items.
fn note_of(trail: &Trail, item: Item) -> Option<ServerUpdate> {
    note(trail, &item.key, Some(&item.value), item.revision, false)
}

/// Returns what a key of the list says, or nothing for other keys.
fn note(
    trail: &Trail,
    key: &str,
    value: Option<&[u8]>,
    revision: u64,
    lapsed: bool,
) -> Option<ServerUpdate> {
    let id = key.strip_prefix(SERVERS_PREFIX)?;
    let record = match value.map(|v| parse_entry(key, v)) {
        Some(Ok(record)) => Some(record),
        Some(Err(e)) => {
            trail.item_rejected(key, revision, &e.to_string());
            None
        }
        None => None,
    };
    Some(ServerUpdate {
        id: id.into(),
        revision,
        lapsed: lapsed && value.is_none(),
        record,
    })
}
