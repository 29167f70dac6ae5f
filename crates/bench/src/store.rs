//! A stand-in for the platform's store, which nodes can only read and watch.

use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HeaderName, HeaderValue};
use ntex::util::Bytes;
use ntex::web::types::{Query, State as WebState};
use ntex::web::{self, App, HttpResponse, HttpServer};
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::store_data::{Gone, StoreData, WatchBody};
use crate::store_fault::StoreFault;
use crate::store_front::carry_all;
use crate::store_limits::{ReadCount, StoreLimits, StoreReads};

/// The longest wait of a watch that the platform's store takes.
const MAX_WAIT_MS: u64 = 30_000;
/// The header of all answers that counts how often the store came back from a copy.
const ERA: &str = "store-era";
/// Milliseconds in a second, in which an answer tells when to read again.
const SECOND_MS: f64 = 1_000.0;

#[derive(Debug)]
struct State {
    data: StoreData,
    fault: StoreFault,
    count: ReadCount,
}

/// A copy of what a store holds, from which it may come back.
#[derive(Clone, Debug)]
pub struct StoreCopy(StoreData);

/// A store; cheap to clone, and its clones share the items.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    limits: StoreLimits,
}

impl Store {
    /// Returns a store without items.
    pub fn new(limits: StoreLimits) -> Self {
        let state = State {
            data: StoreData::default(),
            fault: StoreFault::None,
            count: ReadCount::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(0),
            limits,
        }
    }

