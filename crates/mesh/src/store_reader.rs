//! Reads and watches the platform's store. No other module calls the store.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use oriolering::{Millis, ServerRecord, ServerUpdate, StorePosition, ZoneUpdate};
use oriolering_platform::{
    ALL_KEYS, CONFIG_KEY, Change, Event, InvalidItem, Item, Range, SERVERS_PREFIX, StoreError,
    Watch, parse_entry, parse_evacuated_zone, parse_range, parse_watch, range_path, watch_path,
};
use rand::Rng;
use snafu::ensure;
use tokio::time::sleep;

use crate::gossip;
use crate::node::Node;
use crate::store_client::StoreClient;
use crate::store_read_error::{ReturnedSnafu, StoreReadError};
use crate::trail::{Event as Decision, Origin, Trail, clip};

/// The timeout for a response that does not wait for a change, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;
/// How long a watch waits for a change, in milliseconds.
///
/// A store that has become unresponsive is noticed only after this time, and changes must take
/// effect within two seconds, then by way of another node.
const WATCH_MS: u64 = 1_000;
/// How long the response to a watch may take beyond [`WATCH_MS`], in milliseconds.
const WATCH_SLACK_MS: u64 = 300;
/// The first delay after a failure, in milliseconds.
const BACKOFF_MIN_MS: u64 = 100;
/// The maximum delay after repeated failures, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2_000;
/// How long after an outage of the store a removal may be a lapsed lease, in milliseconds; live
/// backend servers are listed again within two seconds.
const LAPSE_MS: u64 = 2_000;
/// The time between two checks whether this node should watch the store, in milliseconds.
const IDLE_CHECK_MS: u64 = 100;
/// How much longer a node waits before it begins to watch for each candidate with a higher rank,
/// in milliseconds.
const RANK_DELAY_MS: u64 = 150;
/// The maximum of that wait, in milliseconds; well below the two seconds for a change to take
/// effect.
const RANK_DELAY_MAX_MS: u64 = 1_200;
/// How many nodes begin to watch at once when all watchers are lost, since the store may be
/// unresponsive for some of the new ones too.
const BATCH: u64 = 48;
/// The maximum random delay before a node without peers begins to watch, in milliseconds; the
/// first node to watch finds all others and links to them.
const ALONE_MAX_MS: u64 = 3_000;
/// The time between the response to a watch and the next watch, in milliseconds, so that changes
/// in quick succession arrive together.
const COALESCE_MS: u64 = 150;
/// The time allowed for links to the peers to come up after the start, in milliseconds.
const LINK_MS: u64 = 150;
/// The time between two checks of what the peers have sent, in milliseconds.
const PEER_CHECK_MS: u64 = 10;
/// How long the watch that brings a stale read up to date waits for changes, in milliseconds.
const CATCH_UP_MS: u64 = 0;
/// The maximum random delay before a node reads a store that came back from a copy, in
/// milliseconds, so that most nodes learn the list from the first one to read it.
const RETURN_SPREAD_MS: u64 = 200;

/// The calls to the store, and whether the store is available.
struct StoreReader {
    node: Rc<Node>,
    client: StoreClient,
    failed: bool,
    lost_at: Millis,
    /// Until when removals may be lapsed leases, in milliseconds of the node's clock.
    lapse_until: u64,
}

/// Reads and watches the store until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut reader = StoreReader {
        client: StoreClient::new(Rc::clone(&node)),
        node,
        failed: false,
        lost_at: Millis::default(),
        lapse_until: 0,
    };
    let mut backoff = BACKOFF_MIN_MS;
    while let Err(e) = reader.begin().await {
        reader.client.disconnect();
        reader.record_failure(&e);
        // While the store is unavailable, the state of the peers is the best available.
        gossip::confirm(&reader.node, "nobody");
        pause(&mut backoff).await;
    }
    sleep(Duration::from_millis(LINK_MS)).await;
    loop {
        reader.wait_turn().await;
        let result = reader.watch_changes(&mut backoff).await;
        reader.client.disconnect();
        gossip::set_watching(&reader.node, false);
        match result {
            Ok(()) => continue,
            Err(e) => reader.record_failure(&e),
        }
        pause(&mut backoff).await;
    }
}

/// Waits after a failure, with randomised exponential backoff.
async fn pause(backoff: &mut u64) {
    let wait = rand::rng().random_range(*backoff / 2..=*backoff);
    sleep(Duration::from_millis(wait)).await;
    *backoff = (*backoff * 2).min(BACKOFF_MAX_MS);
}

