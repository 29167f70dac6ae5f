//! The members: the platform's list, corrected by what peers say of themselves.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, Member, Millis};

/// The largest number of members.
pub const MEMBERS_MAX: usize = 16_384;
/// The greatest age of a note that is passed on or taken in.
pub const UPDATE_AGE_MAX_MS: u32 = 10 * 60 * 1000;

/// One random peer in this many is outside the availability zone.
const FAR_ONE_IN: u32 = 4;

/// What one node says of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub id: CompactString,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether that run said that it is leaving.
    pub leaving: bool,
    /// The time since that run itself was heard, in milliseconds.
    pub age_ms: u32,
}

/// The members as one node knows them, ordered by id.
#[derive(Clone, Debug)]
pub struct MemberList {
    me: CompactString,
    zone: CompactString,
    entries: Vec<Entry>,
    changed: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    listed: bool,
    departed: Option<Incarnation>,
    echoed: Option<Incarnation>,
    stale: bool,
    heard: Option<i64>,
}

impl Entry {
    fn new(listed: &Member) -> Self {
        let mut member = listed.clone();
        member.incarnation = None;
        member.leaving = false;
        Self {
            member,
            listed: false,
            departed: None,
            echoed: None,
            stale: false,
            heard: None,
        }
    }

    /// Takes over the addresses and the state of the platform's list.
    ///
    /// A list that turns to leaving after the departed run was replaced speaks of that run, so
    /// it is not held against the new one.
    fn list(&mut self, listed: &Member) {
        if listed.leaving && !self.listed {
            let replaced = self.departed.is_some() && self.departed != self.member.incarnation;
            self.stale = replaced && self.echoed != self.departed;
            self.echoed = self.departed;
        }
        self.listed = listed.leaving;
        self.member = Member {
            leaving: self.member.leaving,
            incarnation: self.member.incarnation,
            ..listed.clone()
        };
    }

    /// Takes in a note and returns whether it tells of a departure or of a new run.
    fn apply(&mut self, note: &MemberUpdate, heard: i64) -> bool {
        let known = self.member.incarnation;
        let replaced = known.is_some_and(|known| known != note.incarnation);
        if replaced && Some(heard) <= self.heard {
            return false;
        }
        self.member.incarnation = Some(note.incarnation);
        self.heard = self.heard.max(Some(heard));
        let departed = note.leaving && self.departed != Some(note.incarnation);
        if departed {
            self.departed = Some(note.incarnation);
        }
        departed || replaced
    }

    fn is_leaving(&self) -> bool {
        let departed = self.departed.is_some() && self.departed == self.member.incarnation;
        departed || (self.listed && !self.stale)
    }

    fn note(&self, now: Millis) -> Option<MemberUpdate> {
        let incarnation = self.member.incarnation?;
        let age = now.0 as i64 - self.heard?;
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
    /// Returns an empty list for the node `me`.
    pub fn new(me: &Member) -> Self {
        Self {
            me: me.id.clone(),
            zone: me.zone.clone(),
            entries: Vec::new(),
            changed: false,
        }
    }

    /// Replaces the universe of members by the platform's list and keeps what was heard.
    pub fn replace(&mut self, list: &[Member]) {
        let mut entries = Vec::with_capacity(list.len());
        for listed in list.iter().take(MEMBERS_MAX) {
            let mut entry = match self.find(&listed.id) {
                Some(ix) => self.entries[ix].clone(),
                None => Entry::new(listed),
            };
            entry.list(listed);
            entry.member.leaving = entry.is_leaving();
            entries.push(entry);
        }
        entries.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        entries.dedup_by(|a, b| a.member.id == b.member.id);
        self.entries = entries;
        self.changed = true;
    }

    /// Takes in a note and returns whether it should be passed on: it tells of a departure or
    /// of a run that replaced another.
    ///
    /// Of two runs the one that was heard later holds, and a departed run stays departed.
    pub fn apply(&mut self, now: Millis, note: &MemberUpdate) -> bool {
        let Some(ix) = self.find(&note.id) else {
            return false;
        };
        if note.age_ms > UPDATE_AGE_MAX_MS {
            return false;
        }
        let entry = &mut self.entries[ix];
        let before = (entry.member.incarnation, entry.member.leaving);
        let news = entry.apply(note, now.0 as i64 - i64::from(note.age_ms));
        entry.member.leaving = entry.is_leaving();
        self.changed |= before != (entry.member.incarnation, entry.member.leaving);
        news
    }

    /// Returns up to `limit` notes: half the latest departures, the rest at random.
    pub fn updates(&self, now: Millis, limit: usize, rng: &mut impl Rng) -> Vec<MemberUpdate> {
        let mut notes: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.departed.is_some() && entry.departed == entry.member.incarnation)
            .filter_map(|entry| entry.note(now))
            .collect();
        notes.sort_by_key(|note| note.age_ms);
        notes.truncate(limit / 2);
        let others = self
            .entries
            .choose_multiple(rng, limit - notes.len())
            .filter_map(|entry| entry.note(now));
        notes.extend(others);
        notes
    }

    /// Returns the members when they changed since the last call.
    pub fn take_changed(&mut self) -> Option<Arc<[Member]>> {
        std::mem::take(&mut self.changed).then(|| self.members())
    }

    /// Returns all members, ordered by id.
    pub fn members(&self) -> Arc<[Member]> {
        self.iter().cloned().collect()
    }

    /// Walks the members, ordered by id.
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

    /// Returns whether the platform's list is not known or names nobody.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the member that claims to be `id` and calls from `ip`, when the list agrees.
    pub fn verify_peer(&self, id: &str, ip: IpAddr) -> Option<&Member> {
        self.get(id).filter(|member| member.control.ip() == ip)
    }

    /// Walks the members with whether each was heard within `age_ms`.
    pub fn heard_within(&self, now: Millis, age_ms: u64) -> impl Iterator<Item = (&Member, bool)> {
        let after = (now.0 as i64).saturating_sub_unsigned(age_ms);
        self.entries
            .iter()
            .map(move |entry| (&entry.member, entry.heard >= Some(after)))
    }

    /// Returns up to `count` random peers, most of them in the node's availability zone.
    pub fn random_peers(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut peers = Vec::with_capacity(count);
        for _ in 0..count * 2 {
            let Some(peer) = self.peer(rng) else {
                break;
            };
            if peers.len() < count && !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        peers
    }

    /// Returns a random peer; the few draws that miss fall back to any peer.
    fn peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        const DRAWS: usize = 32;
        let far = rng.random_ratio(1, FAR_ONE_IN);
        let mut fallback = None;
        for _ in 0..DRAWS {
            let member = &self.entries.choose(rng)?.member;
            if member.id == self.me {
                continue;
            }
            fallback = Some(member.control);
            if (member.zone != self.zone) == far {
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
