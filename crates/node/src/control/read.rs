//! Decides when this node reads the platform's service, and does so.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oriolering::{Document, DocumentError, Head, Millis, ReadLimiter};
use rand::Rng;
use tokio::time::sleep;

use super::message::Kind;
use super::platform::{HEAD_BYTES, Platform, Read, ReadError};
use super::state::Shared;

/// The wait of an empty node for its peers.
const ASK_MS: u64 = 100;
/// The wait of a read that the node's limit holds back.
const LIMIT_MS: u64 = 1_000;

/// Reads values of one kind until the control part ends.
pub(crate) async fn run(shared: Arc<Shared>, kind: Kind) {
    pause(jitter(0, shared.settings.start_ms)).await;
    let mut reader = Reader::new(&shared, kind);
    loop {
        match reader.plan() {
            Plan::Read { wait_ms } => reader.read(wait_ms).await,
            Plan::Wait { ms } => reader.wait(ms).await,
        }
    }
}

/// What to do next.
enum Plan {
    Read { wait_ms: u64 },
    Wait { ms: u64 },
}

struct Reader {
    shared: Arc<Shared>,
    kind: Kind,
    platform: Platform,
    limit: ReadLimiter,
    head: Head,
    due: Millis,
}

impl Reader {
    fn new(shared: &Arc<Shared>, kind: Kind) -> Self {
        let now = shared.clock.now();
        Self {
            shared: Arc::clone(shared),
            kind,
            platform: Platform::new(shared.settings.platform),
            limit: ReadLimiter::new(now),
            head: Head::default(),
            due: now + jitter(first_wait(shared, kind) / 2, first_wait(shared, kind)),
        }
    }

    /// Watches as a reader; otherwise reads only now and then, in case every reader is gone.
    fn plan(&mut self) -> Plan {
        let settings = &self.shared.settings;
        let now = self.shared.clock.now();
        let head = self.shared.state().relays[self.kind.index()].head();
        if head != self.head {
            self.head = head;
            self.due = now + self.interval();
        }
        if self.has_to_ask() && self.due > now {
            return Plan::Wait { ms: ASK_MS };
        }
        if self.shared.is_reader(self.kind) {
            return Plan::Read {
                wait_ms: settings.watch_ms,
            };
        }
        match self.due.since(now) {
            0 => Plan::Read { wait_ms: 0 },
            ms => Plan::Wait { ms },
        }
    }

    /// Returns whether an empty node has yet to ask its peers, who may hold a later
    /// configuration than a stale service.
    fn has_to_ask(&self) -> bool {
        let asked = self.shared.asked.load(Ordering::Relaxed);
        if asked || !self.is_empty() {
            return false;
        }
        let me = &self.shared.settings.me.id;
        let state = self.shared.state();
        state.roster.iter().any(|member| member.id != *me)
    }

    /// Returns whether a peer offers an empty node more than what it read.
    fn is_outbid(&self, revision: u64) -> bool {
        self.is_empty() && self.shared.state().is_outbid(self.kind, revision)
    }

    fn is_empty(&self) -> bool {
        let head = self.shared.state().relays[self.kind.index()].head();
        self.kind == Kind::Configuration && head.revision == 0
    }

    /// Returns whether the list does not name this node yet.
    fn is_unlisted(&self) -> bool {
        let state = self.shared.state();
        self.kind == Kind::Instances && state.roster.get(&self.shared.settings.me.id).is_none()
    }

    /// Returns the time to the next read of a node that is no reader; short while it has no
    /// value, or waits to be listed itself.
    fn interval(&self) -> u64 {
        let settings = &self.shared.settings;
        if self.head.revision == 0 || self.is_unlisted() {
            return jitter(settings.empty_ms / 2, settings.empty_ms);
        }
        jitter(settings.idle_ms / 2, settings.idle_ms * 3 / 2)
    }

    /// Waits for `ms` or until a value of either kind changes.
    async fn wait(&self, ms: u64) {
        let mut changed = self.shared.changed.subscribe();
        tokio::select! {
            _ = changed.changed() => {}
            () = pause(ms) => {}
        }
    }

    async fn read(&mut self, wait_ms: u64) {
        let now = self.shared.clock.now();
        self.due = now + self.interval();
        if !self.limit.take(now) {
            pause(jitter(LIMIT_MS / 2, LIMIT_MS * 3 / 2)).await;
            return;
        }
        self.shared.state().counts.reads += 1;
        let after = self.after();
        let result = match self.watch(after, wait_ms).await {
            None => return,
            Some(result) => result,
        };
        match result {
            Ok(None) => self.limit.record_success(),
            Ok(Some(read)) if read.revision > after => {
                self.limit.record_success();
                self.take(read).await;
            }
            Ok(Some(read)) => {
                self.take(read).await;
                self.back_off().await;
            }
            Err(error) => {
                log::debug!("{error}");
                self.shared.state().counts.read_errors += 1;
                self.back_off().await;
            }
        }
    }

    /// Reads, or gives up when a peer brings a newer value first.
    async fn watch(&self, after: u64, wait_ms: u64) -> Option<Result<Option<Read>, ReadError>> {
        let reach = self.shared.settings.reach.as_ref();
        if reach.is_some_and(|reach| !reach(self.shared.settings.platform)) {
            return Some(Err(ReadError::Send {
                address: self.shared.settings.platform,
                reason: "out of reach".to_owned(),
            }));
        }
        let mut changed = self.shared.changed.subscribe();
        let read = self.platform.read(self.kind, after, wait_ms);
        let overtaken = async {
            while self.after() == after {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            result = read => Some(result),
            () = overtaken => None,
        }
    }

    /// Returns the highest revision that this node has seen, accepted or not.
    fn after(&self) -> u64 {
        self.shared.state().seen[self.kind.index()]
    }

    async fn take(&self, read: Read) {
        let usage = &self.shared.usage;
        let bytes = HEAD_BYTES + read.text.len() as u64;
        usage.received.fetch_add(bytes, Ordering::Relaxed);
        usage.message();
        if self.has_to_ask() || self.is_outbid(read.revision) {
            pause(ASK_MS).await;
            return;
        }
        match Document::new(read.revision, &read.text) {
            Ok(document) => {
                self.shared.install(self.kind, document).await;
            }
            Err(error @ DocumentError::Size { .. }) => log::warn!("{error}"),
            Err(DocumentError::Manifest { .. } | DocumentError::Content | DocumentError::Root) => {}
        }
    }

    async fn back_off(&mut self) {
        let ms = self.limit.record_failure(&mut rand::rng());
        pause(ms).await;
    }
}

/// Returns how long a node without a value may wait before it reads one itself.
fn first_wait(shared: &Shared, kind: Kind) -> u64 {
    match kind {
        Kind::Configuration => shared.settings.empty_ms,
        Kind::Instances => 0,
    }
}

fn jitter(low: u64, high: u64) -> u64 {
    rand::rng().random_range(low..=high)
}

async fn pause(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}