    /// Writes an item and returns the revision of the change.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let revision = self.state.lock().data.put(key, value.into());
        self.wake();
        revision
    }

    /// Removes an item and returns the revision of the change, or `None` if there was none.
    pub fn delete(&self, key: &str) -> Option<u64> {
        let revision = self.state.lock().data.delete(key);
        self.wake();
        revision
    }

    /// Forgets the history, so that watches from before now are answered with 410.
    pub fn drop_history(&self) {
        self.state.lock().data.forget();
        self.wake();
    }

    /// Returns a copy of the items and their history.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().data.clone())
    }

    /// Puts a copy in place of the items, in a new era; what was written since it was made is lost.
    pub fn restore(&self, copy: StoreCopy) {
        self.state.lock().data.restore(copy.0);
        self.wake();
    }

    /// Changes what the store does with reads.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
        self.wake();
    }

    /// Returns the reads so far.
    pub fn reads(&self) -> StoreReads {
        self.state.lock().count.reads
    }

    /// Serves reads on `listener` until the future is dropped or the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener cannot be used.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let inner = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let front = carry_all(self.clone(), listener, inner.local_addr()?);
        tokio::select! {
            ended = front => ended,
            ended = self.serve_reads(inner) => ended,
        }
    }

    async fn serve_reads(self, listener: TcpListener) -> io::Result<()> {
        let server = HttpServer::new(move || {
            App::new()
                .state(self.clone())
                .route("/v1/kv-key", web::get().to(get_key))
                .route("/v1/kv-range", web::get().to(get_range))
                .route("/v1/kv-watch", web::get().to(get_watch))
        });
        // Signals end the process at once: there is nothing to keep.
        let server = server.workers(1).disable_signals();
        server.listen(listener)?.run().await
    }

    /// Returns the fault in force.
    pub(crate) fn fault(&self) -> StoreFault {
        self.state.lock().fault
    }

    /// Waits until connections are to be reset.
    pub(crate) async fn reset_begun(&self) {
        let mut changed = self.changed.subscribe();
        while self.fault() != StoreFault::Reset {
            if changed.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    fn wake(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Shows the fault in force, if there is one; returns an answer that replaces the read.
    async fn fail(&self) -> Option<HttpResponse> {
        match self.fault() {
            StoreFault::None | StoreFault::Lost => None,
            // The front resets the connection.
            StoreFault::Silent | StoreFault::Reset => pending().await,
            StoreFault::Unavailable => Some(HttpResponse::ServiceUnavailable().finish()),
            StoreFault::Limited { retry_after_ms } => Some(limited(retry_after_ms)),
            StoreFault::Slow { delay_ms } => {
                sleep(Duration::from_millis(delay_ms)).await;
                None
            }
        }
    }

    /// Counts a read, and returns an answer if it is beyond the limit.
    fn count(&self, stale: bool) -> Option<HttpResponse> {
        let mut state = self.state.lock();
        if stale {
            state.count.count_stale();
            return None;
        }
        let within = state.count.count(self.limits.reads_per_s);
        (!within).then(|| limited(None))
    }

    /// Returns the answer with its era, or nothing ever when answers are lost.
    async fn reply(&self, answer: HttpResponse) -> HttpResponse {
        if self.fault() == StoreFault::Lost {
            return pending().await;
        }
        self.with_era(answer)
    }

    /// Adds the header for the era to an answer.
    fn with_era(&self, mut answer: HttpResponse) -> HttpResponse {
        let era = HeaderValue::from(self.state.lock().data.era());
        answer
            .headers_mut()
            .insert(HeaderName::from_static(ERA), era);
        answer
    }

    /// Fails, counts or makes one read that does not wait.
    async fn read(
        &self,
        stale: bool,
        read: impl FnOnce(&StoreData) -> HttpResponse,
    ) -> HttpResponse {
        if let Some(answer) = self.fail().await {
            return self.with_era(answer);
        }
        let refused = self.count(stale);
        let answer = refused.unwrap_or_else(|| read(&self.state.lock().data));
        self.reply(answer).await
    }

    fn changes(&self, query: &WatchQuery) -> Result<WatchBody, Gone> {
        let mut state = self.state.lock();
        state.data.changes(&query.prefix, query.after, &self.limits)
    }

    /// Returns the changes that a watch asks for; without any it waits until `end`.
    async fn wait(&self, query: &WatchQuery, end: Instant) -> HttpResponse {
        let mut changed = self.changed.subscribe();
        let mut over = false;
        loop {
            match self.changes(query) {
                Err(Gone) => return HttpResponse::Gone().finish(),
                Ok(body) if over || !body.is_empty() => return HttpResponse::Ok().json(&body),
                Ok(_) => {}
            }
            let next = timeout_at(end, changed.changed()).await;
            over = !matches!(next, Ok(Ok(())));
            if let Some(answer) = self.fail().await {
                return answer;
            }
        }
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
    #[serde(default)]
    serializable: u8,
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default)]
    serializable: u8,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn get_key(store: WebState<Store>, query: Query<KeyQuery>) -> HttpResponse {
    let read = |data: &StoreData| match data.item(&query.key) {
        Some(body) => HttpResponse::Ok().json(&body),
        None => HttpResponse::NotFound().finish(),
    };
    store.read(query.serializable == 1, read).await
}

async fn get_range(store: WebState<Store>, query: Query<RangeQuery>) -> HttpResponse {
    let read = |data: &StoreData| {
        let body = data.range(&query.prefix, &query.after, &store.limits);
        HttpResponse::Ok().json(&body)
    };
    store.read(query.serializable == 1, read).await
}

async fn get_watch(store: WebState<Store>, query: Query<WatchQuery>) -> HttpResponse {
    if query.wait_ms > MAX_WAIT_MS {
        return HttpResponse::BadRequest().finish();
    }
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    if let Some(answer) = store.fail().await {
        return store.with_era(answer);
    }
    if let Some(answer) = store.count(false) {
        return store.with_era(answer);
    }
    let answer = store.wait(&query, end).await;
    store.reply(answer).await
}

fn limited(retry_after_ms: Option<u64>) -> HttpResponse {
    let mut answer = HttpResponse::TooManyRequests();
    if let Some(ms) = retry_after_ms {
        answer.header("retry-after", (ms as f64 / SECOND_MS).to_string());
    }
    answer.finish()
}
