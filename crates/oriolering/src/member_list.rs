//! The cluster members: the platform's list, corrected by gossip from the members themselves.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, Member, Millis};

/// The maximum number of members.
pub const MEMBERS_MAX: usize = 16_384;
/// The maximum age of an update that is sent or applied, in milliseconds.
pub const UPDATE_AGE_MAX_MS: u32 = 10 * 60 * 1000;

/// On average, one in this many random peers is outside the availability zone of the node.
const REMOTE_ONE_IN: u32 = 4;

/// The state of a member, as exchanged in gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The id of the member.
    pub id: CompactString,
    /// The incarnation that the update is about.
    pub incarnation: Incarnation,
    /// Whether that incarnation announced that it is leaving.
    pub leaving: bool,
    /// The time since that incarnation itself was last heard from, in milliseconds.
    pub age_ms: u32,
}

/// The members as one node knows them, ordered by id.
#[derive(Clone, Debug)]
pub struct MemberList {
    own_id: CompactString,
    zone: CompactString,
    entries: Vec<Entry>,
    changed: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// Whether the platform's list says that the member is leaving.
    listed_leaving: bool,
    /// The last incarnation that announced that it is leaving.
    departed: Option<Incarnation>,
    /// The value of `departed` when the platform's list last turned to leaving.
    listed_departed: Option<Incarnation>,
    /// Whether the platform's list refers to an incarnation that has been replaced.
    listed_stale: bool,
    /// When the member was last heard from, in milliseconds; may be before the clock's start.
    last_heard: Option<i64>,
}

impl Entry {
    fn new(listed: &Member) -> Self {
        let mut member = listed.clone();
        member.incarnation = None;
        member.leaving = false;
        Self {
            member,
            listed_leaving: false,
            departed: None,
            listed_departed: None,
            listed_stale: false,
            last_heard: None,
        }
    }

    /// Takes the addresses and the leaving state from the platform's list.
    ///
    /// If the list turns to leaving only after the departed incarnation was replaced, it refers
    /// to that incarnation and does not make the new one leaving.
    fn apply_listed(&mut self, listed: &Member) {
        if listed.leaving && !self.listed_leaving {
            let replaced = self.departed.is_some() && self.departed != self.member.incarnation;
            self.listed_stale = replaced && self.listed_departed != self.departed;
            self.listed_departed = self.departed;
        }
        self.listed_leaving = listed.leaving;
        self.member = Member {
            leaving: self.member.leaving,
            incarnation: self.member.incarnation,
            ..listed.clone()
        };
    }

    /// Applies an update; returns whether it reports a departure or a new incarnation.
    fn apply(&mut self, update: &MemberUpdate, heard: i64) -> bool {
        let known = self.member.incarnation;
        let replaced = known.is_some_and(|known| known != update.incarnation);
        if replaced && Some(heard) <= self.last_heard {
            return false;
        }
        self.member.incarnation = Some(update.incarnation);
        self.last_heard = self.last_heard.max(Some(heard));
        let departed = update.leaving && self.departed != Some(update.incarnation);
        if departed {
            self.departed = Some(update.incarnation);
        }
        departed || replaced
    }

    fn is_leaving(&self) -> bool {
        let departed = self.departed.is_some() && self.departed == self.member.incarnation;
        departed || (self.listed_leaving && !self.listed_stale)
    }

    /// Returns the update to send, unless it is too old.
    fn update(&self, now: Millis) -> Option<MemberUpdate> {
        let incarnation = self.member.incarnation?;
        let age = now.0 as i64 - self.last_heard?;
        if age > i64::from(UPDATE_AGE_MAX_MS) {
            return None;
        }
        Some(MemberUpdate {
            id: self.member.id.clone(),
            incarnation,
            leaving: self.departed == Some(incarnation),
            age_ms: age.max(0) as u32,
        })
    }
}

impl MemberList {
    /// Returns an empty list for the node `own`.
    pub fn new(own: &Member) -> Self {
        Self {
            own_id: own.id.clone(),
            zone: own.zone.clone(),
            entries: Vec::new(),
            changed: false,
        }
    }

