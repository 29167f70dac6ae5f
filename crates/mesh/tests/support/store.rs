//! An in-memory implementation of the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::http::DateService;
use oriolering_http::{
    Answer, Bytes, ConnLimits, HeaderName, HeaderValue, Request, StatusCode, serve,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 8_192,
    body_bytes: 8_192,
    header_ms: 1_000,
    idle_ms: 60_000,
    pipelined: 1,
};

/// The header that counts how often the store came back from a copy.
const ERA: &str = "store-era";

#[derive(Clone, Default)]
struct Data {
    items: BTreeMap<String, Value>,
    events: Vec<Value>,
    revision: u64,
    era: u64,
}

/// A backup of the items of a store.
pub struct StoreCopy(Data);

/// The store; clones share its items.
#[derive(Clone, Default)]
pub struct Store {
    data: Rc<RefCell<Data>>,
    /// The data that stale reads return, if not the current data.
    stale: Rc<RefCell<Option<Data>>>,
    changed: Rc<Notify>,
    watchers: Rc<RefCell<BTreeSet<SocketAddr>>>,
    /// The addresses at which requests are no longer answered.
    unresponsive: Rc<RefCell<BTreeSet<SocketAddr>>>,
    /// The maximum number of items in one answer, if it is limited.
    page_size: Rc<Cell<Option<usize>>>,
    /// Whether answers lack the header for the era.
    hides_era: Rc<Cell<bool>>,
    /// A text in the bodies of answers, and what is sent in its place.
    substitution: Rc<RefCell<Option<(String, String)>>>,
    /// The paths and queries of all requests.
    requests: Rc<RefCell<Vec<String>>>,
}

