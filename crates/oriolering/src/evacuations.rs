//! The availability zones whose backend servers get no requests, merged by position in the store.

use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::StorePosition;

/// The start or the end of the evacuation of an availability zone, as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneUpdate {
    /// The name of the availability zone.
    pub zone: CompactString,
    /// The store's position of the change.
    pub position: StorePosition,
    /// Whether the zone is evacuated from this position on.
    pub evacuated: bool,
}

/// The evacuations of availability zones, and the ends of earlier ones.
///
/// Of two updates of one zone the one with the later position wins, so the order in which updates
/// arrive does not matter. Ended evacuations are kept, so that an update that arrives late does not
/// start one again; there are as few of them as zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    zones: HashMap<CompactString, (StorePosition, bool)>,
}

impl Evacuations {
    /// Applies an update, and returns whether the evacuation of the zone began or ended.
    pub(crate) fn apply(&mut self, update: ZoneUpdate) -> bool {
        let ZoneUpdate {
            zone,
            position,
            evacuated,
        } = update;
        let known = self.zones.get(&zone);
        if known.is_some_and(|(at, _)| *at >= position) {
            return false;
        }
        let before = known.is_some_and(|(_, evacuated)| *evacuated);
        self.zones.insert(zone, (position, evacuated));
        before != evacuated
    }

    /// Applies a complete read at `position`, and returns whether any evacuation began or ended.
    ///
    /// Evacuations that are missing from it have ended, unless they are known to be newer.
    pub(crate) fn replace(&mut self, updates: &[ZoneUpdate], position: StorePosition) -> bool {
        let is_listed = |zone: &CompactString| updates.iter().any(|u| u.zone == *zone);
        let active = self.zones.iter().filter(|(_, (_, evacuated))| *evacuated);
        let ended: Vec<ZoneUpdate> = active
            .filter(|(zone, _)| !is_listed(zone))
            .map(|(zone, _)| ZoneUpdate {
                zone: zone.clone(),
                position,
                evacuated: false,
            })
            .collect();
        let mut changed = false;
        for update in updates.iter().cloned().chain(ended) {
            changed |= self.apply(update);
        }
        changed
    }

    /// Returns whether a zone is evacuated.
    pub(crate) fn contains(&self, zone: &str) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|(_, evacuated)| *evacuated)
    }

    /// Returns the evacuated zones.
    pub(crate) fn active(&self) -> impl Iterator<Item = &CompactString> {
        let active = self.zones.iter().filter(|(_, (_, evacuated))| *evacuated);
        active.map(|(zone, _)| zone)
    }

    /// Returns the changes after `position`, or all evacuations and ends if `whole`.
    pub(crate) fn updates_since(&self, position: StorePosition, whole: bool) -> Vec<ZoneUpdate> {
        let newer = self
            .zones
            .iter()
            .filter(|(_, (at, _))| whole || *at > position);
        newer
            .map(|(zone, (position, evacuated))| ZoneUpdate {
                zone: zone.clone(),
                position: *position,
                evacuated: *evacuated,
            })
            .collect()
    }
}
