//! The short queue in front of a backend server, fair among customers.

use std::collections::VecDeque;

use crate::{Millis, Ticket};

/// A call that waits.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    expires: Millis,
}

/// The waiting calls of one customer, oldest first.
#[derive(Debug)]
struct Lane {
    customer: u64,
    entries: VecDeque<Entry>,
}

/// What became of a call that was pushed to a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The call waits.
    Queued,
    /// The call waits in place of the newest one of the customer with the longest lane.
    Evicted(Ticket),
    /// The queue is full, and the customer holds a fair share of it or all of it.
    Full,
    /// The queue is full, others wait too, and none of them holds more of it than this customer.
    Share,
}

/// A bounded queue with a lane for each customer; the lanes take turns.
#[derive(Debug)]
pub struct FairQueue {
    length: usize,
    count: usize,
    lanes: VecDeque<Lane>,
    earliest: Option<Millis>,
}

impl FairQueue {
    /// Returns an empty queue for at most `length` calls.
    pub fn new(length: u32) -> Self {
        Self {
            length: length as usize,
            count: 0,
            lanes: VecDeque::new(),
            earliest: None,
        }
    }

    /// Changes the bound; calls over it stay until they leave.
    pub fn resize(&mut self, length: u32) {
        self.length = length as usize;
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns a time at or before which the first waiting call expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.earliest
    }

    /// Returns the number of calls that leave before a new call of `customer` would.
    ///
    /// Every other lane gives at most one call for each one of this customer's.
    pub fn ahead(&self, customer: u64) -> usize {
        let turns = self.lane(customer).map_or(0, |lane| lane.entries.len()) + 1;
        self.lanes
            .iter()
            .map(|lane| match lane.customer == customer {
                true => lane.entries.len(),
                false => lane.entries.len().min(turns),
            })
            .sum()
    }

    /// Adds a call of `customer` that is dropped at `expires`.
    pub fn push(&mut self, ticket: Ticket, customer: u64, expires: Millis) -> PushResult {
        let evicted = match self.count < self.length {
            true => None,
            false => match self.evict(customer) {
                Ok(ticket) => Some(ticket),
                Err(push) => return push,
            },
        };
        let entry = Entry { ticket, expires };
        match self.lanes.iter_mut().find(|l| l.customer == customer) {
            Some(lane) => lane.entries.push_back(entry),
            None => self.lanes.push_back(Lane {
                customer,
                entries: VecDeque::from([entry]),
            }),
        }
        self.count += 1;
        self.earliest = Some(self.earliest.map_or(expires, |at| at.min(expires)));
        evicted.map_or(PushResult::Queued, PushResult::Evicted)
    }

    /// Takes the next call: from the customer with the fewest calls `running`, by turns.
    pub fn pop(&mut self, running: impl Fn(u64) -> u32) -> Option<Ticket> {
        let lanes = self.lanes.iter().enumerate();
        let (index, _) = lanes.min_by_key(|(_, lane)| running(lane.customer))?;
        let mut lane = self.lanes.remove(index)?;
        let entry = lane.entries.pop_front()?;
        if !lane.entries.is_empty() {
            self.lanes.push_back(lane);
        }
        self.shrink();
        Some(entry.ticket)
    }

    /// Takes a call whose time to wait has passed.
    pub fn expire(&mut self, now: Millis) -> Option<Ticket> {
        if self.earliest.is_none_or(|at| at > now) {
            return None;
        }
        let scanned = self.lanes.iter().flat_map(|lane| &lane.entries);
        let first = scanned.min_by_key(|entry| entry.expires).copied()?;
        if first.expires > now {
            self.earliest = Some(first.expires);
            return None;
        }
        self.remove(first.ticket);
        Some(first.ticket)
    }

    /// Removes a call, and returns whether it waited.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.lanes.iter_mut().enumerate().find_map(|(i, lane)| {
            let place = lane.entries.iter().position(|e| e.ticket == ticket)?;
            lane.entries.remove(place);
            Some((i, lane.entries.is_empty()))
        });
        let Some((index, empty)) = found else {
            return false;
        };
        if empty {
            self.lanes.remove(index);
        }
        self.shrink();
        true
    }

    /// Removes the newest call of the longest lane to make room for one of `customer`.
    fn evict(&mut self, customer: u64) -> Result<Ticket, PushResult> {
        let own = self.lane(customer).map_or(0, |lane| lane.entries.len());
        if own == self.count {
            return Err(PushResult::Full);
        }
        let lanes = self.lanes.iter_mut().enumerate();
        let longest = lanes.max_by_key(|(_, lane)| lane.entries.len());
        let Some((_, lane)) = longest else {
            return Err(PushResult::Full);
        };
        if lane.entries.len() <= own {
            return Err(PushResult::Share);
        }
        if lane.entries.len() == own + 1 {
            return Err(PushResult::Full);
        }
        let entry = lane.entries.pop_back().ok_or(PushResult::Full)?;
        self.shrink();
        Ok(entry.ticket)
    }

    fn lane(&self, customer: u64) -> Option<&Lane> {
        self.lanes.iter().find(|lane| lane.customer == customer)
    }

    fn shrink(&mut self) {
        self.count -= 1;
        if self.count == 0 {
            self.earliest = None;
        }
    }
}