impl StoreReader {
    /// Waits until too few other nodes watch the store, and those with a higher rank have had
    /// time to begin.
    async fn wait_turn(&self) {
        let mut waited = 0;
        let alone = match self.node.settings.first_start {
            true => rand::rng().random_range(0..ALONE_MAX_MS),
            false => 0,
        };
        loop {
            let ahead = self.node.candidates_ahead() as u64;
            let turn = match self.node.peers.borrow().is_empty() {
                true => alone,
                false if self.node.has_lost_watchers() => ahead / BATCH * RANK_DELAY_MS,
                false => ahead * RANK_DELAY_MS,
            };
            let turn = turn.min(RANK_DELAY_MAX_MS.max(alone));
            match self.node.should_watch() {
                true if waited >= turn => return,
                true => waited += IDLE_CHECK_MS,
                false => waited = 0,
            }
            sleep(Duration::from_millis(IDLE_CHECK_MS)).await;
        }
    }

    /// Reads a stale page of the store to find the first peers, and gets the current state from them.
    ///
    /// On the first start of the whole system the stale state may be used at once. The list then
    /// counts as incomplete, so that newer changes come from peers or from a watch. A restarted
    /// node uses only the current state, since addresses may have been given to other backend
    /// servers: it asks its peers, and reads everything if none of them has the state in time. If
    /// one page holds everything, a watch brings it up to date at once.
    async fn begin(&mut self) -> Result<(), StoreReadError> {
        let path = range_path(ALL_KEYS, None, true);
        let range: Range = self
            .client
            .call("start", &path, READ_TIMEOUT_MS, parse_range)
            .await?;
        self.log_rejected(&range.broken, range.position);
        if self.node.settings.first_start {
            self.apply_items(range.items);
            gossip::apply_list(&self.node);
            return Ok(());
        }
        if range.more.is_none() {
            return self.catch_up(range.items, range.position).await.map(drop);
        }
        let trail = &self.node.trail;
        let updates = range
            .items
            .into_iter()
            .filter_map(|item| item_update(trail, item));
        let records: Vec<ServerRecord> = updates.filter_map(|update| update.record).collect();
        gossip::add_peers(&self.node, &records);
        match self.wait_current().await {
            true => gossip::confirm(&self.node, "peer"),
            false => {
                self.read_all().await?;
            }
        }
        Ok(())
    }

    /// Waits until the peers have brought this node up to date; returns false when the time that
    /// they have for it is over.
    async fn wait_current(&self) -> bool {
        let begun = self.node.now();
        loop {
            if self.node.is_current() {
                return true;
            }
            let waited = self.node.now().since(begun);
            if waited >= self.node.peer_wait_ms() {
                return false;
            }
            sleep(Duration::from_millis(PEER_CHECK_MS)).await;
        }
    }

    /// Applies the items of a stale read.
    fn apply_items(&self, items: Vec<Item>) {
        for item in items {
            if item.key == CONFIG_KEY {
                gossip::apply_routes(&self.node, item.value);
            } else if let Some(update) = zone_update(&item.key, true, item.position) {
                self.node.list.borrow_mut().apply_zone(update);
            } else if let Some(update) = item_update(&self.node.trail, item) {
                let now = self.node.now();
                self.node.list.borrow_mut().apply(now, update);
            }
        }
    }

    /// Reads the state if this node lacks it, then watches for changes until a call fails or enough
    /// other nodes watch.
    async fn watch_changes(&mut self, backoff: &mut u64) -> Result<(), StoreReadError> {
        let known = self.node.list.borrow().position();
        let mut position = match known.is_known() && self.node.version() > 0 {
            true => known,
            false => self.read_all().await?,
        };
        while self.node.should_watch() {
            let watch = match self.watch(position, WATCH_MS).await {
                Err(StoreReadError::Store {
                    source: StoreError::Compacted,
                }) => {
                    self.node.trail.note(Decision::StoreCompacted { position });
                    position = self.read_lost(position).await?;
                    continue;
                }
                result => result?,
            };
            *backoff = BACKOFF_MIN_MS;
            self.record_success();
            if watch.position.era > position.era {
                position = self.read_lost(position).await?;
                continue;
            }
            self.record_confirmation();
            position = watch.position;
            self.apply_watch(watch);
            gossip::set_watching(&self.node, true);
            sleep(Duration::from_millis(COALESCE_MS)).await;
        }
        Ok(())
    }

