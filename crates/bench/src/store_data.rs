//! The items of the stand-in for the platform's store, and their history.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::util::Bytes;
use serde::Serialize;

use crate::store_limits::StoreLimits;

#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    revision: u64,
    created: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    /// The item as it was written; `None` when it was removed.
    stored: Option<Stored>,
    revision: u64,
    at: Instant,
}

/// An item or a change as an answer shows it.
#[derive(Debug, Serialize)]
pub(crate) struct Shown {
    key: String,
    rev: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    created: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    deleted: Option<bool>,
}

/// The answer to a read of one key.
#[derive(Debug, Serialize)]
pub(crate) struct ItemBody {
    #[serde(flatten)]
    item: Shown,
    as_of: u64,
}

/// The answer to a read of a range.
#[derive(Debug, Serialize)]
pub(crate) struct RangeBody {
    items: Vec<Shown>,
    truncated: bool,
    as_of: u64,
}

/// The answer to a watch.
#[derive(Debug, Serialize)]
pub(crate) struct WatchBody {
    events: Vec<Shown>,
    as_of: u64,
}

impl WatchBody {
    pub(crate) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

/// The history that a watch asks for is gone.
#[derive(Debug)]
pub(crate) struct Gone;

/// The items and the changes that are kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreData {
    era: u64,
    items: BTreeMap<String, Stored>,
    history: VecDeque<Change>,
    revision: u64,
    /// The newest revision whose change is no longer kept.
    forgotten: u64,
}

impl StoreData {
    /// Writes an item and returns the revision of the change.
    pub(crate) fn put(&mut self, key: &str, value: Bytes) -> u64 {
        self.revision += 1;
        let before = self.items.get(key);
        let stored = Stored {
            value,
            revision: self.revision,
            created: before.map_or(self.revision, |stored| stored.created),
        };
        self.items.insert(key.to_owned(), stored.clone());
        self.note(key, Some(stored))
    }

    /// Removes an item and returns the revision of the change, or `None` if there was none.
    pub(crate) fn delete(&mut self, key: &str) -> Option<u64> {
        self.items.remove(key)?;
        self.revision += 1;
        Some(self.note(key, None))
    }

    fn note(&mut self, key: &str, stored: Option<Stored>) -> u64 {
        self.history.push_back(Change {
            key: key.to_owned(),
            stored,
            revision: self.revision,
            at: Instant::now(),
        });
        self.revision
    }

    /// Returns how often the store has come back from a copy.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// Puts a copy in place of the items and their history, in a new era.
    pub(crate) fn restore(&mut self, copy: Self) {
        let era = self.era + 1;
        *self = Self { era, ..copy };
    }

    /// Forgets every change so far.
    pub(crate) fn forget(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    fn expire(&mut self, limits: &StoreLimits) {
        while let Some(change) = self.history.front() {
            if change.at.elapsed() <= limits.history {
                return;
            }
            self.forgotten = change.revision;
            self.history.pop_front();
        }
    }

    /// Returns the item at `key`.
    pub(crate) fn item(&self, key: &str) -> Option<ItemBody> {
        let stored = self.items.get(key)?;
        Some(ItemBody {
            item: show(key, stored),
            as_of: self.revision,
        })
    }

    /// Returns a page of the items whose keys begin with `prefix` and follow `after`.
    pub(crate) fn range(&self, prefix: &str, after: &str, limits: &StoreLimits) -> RangeBody {
        let from = match after < prefix {
            true => Bound::Included(prefix),
            false => Bound::Excluded(after),
        };
        let found = self.items.range::<str, _>((from, Bound::Unbounded));
        let mut found = found
            .take_while(|(key, _)| key.starts_with(prefix))
            .peekable();
        let mut items = Vec::new();
        let mut bytes = 0;
        while let Some((key, stored)) = found.peek() {
            bytes += stored.value.len();
            let full = items.len() >= limits.page_items || bytes > limits.page_bytes;
            if full && !items.is_empty() {
                break;
            }
            items.push(show(key, stored));
            found.next();
        }
        RangeBody {
            items,
            truncated: found.peek().is_some(),
            as_of: self.revision,
        }
    }

    /// Returns the changes after a revision of keys that begin with `prefix`.
    pub(crate) fn changes(
        &mut self,
        prefix: &str,
        after: u64,
        limits: &StoreLimits,
    ) -> Result<WatchBody, Gone> {
        self.expire(limits);
        if after < self.forgotten || after > self.revision {
            return Err(Gone);
        }
        let newer = self.history.iter().filter(|change| change.revision > after);
        let mut found = newer.filter(|change| change.key.starts_with(prefix));
        let events: Vec<_> = found
            .by_ref()
            .take(limits.page_items)
            .map(show_change)
            .collect();
        // More changes follow the last one shown, so the reader has to go on from there.
        let last = events.last().filter(|_| found.next().is_some());
        let as_of = last.map_or(self.revision, |event| event.rev);
        Ok(WatchBody { events, as_of })
    }
}

fn show(key: &str, stored: &Stored) -> Shown {
    Shown {
        key: key.to_owned(),
        rev: stored.revision,
        value: Some(STANDARD.encode(&stored.value)),
        created: Some(stored.created),
        lease: Some(0),
        deleted: None,
    }
}

fn show_change(change: &Change) -> Shown {
    match &change.stored {
        Some(stored) => show(&change.key, stored),
        None => Shown {
            key: change.key.clone(),
            rev: change.revision,
            value: None,
            created: None,
            lease: None,
            deleted: Some(true),
        },
    }
}
