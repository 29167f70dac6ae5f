//! One entry of the list of backend servers, and what is believed of it while the store may be
//! behind.

use crate::{KeptRecord, Millis, ServerRecord, ServerState, ServerUpdate, StorePosition};

/// How long earlier knowledge is kept after an outage of the store or its return from a copy, in
/// milliseconds.
///
/// A live backend server is listed again within two seconds after the store is back.
const KEEP_MS: u64 = 2_000;

/// Earlier knowledge that is believed in place of what the store says.
#[derive(Clone, Debug)]
struct Kept {
    position: StorePosition,
    record: Option<ServerRecord>,
    until: Millis,
}

/// What the store says of one backend server, and what is believed instead for a while.
#[derive(Clone, Debug)]
pub(crate) struct ServerEntry {
    pub(crate) position: StorePosition,
    pub(crate) record: Option<ServerRecord>,
    pub(crate) changed: Millis,
    kept: Option<Kept>,
}

impl ServerEntry {
    /// Returns the entry that results from an update which is newer than what is `known`.
    pub(crate) fn updated(now: Millis, known: Option<&Self>, update: ServerUpdate) -> Self {
        let own = known.and_then(|entry| entry.kept_after(now, &update));
        let sent = update.kept.map(|kept| Kept {
            position: kept.position,
            record: kept.record,
            until: now + kept.left_ms.min(KEEP_MS),
        });
        let kept = own.into_iter().chain(sent).max_by_key(|k| k.position);
        Self {
            position: update.position,
            record: update.record,
            changed: now,
            kept,
        }
    }

    /// Returns the record to use, if the backend server counts as listed.
    pub(crate) fn live(&self) -> Option<&ServerRecord> {
        match &self.kept {
            Some(kept) => kept.record.as_ref(),
            None => self.record.as_ref(),
        }
    }

    /// Returns whether earlier knowledge is believed.
    pub(crate) fn is_kept(&self) -> bool {
        self.kept.is_some()
    }

    /// Returns whether an update at the same position confirms a removal that is not believed yet.
    pub(crate) fn is_confirmed_by(&self, update: &ServerUpdate) -> bool {
        let removed = self.record.is_none() && update.record.is_none();
        let open = self.is_kept() && !update.lapsed && update.kept.is_none();
        self.position == update.position && removed && open
    }

    /// Ends the belief in earlier knowledge when its time is over; returns whether it ended.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        let expired = self.kept.as_ref().is_some_and(|kept| kept.until <= now);
        if expired {
            self.kept = None;
        }
        expired
    }

    /// Returns the entry as an update for another node.
    pub(crate) fn to_update(&self, now: Millis, id: &str) -> ServerUpdate {
        let kept = self.kept.as_ref().map(|kept| KeptRecord {
            position: kept.position,
            record: kept.record.clone(),
            left_ms: kept.until.since(now),
        });
        ServerUpdate {
            id: id.into(),
            position: self.position,
            record: self.record.clone(),
            lapsed: self.record.is_none() && kept.is_some(),
            kept,
        }
    }

    /// Returns what is still believed of this entry after a newer update.
    fn kept_after(&self, now: Millis, update: &ServerUpdate) -> Option<Kept> {
        let believes = match update.position.era > self.position.era {
            true => self.outlives_return(update),
            false => update.record.is_none() && update.lapsed && self.live().is_some(),
        };
        believes.then(|| Kept {
            position: self.believed_position(),
            record: self.live().cloned(),
            until: now + KEEP_MS,
        })
    }

    /// Returns whether an update of a later era may merely repeat the copy from which the store
    /// came back, which is older than what is known.
    fn outlives_return(&self, update: &ServerUpdate) -> bool {
        let Some(record) = &update.record else {
            return update.lapsed && self.live().is_some();
        };
        // What is known here was written after the copy, or the copy would say the same.
        if update.position.revision > self.last_revision() || self.live() == Some(record) {
            return false;
        }
        let Some(believed) = self.live() else {
            return true;
        };
        // A backend server does not take back that it is leaving.
        match record.state {
            ServerState::Draining => record.born < believed.born,
            ServerState::Ready => record.born <= believed.born,
        }
    }

    fn believed_position(&self) -> StorePosition {
        self.kept.as_ref().map_or(self.position, |k| k.position)
    }

    /// Returns the highest revision at which anything known here was written.
    fn last_revision(&self) -> u64 {
        let believed = self.believed_position().revision;
        believed.max(self.position.revision)
    }
}