impl Store {
    pub async fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        store.listen(address).await;
        store
    }

    /// Listens on an additional address.
    pub async fn listen(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).await.expect("a port");
        let served = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = served.clone();
                let date = DateService::default();
                tokio::task::spawn_local(async move {
                    let handler = move |request| store.clone().answer(address, request);
                    serve(stream, date, || LIMITS, || false, |_, _| {}, handler).await;
                });
            }
        });
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Puts a value that need not be JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut data = self.data.borrow_mut();
        data.revision += 1;
        let item = json!({
            "key": key,
            "value": STANDARD.encode(value),
            "rev": data.revision,
            "created": data.revision,
            "lease": 0,
        });
        data.items.insert(key.to_owned(), item.clone());
        data.events.push(item);
        self.changed.notify_waiters();
    }

    pub fn delete(&self, key: &str) {
        let mut data = self.data.borrow_mut();
        data.revision += 1;
        data.items.remove(key);
        let event = json!({"key": key, "rev": data.revision, "deleted": true});
        data.events.push(event);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the items and their history.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.data.borrow().clone())
    }

    /// Puts a copy in place of the items, as a store does that comes back in a new era.
    pub fn restore(&self, copy: StoreCopy) {
        self.restore_after(copy, 1);
    }

    /// Puts a copy in place of the items; the era rises by `eras`.
    pub fn restore_after(&self, copy: StoreCopy, eras: u64) {
        let era = self.data.borrow().era + eras;
        *self.data.borrow_mut() = Data { era, ..copy.0 };
        self.changed.notify_waiters();
    }

    /// Leaves the header for the era out of all answers.
    pub fn hide_era(&self) {
        self.hides_era.set(true);
    }

    /// Replaces a text in the bodies of all answers.
    pub fn substitute(&self, text: &str, replacement: &str) {
        *self.substitution.borrow_mut() = Some((text.to_owned(), replacement.to_owned()));
    }

    /// Makes reads that may be stale return a copy from now on.
    pub fn serve_stale_copy(&self, copy: &StoreCopy) {
        *self.stale.borrow_mut() = Some(copy.0.clone());
    }

    /// Returns the addresses at which watches arrived since the last call.
    pub fn take_watchers(&self) -> BTreeSet<SocketAddr> {
        self.watchers.take()
    }

    /// Stops answering requests at an address, including pending ones.
    pub fn stop_answering(&self, address: SocketAddr) {
        self.unresponsive.borrow_mut().insert(address);
    }

    /// Limits the number of items in each answer.
    pub fn set_page_size(&self, items: usize) {
        self.page_size.set(Some(items));
    }

    /// Returns the paths and queries of the requests since the last call.
    pub fn take_requests(&self) -> Vec<String> {
        self.requests.take()
    }

    /// Makes reads that may be stale return the current data from now on.
    pub fn serve_stale_reads(&self) {
        let data = self.data.borrow().clone();
        *self.stale.borrow_mut() = Some(data);
    }

    async fn answer(self, at: SocketAddr, request: Request) -> Answer {
        let unresponsive = Rc::clone(&self.unresponsive);
        let substitution = Rc::clone(&self.substitution);
        let mut answer = self.route_request(at, request).await;
        if let Some((text, replacement)) = &*substitution.borrow() {
            let body = String::from_utf8_lossy(&answer.body).replace(text, replacement);
            answer.body = Bytes::from(body);
        }
        if unresponsive.borrow().contains(&at) {
            return std::future::pending().await;
        }
        answer
    }

    async fn route_request(self, at: SocketAddr, request: Request) -> Answer {
        let query = request.uri.query().unwrap_or_default();
        let fields: BTreeMap<&str, &str> =
            query.split('&').filter_map(|f| f.split_once('=')).collect();
        let prefix = fields.get("prefix").copied().unwrap_or_default();
        self.requests.borrow_mut().push(request.uri.to_string());
        match request.uri.path() {
            "/v1/kv-key" => self.item(fields["key"]),
            "/v1/kv-range" => {
                let may_be_stale = fields.get("serializable") == Some(&"1");
                let after = fields.get("after").copied().unwrap_or_default();
                let after = percent_decode(after);
                self.range(prefix, &after, may_be_stale)
            }
            "/v1/kv-watch" => {
                self.watchers.borrow_mut().insert(at);
                let after = fields["after"].parse().expect("a revision");
                let wait_ms = fields["wait_ms"].parse().expect("milliseconds");
                match self.watch(prefix, after, wait_ms).await {
                    Some(changes) => self.json_answer(&changes),
                    None => self.with_era(Answer::new(StatusCode::GONE), self.era()),
                }
            }
            path => panic!("the store has no {path}"),
        }
    }

    fn item(&self, key: &str) -> Answer {
        match self.data.borrow().items.get(key) {
            Some(item) => self.json_answer(item),
            None => self.with_era(Answer::new(StatusCode::NOT_FOUND), self.era()),
        }
    }

    fn era(&self) -> u64 {
        self.data.borrow().era
    }

    fn range(&self, prefix: &str, after: &str, may_be_stale: bool) -> Answer {
        let stale = self.stale.borrow();
        let now = self.data.borrow();
        let data = match stale.as_ref() {
            Some(stale) if may_be_stale => stale,
            Some(_) | None => &*now,
        };
        let matches = |key: &str| key.starts_with(prefix) && key > after;
        let items = data.items.iter().filter(|(key, _)| matches(key));
        let mut items: Vec<&Value> = items.map(|(_, item)| item).collect();
        let all = items.len();
        items.truncate(self.page_size.get().unwrap_or(all));
        let truncated = items.len() < all;
        let body = json!({"items": items, "truncated": truncated, "as_of": data.revision});
        self.with_era(json_answer(&body), data.era)
    }

    /// Returns the changes after a revision, or none if the store has no such revision.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<Value> {
        loop {
            let changed = self.changed.notified();
            let revision = self.data.borrow().revision;
            if after > revision {
                return None;
            }
            let events = self.events(prefix, after);
            if !events.is_empty() {
                return Some(json!({"events": events, "as_of": revision}));
            }
            let wait = Duration::from_millis(wait_ms);
            if timeout(wait, changed).await.is_err() {
                return Some(json!({"events": [], "as_of": after}));
            }
        }
    }

    fn json_answer(&self, value: &Value) -> Answer {
        self.with_era(json_answer(value), self.era())
    }

    /// Adds the header for the era to an answer.
    fn with_era(&self, mut answer: Answer, era: u64) -> Answer {
        if !self.hides_era.get() {
            let name = HeaderName::from_static(ERA);
            answer.headers.insert(name, HeaderValue::from(era));
        }
        answer
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let data = self.data.borrow();
        let newer = data
            .events
            .iter()
            .filter(|e| e["rev"].as_u64() > Some(after));
        let matches = |e: &&Value| e["key"].as_str().is_some_and(|k| k.starts_with(prefix));
        newer.filter(matches).cloned().collect()
    }
}

/// Decodes the only percent-encoded character in keys.
fn percent_decode(text: &str) -> String {
    text.replace("%2F", "/").replace("%2f", "/")
}

fn json_answer(value: &Value) -> Answer {
    let mut answer = Answer::new(StatusCode::OK);
    answer.body = Bytes::from(value.to_string());
    answer
}