    /// Reads the state after the store has lost the changes since `position`, and returns the
    /// position to watch from.
    ///
    /// If the store came back from a copy, a peer may be faster; its list is then used.
    async fn read_lost(
        &mut self,
        position: StorePosition,
    ) -> Result<StorePosition, StoreReadError> {
        if self.node.store_era() <= position.era {
            return self.read_current().await;
        }
        let spread = rand::rng().random_range(0..RETURN_SPREAD_MS);
        sleep(Duration::from_millis(spread)).await;
        let known = self.node.list.borrow().position();
        match known.era >= self.node.store_era() {
            true => Ok(known),
            false => self.read_all().await,
        }
    }

    /// Reads the routes and the whole list, and returns the position to watch from.
    ///
    /// A stale read costs a tenth of a current one, and a watch from its position brings the
    /// changes since then. A stale read of an earlier era is of no use.
    async fn read_all(&mut self) -> Result<StorePosition, StoreReadError> {
        match self.read_pages("start", true).await {
            Ok((items, position)) => self.catch_up(items, position).await,
            Err(StoreReadError::Outdated { .. } | StoreReadError::Returned) => {
                self.read_current().await
            }
            Err(e) => Err(e),
        }
    }

    /// Applies the items of the store as of `position` and the changes since then, and returns the
    /// position to watch from.
    async fn catch_up(
        &mut self,
        items: Vec<Item>,
        position: StorePosition,
    ) -> Result<StorePosition, StoreReadError> {
        let changes = match self.watch(position, CATCH_UP_MS).await {
            Err(StoreReadError::Store {
                source: StoreError::Compacted,
            }) => return self.read_current().await,
            result => result?,
        };
        // The revisions of another era are not those of the items.
        if changes.position.era != position.era {
            return self.read_current().await;
        }
        self.record_success();
        self.replace_list(items, position);
        let position = changes.position;
        self.apply_watch(changes);
        Ok(self.finish_read(position))
    }

    /// Puts a complete read of the store in effect.
    fn replace_list(&self, items: Vec<Item>, position: StorePosition) {
        let mut servers = Vec::new();
        let mut zones = Vec::new();
        for item in items {
            if item.key == CONFIG_KEY {
                gossip::apply_routes(&self.node, item.value);
            } else if let Some(update) = zone_update(&item.key, true, item.position) {
                zones.push(update);
            } else {
                servers.extend(item_update(&self.node.trail, item));
            }
        }
        let lapsed = self.may_be_lapsed();
        let now = self.node.now();
        let mut list = self.node.list.borrow_mut();
        list.replace_zones(&zones, position);
        let returned = list.replace(now, servers, position, lapsed);
        drop(list);
        if let Some(returned) = returned {
            gossip::note_return(&self.node, returned, Origin::Store);
        }
    }

    /// Reads all pages, and returns their items with the oldest position of the pages; later changes
    /// may be missing, as pages are not a snapshot. A stale read may lack more of them.
    async fn read_pages(
        &mut self,
        cause: &'static str,
        stale: bool,
    ) -> Result<(Vec<Item>, StorePosition), StoreReadError> {
        let mut items = Vec::new();
        let mut after: Option<CompactString> = None;
        let mut oldest: Option<StorePosition> = None;
        loop {
            let path = range_path(ALL_KEYS, after.as_deref(), stale);
            let range: Range = self
                .client
                .call(cause, &path, READ_TIMEOUT_MS, parse_range)
                .await?;
            self.log_rejected(&range.broken, range.position);
            let known = *oldest.get_or_insert(range.position);
            ensure!(known.era == range.position.era, ReturnedSnafu);
            let position = known.min(range.position);
            oldest = Some(position);
            items.extend(range.items);
            match range.more {
                Some(key) => after = Some(key),
                None => return Ok((items, position)),
            }
        }
    }

    /// Reads the current routes, evacuations and the whole current list.
    async fn read_current(&mut self) -> Result<StorePosition, StoreReadError> {
        let (items, position) = self.read_pages("list", false).await?;
        self.record_success();
        self.replace_list(items, position);
        Ok(self.finish_read(position))
    }