    /// Replaces the set of members by the platform's list and keeps what gossip has reported.
    pub fn replace(&mut self, list: &[Member]) {
        let mut entries = Vec::with_capacity(list.len());
        for listed in list.iter().take(MEMBERS_MAX) {
            let mut entry = match self.find(&listed.id) {
                Some(ix) => self.entries[ix].clone(),
                None => Entry::new(listed),
            };
            entry.apply_listed(listed);
            entry.member.leaving = entry.is_leaving();
            entries.push(entry);
        }
        entries.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        entries.dedup_by(|a, b| a.member.id == b.member.id);
        self.entries = entries;
        self.changed = true;
    }

    /// Applies an update; returns whether it should be forwarded, because it reports a departure
    /// or an incarnation that replaced another.
    ///
    /// Of two incarnations, the one heard from last is current. An incarnation that has departed
    /// stays departed.
    pub fn apply(&mut self, now: Millis, update: &MemberUpdate) -> bool {
        let Some(ix) = self.find(&update.id) else {
            return false;
        };
        if update.age_ms > UPDATE_AGE_MAX_MS {
            return false;
        }
        let entry = &mut self.entries[ix];
        let before = (entry.member.incarnation, entry.member.leaving);
        let forward = entry.apply(update, now.0 as i64 - i64::from(update.age_ms));
        entry.member.leaving = entry.is_leaving();
        self.changed |= before != (entry.member.incarnation, entry.member.leaving);
        forward
    }

    /// Returns up to `limit` updates: at most half of them the latest departures, the rest about
    /// random members.
    pub fn updates(&self, now: Millis, limit: usize, rng: &mut impl Rng) -> Vec<MemberUpdate> {
        let mut updates: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.departed.is_some() && entry.departed == entry.member.incarnation)
            .filter_map(|entry| entry.update(now))
            .collect();
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(limit / 2);
        let others = self
            .entries
            .choose_multiple(rng, limit - updates.len())
            .filter_map(|entry| entry.update(now));
        updates.extend(others);
        updates
    }

    /// Returns the members if they changed since the last call.
    pub fn take_changed(&mut self) -> Option<Arc<[Member]>> {
        std::mem::take(&mut self.changed).then(|| self.members())
    }

    /// Returns all members, ordered by id.
    pub fn members(&self) -> Arc<[Member]> {
        self.iter().cloned().collect()
    }

    /// Returns an iterator over the members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().map(|entry| &entry.member)
    }

    /// Returns the member `id`.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.find(id).map(|ix| &self.entries[ix].member)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the platform's list is not known yet or empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the member `id` if `ip` is its listed control address; verifies the claim of a peer
    /// that connects from `ip`.
    pub fn verify_peer(&self, id: &str, ip: IpAddr) -> Option<&Member> {
        self.get(id).filter(|member| member.control.ip() == ip)
    }

    /// Returns an iterator over the members, each with whether it was heard from within `age_ms`.
    pub fn heard_within(&self, now: Millis, age_ms: u64) -> impl Iterator<Item = (&Member, bool)> {
        let since = (now.0 as i64).saturating_sub_unsigned(age_ms);
        self.entries
            .iter()
            .map(move |entry| (&entry.member, entry.last_heard >= Some(since)))
    }

    /// Returns up to `count` random peers, most of them in the node's availability zone.
    pub fn random_peers(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut peers = Vec::with_capacity(count);
        for _ in 0..count * 2 {
            let Some(peer) = self.random_peer(rng) else {
                break;
            };
            if peers.len() < count && !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        peers
    }

    /// Returns a random peer, from the wanted side of the availability zone if one is found within
    /// a few attempts.
    fn random_peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        const ATTEMPTS: usize = 32;
        let remote = rng.random_ratio(1, REMOTE_ONE_IN);
        let mut fallback = None;
        for _ in 0..ATTEMPTS {
            let member = &self.entries.choose(rng)?.member;
            if member.id == self.own_id {
                continue;
            }
            fallback = Some(member.control);
            if (member.zone != self.zone) == remote {
                break;
            }
        }
        fallback
    }

    fn find(&self, id: &str) -> Option<usize> {
        self.entries
            .binary_search_by(|entry| entry.member.id.as_str().cmp(id))
            .ok()
    }
}
