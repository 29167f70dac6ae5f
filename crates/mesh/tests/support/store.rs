//! A store whose items are in memory.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::http::DateService;
use oriolering_http::{Answer, Bytes, ConnLimits, Request, StatusCode, serve};
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

#[derive(Clone, Default)]
struct Data {
    items: BTreeMap<String, Value>,
    events: Vec<Value>,
    revision: u64,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store {
    data: Rc<RefCell<Data>>,
    /// What reads that may be old return, if that is not what holds now.
    old: Rc<RefCell<Option<Data>>>,
    changed: Rc<Notify>,
    watchers: Rc<RefCell<BTreeSet<SocketAddr>>>,
    /// Where nothing is answered any more.
    silent: Rc<RefCell<BTreeSet<SocketAddr>>>,
    /// How many items one answer has at most, if not all.
    page: Rc<Cell<Option<usize>>>,
    /// The paths with queries that were asked for.
    asked: Rc<RefCell<Vec<String>>>,
}

impl Store {
    pub async fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        store.listen(address).await;
        store
    }

    /// Listens on one more address.
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
        let mut data = self.data.borrow_mut();
        data.revision += 1;
        let item = json!({
            "key": key,
            "value": STANDARD.encode(value.to_string()),
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

    /// Returns the addresses at which the store was watched since the last call.
    pub fn take_watchers(&self) -> BTreeSet<SocketAddr> {
        self.watchers.take()
    }

    /// Answers nothing at an address from now on, also what waits there.
    pub fn stop_answering(&self, address: SocketAddr) {
        self.silent.borrow_mut().insert(address);
    }

    /// Lets each answer have so many items at most.
    pub fn set_page_size(&self, items: usize) {
        self.page.set(Some(items));
    }

    /// Returns the paths with queries that were asked for since the last call.
    pub fn take_requests(&self) -> Vec<String> {
        self.asked.take()
    }

    /// Lets reads that may be old return from now on what holds at this moment.
    pub fn serve_stale_reads(&self) {
        let data = self.data.borrow().clone();
        *self.old.borrow_mut() = Some(data);
    }

    async fn answer(self, at: SocketAddr, request: Request) -> Answer {
        let silent = Rc::clone(&self.silent);
        let answer = self.answer_of(at, request).await;
        if silent.borrow().contains(&at) {
            return std::future::pending().await;
        }
        answer
    }

    async fn answer_of(self, at: SocketAddr, request: Request) -> Answer {
        let query = request.uri.query().unwrap_or_default();
        let fields: BTreeMap<&str, &str> =
            query.split('&').filter_map(|f| f.split_once('=')).collect();
        let prefix = fields.get("prefix").copied().unwrap_or_default();
        self.asked.borrow_mut().push(request.uri.to_string());
        match request.uri.path() {
            "/v1/kv-key" => self.item(fields["key"]),
            "/v1/kv-range" => {
                let may_be_old = fields.get("serializable") == Some(&"1");
                let after = fields.get("after").copied().unwrap_or_default();
                let after = percent_decode(after);
                json_answer(&self.range(prefix, &after, may_be_old))
            }
            "/v1/kv-watch" => {
                self.watchers.borrow_mut().insert(at);
                let after = fields["after"].parse().expect("a revision");
                let wait_ms = fields["wait_ms"].parse().expect("milliseconds");
                json_answer(&self.watch(prefix, after, wait_ms).await)
            }
            path => panic!("the store has no {path}"),
        }
    }

    fn item(&self, key: &str) -> Answer {
        match self.data.borrow().items.get(key) {
            Some(item) => json_answer(item),
            None => Answer::new(StatusCode::NOT_FOUND),
        }
    }

    fn range(&self, prefix: &str, after: &str, may_be_old: bool) -> Value {
        let old = self.old.borrow();
        let now = self.data.borrow();
        let data = match old.as_ref() {
            Some(old) if may_be_old => old,
            Some(_) | None => &*now,
        };
        let begins = |key: &str| key.starts_with(prefix) && key > after;
        let items = data.items.iter().filter(|(key, _)| begins(key));
        let mut items: Vec<&Value> = items.map(|(_, item)| item).collect();
        let all = items.len();
        items.truncate(self.page.get().unwrap_or(all));
        json!({"items": items, "truncated": items.len() < all, "as_of": data.revision})
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Value {
        loop {
            let changed = self.changed.notified();
            let events = self.events(prefix, after);
            if !events.is_empty() {
                return json!({"events": events, "as_of": self.data.borrow().revision});
            }
            let wait = Duration::from_millis(wait_ms);
            if timeout(wait, changed).await.is_err() {
                return json!({"events": [], "as_of": after});
            }
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let data = self.data.borrow();
        let newer = data
            .events
            .iter()
            .filter(|e| e["rev"].as_u64() > Some(after));
        let begins = |e: &&Value| e["key"].as_str().is_some_and(|k| k.starts_with(prefix));
        newer.filter(begins).cloned().collect()
    }
}

/// Decodes the one escape that keys need.
fn percent_decode(text: &str) -> String {
    text.replace("%2F", "/").replace("%2f", "/")
}

fn json_answer(value: &Value) -> Answer {
    let mut answer = Answer::new(StatusCode::OK);
    answer.body = Bytes::from(value.to_string());
    answer
}
