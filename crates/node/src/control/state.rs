//! What the tasks of the control part share.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compact_str::CompactString;
use oriolering::{
    Clock, ControlBudget, ControlWork, Document, DocumentStore, Grant, Head, Incarnation, Member,
    MemberList, MemberUpdate, Millis, QuarantineEntry, QuarantineTable, RevisionOrder, TokenBucket,
    is_reader,
};
use parking_lot::{Mutex, MutexGuard};
use smallvec::SmallVec;
use tokio::sync::{Notify, watch};

use super::list;
use super::message::{Beat, Kind, NOTES_MAX, QUARANTINES_MAX};
use super::settings::{ControlSettings, Hooks};
use super::status::{ControlCounts, Rejected};
use super::usage::{Usage, thread_cpu_us};

/// Offers of newer values that wait to be pulled.
const OFFERS_MAX: usize = 4;
/// Notes that wait to be passed on.
const NEWS_MAX: usize = 1_024;
/// Rejected revisions that are kept for the status.
const REJECTED_MAX: usize = 8;
/// Sessions that strangers may open at once, and each second over time.
const GUEST_BURST: u64 = 32;
const GUEST_RATE: u64 = 1;
/// Strangers with a session, who may inquire about their attempts.
const GUESTS_MAX: usize = 256;
/// Values up to this size are validated without a thread of their own.
const INLINE_BYTES: usize = 16 << 10;
/// Notes sent in each exchange.
const NOTES_SENT: usize = NOTES_MAX / 2;

/// A newer value that a peer holds.
pub(crate) type Offer = (Head, SocketAddr);

/// A stranger with the session that it opened here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Guest {
    pub(crate) id: CompactString,
    pub(crate) ip: IpAddr,
    pub(crate) grant: Grant,
}

/// The state behind the lock.
pub(crate) struct State {
    pub(crate) relays: [DocumentStore; 2],
    pub(crate) since: [Millis; 2],
    pub(crate) seen: [u64; 2],
    pub(crate) offers: [SmallVec<[Offer; OFFERS_MAX]>; 2],
    pub(crate) pulling: [u64; 2],
    pub(crate) roster: MemberList,
    pub(crate) spread: QuarantineTable,
    pub(crate) budget: ControlBudget,
    pub(crate) guests: VecDeque<Guest>,
    pub(crate) opens: TokenBucket,
    pub(crate) news: Vec<MemberUpdate>,
    pub(crate) fresh: bool,
    pub(crate) rejected: VecDeque<Rejected>,
    pub(crate) counts: ControlCounts,
    invalid: [Option<Head>; 2],
    conflict: [u64; 2],
}

/// What the tasks and the handle share.
pub(crate) struct Shared {
    pub(crate) settings: ControlSettings,
    pub(crate) hooks: Hooks,
    pub(crate) clock: Clock,
    pub(crate) usage: Arc<Usage>,
    pub(crate) incarnation: Incarnation,
    pub(crate) offered: [Notify; 2],
    pub(crate) flush: Notify,
    pub(crate) heard: Notify,
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) left: AtomicBool,
    pub(crate) asked: AtomicBool,
    state: Mutex<State>,
}

impl Shared {
    /// Returns the state of a node that knows nothing yet.
    pub(crate) fn new(settings: ControlSettings, hooks: Hooks, incarnation: Incarnation) -> Self {
        let clock = Clock::system();
        let now = clock.now();
        let state = State {
            relays: Default::default(),
            since: [now; 2],
            seen: [0; 2],
            offers: Default::default(),
            pulling: [0; 2],
            roster: MemberList::new(&settings.me),
            spread: QuarantineTable::default(),
            budget: ControlBudget::new(settings.bytes_rate, settings.cpu_rate, now),
            guests: VecDeque::new(),
            opens: TokenBucket::new(GUEST_RATE, GUEST_BURST, now),
            news: Vec::new(),
            fresh: false,
            rejected: VecDeque::new(),
            counts: ControlCounts::default(),
            invalid: [None; 2],
            conflict: [0; 2],
        };
        Self {
            settings,
            hooks,
            clock,
            usage: Arc::default(),
            incarnation,
            offered: [Notify::new(), Notify::new()],
            flush: Notify::new(),
            heard: Notify::new(),
            changed: watch::Sender::new(0),
            left: AtomicBool::new(false),
            asked: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// Locks the state; never held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Returns whether this node is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.left.load(Ordering::Relaxed) || (self.hooks.leaving)()
    }

    /// Returns the note of this node about itself.
    pub(crate) fn own_note(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.settings.me.id.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            age_ms: 0,
        }
    }

