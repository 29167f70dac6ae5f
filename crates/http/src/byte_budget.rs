//! One memory limit for the requests and responses that a process holds.
//!
//! Each body, copy of a body and partial head holds a [`ByteReservation`]. What does not fit is not
//! read, or is rejected before it runs.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The size up to which bytes may use the whole limit, so that large bodies that hold their share
/// of it keep no ordinary request waiting.
const SMALL_BYTES: usize = 64 * 1024;
/// The share of the limit that only small reservations may use, as a divisor.
const SMALL_DIVISOR: usize = 64;
/// How long the budget counts as short after a reservation was denied.
const SHORT_TIME: Duration = Duration::from_secs(3);

/// What bytes are reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteUse {
    /// The body of a request while it is received and until it is answered. These may use half of
    /// the limit, so that each of them can be copied once.
    Body,
    /// Everything else: partial heads, copies of bodies, and responses.
    Other,
}

/// The memory limit that requests and responses share.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: Cell<usize>,
    /// The part of `used` that is for [`ByteUse::Body`].
    bodies: Cell<usize>,
    released: Notify,
    denied_at: Cell<Option<Instant>>,
    rejected: Cell<u64>,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::new(0),
            bodies: Cell::new(0),
            released: Notify::new(),
            denied_at: Cell::new(None),
            rejected: Cell::new(0),
        })
    }

    /// Returns a budget that denies nothing.
    pub fn unlimited() -> Rc<Self> {
        Self::new(usize::MAX)
    }

    /// Returns how many bytes are reserved.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns how many requests were rejected because their bytes did not fit.
    pub fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    /// Counts a request that is rejected because its bytes do not fit.
    pub fn record_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Rc<Self>, purpose: ByteUse) -> ByteReservation {
        ByteReservation {
            budget: Rc::clone(self),
            purpose,
            bytes: 0,
        }
    }

    /// Reserves `bytes`, or returns none if they do not fit.
    pub fn reserve(self: &Rc<Self>, purpose: ByteUse, bytes: usize) -> Option<ByteReservation> {
        let mut reservation = self.reservation(purpose);
        reservation.resize(bytes).then_some(reservation)
    }

    /// Counts `bytes` that the process holds already, regardless of the limit.
    pub fn hold(self: &Rc<Self>, bytes: usize) -> ByteReservation {
        let mut reservation = self.reservation(ByteUse::Other);
        reservation.force(bytes);
        reservation
    }

    /// Waits until a reservation shrinks or is dropped.
    pub(crate) async fn released(&self) {
        self.released.notified().await;
    }

    /// Returns whether a reservation was denied recently.
    pub(crate) fn is_short(&self) -> bool {
        let denied = self.denied_at.get();
        denied.is_some_and(|at| at.elapsed() < SHORT_TIME)
    }

    /// Returns whether a reservation that has `held` bytes may grow by `more`.
    fn allows(&self, purpose: ByteUse, held: usize, more: usize) -> bool {
        let large = self.limit - self.limit / SMALL_DIVISOR;
        let used = self.used.get().saturating_add(more);
        if held.saturating_add(more) <= SMALL_BYTES {
            return used <= self.limit;
        }
        let bodies = self.bodies.get().saturating_add(more);
        used <= large && (purpose == ByteUse::Other || bodies <= large / 2)
    }

    fn add(&self, purpose: ByteUse, more: usize) {
        self.used.set(self.used.get() + more);
        if purpose == ByteUse::Body {
            self.bodies.set(self.bodies.get() + more);
        }
    }

    fn remove(&self, purpose: ByteUse, less: usize) {
        self.used.set(self.used.get() - less);
        if purpose == ByteUse::Body {
            self.bodies.set(self.bodies.get() - less);
        }
        if less > 0 {
            self.released.notify_waiters();
        }
    }
}

/// Bytes reserved from a [`ByteBudget`], released on drop.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Rc<ByteBudget>,
    purpose: ByteUse,
    bytes: usize,
}

impl ByteReservation {
    /// Returns how many bytes are reserved.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether it is so small that it may use the whole limit.
    pub(crate) fn is_small(&self) -> bool {
        self.bytes <= SMALL_BYTES
    }

    /// Makes it `bytes` long, and returns whether these fit; it is unchanged if not.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 && !self.budget.allows(self.purpose, self.bytes, more) {
            self.budget.denied_at.set(Some(Instant::now()));
            return false;
        }
        self.force(bytes);
        true
    }

    /// Makes it `bytes` long regardless of the limit.
    pub(crate) fn force(&mut self, bytes: usize) {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.budget.add(self.purpose, more),
            None => self.budget.remove(self.purpose, self.bytes - bytes),
        }
        self.bytes = bytes;
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.remove(self.purpose, self.bytes);
    }
}