    /// Applies the list that was read, confirms the state, and returns its position.
    fn finish_read(&self, position: StorePosition) -> StorePosition {
        self.record_confirmation();
        self.node.confirmed.set(true);
        gossip::apply_list(&self.node);
        gossip::announce_all(&self.node);
        let servers = self.node.list.borrow().servers().count() as u64;
        self.node
            .trail
            .note(Decision::StoreRead { position, servers });
        position
    }

    /// Records that the store has just confirmed the state of this node.
    fn record_confirmation(&self) {
        self.node.store_confirmed.set(Some(self.node.now()));
    }

    fn log_rejected(&self, broken: &[InvalidItem], position: StorePosition) {
        for InvalidItem { key, error } in broken {
            let key = key.as_deref().unwrap_or_default();
            let error = error.to_string();
            self.node.trail.item_rejected(key, position, &error);
        }
    }

    /// Waits for the changes after a position.
    async fn watch(
        &mut self,
        position: StorePosition,
        wait_ms: u64,
    ) -> Result<Watch, StoreReadError> {
        let path = watch_path(ALL_KEYS, position.revision, wait_ms);
        let timeout_ms = WATCH_MS + WATCH_SLACK_MS;
        self.client
            .call("watch", &path, timeout_ms, parse_watch)
            .await
    }

    /// Applies the changes that a watch returned.
    fn apply_watch(&mut self, watch: Watch) {
        let lapsed = self.may_be_lapsed();
        let now = self.node.now();
        let mut changed = false;
        self.log_rejected(&watch.broken, watch.position);
        for Event {
            key,
            change,
            position,
        } in watch.events
        {
            if key == CONFIG_KEY {
                if let Change::Put(text) = change {
                    gossip::apply_routes(&self.node, text);
                }
                continue;
            }
            let value = match &change {
                Change::Put(value) => Some(value.as_slice()),
                Change::Deleted => None,
            };
            if let Some(update) = zone_update(&key, value.is_some(), position) {
                changed |= self.node.list.borrow_mut().apply_zone(update);
                continue;
            }
            if let Some(update) = key_update(&self.node.trail, &key, value, position, lapsed) {
                changed |= self.node.list.borrow_mut().apply(now, update);
            }
        }
        self.node.list.borrow_mut().advance(watch.position);
        if changed {
            gossip::apply_list(&self.node);
            gossip::announce_all(&self.node);
        }
    }

    fn may_be_lapsed(&self) -> bool {
        self.node.now().0 < self.lapse_until
    }

    fn record_failure(&mut self, e: &StoreReadError) {
        if !self.failed {
            self.lost_at = self.node.now();
            self.node.trail.note(Decision::StoreLost {
                error: clip(&e.to_string()),
                position: self.node.list.borrow().position(),
            });
        }
        self.failed = true;
    }

    fn record_success(&mut self) {
        if self.failed {
            let now = self.node.now();
            self.node.trail.note(Decision::StoreBack {
                lost_ms: now.since(self.lost_at),
                position: self.node.list.borrow().position(),
            });
            // If a peer still watches the store, the store was available and only rejected this node.
            if !self.node.has_watching_peer() {
                self.lapse_until = now.0 + LAPSE_MS;
            }
        }
        self.failed = false;
    }
}

/// Returns the start or the end of an evacuation, or none if the key is not that of one.
fn zone_update(key: &str, evacuated: bool, position: StorePosition) -> Option<ZoneUpdate> {
    Some(ZoneUpdate {
        zone: parse_evacuated_zone(key)?.into(),
        position,
        evacuated,
    })
}

/// Returns the update of an item of the server list, or none for other items.
fn item_update(trail: &Trail, item: Item) -> Option<ServerUpdate> {
    key_update(trail, &item.key, Some(&item.value), item.position, false)
}

/// Returns the update of a key of the server list, or none for other keys.
fn key_update(
    trail: &Trail,
    key: &str,
    value: Option<&[u8]>,
    position: StorePosition,
    lapsed: bool,
) -> Option<ServerUpdate> {
    let id = key.strip_prefix(SERVERS_PREFIX)?;
    let record = match value.map(|v| parse_entry(key, v)) {
        Some(Ok(record)) => Some(record),
        Some(Err(e)) => {
            trail.item_rejected(key, position, &e.to_string());
            None
        }
        None => None,
    };
    Some(ServerUpdate {
        id: id.into(),
        position,
        lapsed: lapsed && value.is_none(),
        record,
        kept: None,
    })
}