    /// Marks this node as leaving and tells the peers.
    pub(crate) fn leave(&self) {
        self.left.store(true, Ordering::Relaxed);
        let note = self.own_note();
        let mut state = self.state();
        state.roster.apply(self.clock.now(), &note);
        state.news.push(note);
        drop(state);
        self.heard.notify_one();
        self.flush.notify_one();
    }

    /// Takes in a quarantine of this node and tells the peers.
    pub(crate) fn quarantine(&self, entry: QuarantineEntry) {
        let mut state = self.state();
        if state.spread.insert(self.clock.now(), entry) {
            state.fresh = true;
            self.flush.notify_one();
        }
    }

    /// Returns whether this node reads values of `kind` for its availability zone.
    pub(crate) fn is_reader(&self, kind: Kind) -> bool {
        let state = self.state();
        let salt = state.relays[kind.index()].head().revision;
        let members = state.roster.members();
        drop(state);
        is_reader(&members, &self.settings.me.id, salt, self.settings.readers)
    }

    /// Returns what this node tells a peer.
    pub(crate) fn beat(&self) -> Beat {
        let now = self.clock.now();
        let own = self.own_note();
        let mut state = self.state();
        state.roster.apply(now, &own);
        let mut notes = vec![own];
        notes.extend(state.roster.updates(now, NOTES_SENT, &mut rand::rng()));
        let quarantines = match state.budget.allows(now, ControlWork::Gossip) {
            true => state.spread.entries(now, QUARANTINES_MAX),
            false => Vec::new(),
        };
        Beat {
            heads: state.heads(),
            notes,
            quarantines,
        }
    }

    /// Takes in what a peer at `control` told and passes on what is news.
    pub(crate) fn take_in(&self, beat: Beat, control: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.state();
        for note in beat.notes {
            let own = note.id == self.settings.me.id;
            if !own && state.roster.apply(now, &note) && state.news.len() < NEWS_MAX {
                state.news.push(note);
            }
        }
        let fresh: Vec<_> = beat
            .quarantines
            .into_iter()
            .filter(|&entry| state.spread.insert(now, entry))
            .collect();
        for kind in Kind::ALL {
            if state.offer(kind, beat.heads[kind.index()], control) {
                self.offered[kind.index()].notify_one();
            }
        }
        state.fresh |= !fresh.is_empty();
        let urgent = !state.news.is_empty() || state.fresh;
        drop(state);
        self.heard.notify_one();
        if urgent {
            self.flush.notify_one();
        }
        if !fresh.is_empty() {
            (self.hooks.quarantined)(&fresh);
        }
    }

    /// Validates a newer value and puts it in force; returns whether it did.
    pub(crate) async fn install(self: &Arc<Self>, kind: Kind, document: Document) -> bool {
        let ix = kind.index();
        let standing = self.state().relays[ix].record_offer(&document.head);
        if standing != RevisionOrder::Newer {
            return false;
        }
        let list = match self.validate(kind, &document).await {
            Ok(list) => list,
            Err(reason) => {
                self.state().reject(kind, document.head, &reason);
                return false;
            }
        };
        let now = self.clock.now();
        let value = Arc::clone(&document.value);
        let mut state = self.state();
        if !state.relays[ix].accept(document) {
            return false;
        }
        state.since[ix] = now;
        state.seen[ix] = state.seen[ix].max(value.revision);
        if kind == Kind::Instances {
            state.roster.replace(&list);
        }
        drop(state);
        if kind == Kind::Configuration {
            (self.hooks.configured)(value);
        }
        self.changed.send_modify(|version| *version += 1);
        self.heard.notify_one();
        self.flush.notify_one();
        true
    }

    /// Checks a value; the members are returned for a list of instances.
    async fn validate(
        self: &Arc<Self>,
        kind: Kind,
        document: &Document,
    ) -> Result<Vec<Member>, String> {
        let shared = Arc::clone(self);
        let value = Arc::clone(&document.value);
        let check = move || match kind {
            Kind::Configuration => (shared.hooks.validate)(&value.text).map(|()| Vec::new()),
            Kind::Instances => list::parse(&value.text),
        };
        if document.value.text.len() <= INLINE_BYTES {
            return check();
        }
        let usage = Arc::clone(&self.usage);
        let work = tokio::task::spawn_blocking(move || {
            let start = thread_cpu_us();
            let verdict = check();
            let used = thread_cpu_us().saturating_sub(start);
            usage.cpu_us.fetch_add(used, Ordering::Relaxed);
            verdict
        });
        work.await
            .unwrap_or_else(|error| Err(format!("the validation broke off: {error}")))
    }
}

impl State {
    /// Returns the values in force, by [`Kind::index`].
    pub(crate) fn heads(&self) -> [Head; 2] {
        Kind::ALL.map(|kind| self.relays[kind.index()].head())
    }

    /// Notes that the peer at `control` holds `head`; returns whether it is worth a pull.
    fn offer(&mut self, kind: Kind, head: Head, control: SocketAddr) -> bool {
        let ix = kind.index();
        match self.relays[ix].head().compare(&head) {
            RevisionOrder::Newer => {}
            RevisionOrder::Conflict => {
                self.note_conflict(kind, &head);
                return false;
            }
            RevisionOrder::Same | RevisionOrder::Older => return false,
        }
        let offers = &mut self.offers[ix];
        if self.invalid[ix] == Some(head) || offers.contains(&(head, control)) {
            return false;
        }
        offers.push((head, control));
        offers.sort_by_key(|(head, _)| std::cmp::Reverse(head.revision));
        offers.truncate(OFFERS_MAX);
        true
    }

    /// Returns the best offer that is newer than the value in force.
    pub(crate) fn next_offer(&mut self, kind: Kind) -> Option<Offer> {
        let ix = kind.index();
        let held = self.relays[ix].head().revision;
        let offers = &mut self.offers[ix];
        offers.retain(|(head, _)| head.revision > held);
        if offers.is_empty() {
            return None;
        }
        let offer = offers.remove(0);
        self.pulling[ix] = offer.0.revision;
        Some(offer)
    }

    /// Returns whether a peer offers a value above `revision` that is not in force yet.
    pub(crate) fn is_outbid(&self, kind: Kind, revision: u64) -> bool {
        let ix = kind.index();
        let mut offers = self.offers[ix].iter();
        self.pulling[ix] > revision || offers.any(|(head, _)| head.revision > revision)
    }

    /// Counts a conflict and logs the first of each revision.
    fn note_conflict(&mut self, kind: Kind, head: &Head) {
        let ix = kind.index();
        self.relays[ix].record_offer(head);
        if self.conflict[ix] != head.revision {
            self.conflict[ix] = head.revision;
            log::warn!(kind:? = kind, revision = head.revision; "revision with two contents");
        }
    }

    /// Keeps a value out that failed validation.
    fn reject(&mut self, kind: Kind, head: Head, reason: &str) {
        let ix = kind.index();
        self.relays[ix].record_invalid();
        self.invalid[ix] = Some(head);
        self.seen[ix] = self.seen[ix].max(head.revision);
        log::warn!(kind:? = kind, revision = head.revision; "value not accepted: {reason}");
        self.rejected.push_back(Rejected {
            revision: head.revision,
            reason: reason.chars().take(256).collect(),
        });
        if self.rejected.len() > REJECTED_MAX {
            self.rejected.pop_front();
        }
    }

    /// Remembers that a stranger holds `grant`.
    pub(crate) fn add_guest(&mut self, guest: Guest) {
        if self.guests.len() >= GUESTS_MAX {
            self.guests.pop_front();
        }
        self.guests.push_back(guest);
    }
}
