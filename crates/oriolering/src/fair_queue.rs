//! A short queue in front of a backend server that is fair among customers.

use std::collections::VecDeque;

use crate::{Millis, Ticket};

/// A waiting call.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    expires: Millis,
}

/// The waiting calls of one customer, oldest first.
#[derive(Debug)]
struct Flow {
    customer: u64,
    entries: VecDeque<Entry>,
}

/// The result of pushing a call to a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The call was queued.
    Queued,
    /// The call was queued, and the newest call of the customer with the most waiting calls was
    /// evicted.
    Evicted(Ticket),
    /// The queue is full, and evicting a call of another customer would not make it fairer, or
    /// there is none.
    Full,
    /// The queue is full, other customers wait too, and none has more waiting calls than this one.
    Share,
}

/// A bounded queue with a flow for each customer; the flows are served round-robin.
#[derive(Debug)]
pub struct FairQueue {
    length: usize,
    count: usize,
    flows: VecDeque<Flow>,
    next_expiry: Option<Millis>,
}

impl FairQueue {
    /// Returns an empty queue for at most `length` calls.
    pub fn new(length: u32) -> Self {
        Self {
            length: length as usize,
            count: 0,
            flows: VecDeque::new(),
            next_expiry: None,
        }
    }

    /// Changes the bound; calls above it stay queued.
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

    /// Returns a lower bound of the time at which the next waiting call expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.next_expiry
    }

    /// Returns the number of calls that would be popped before a new call of `customer`.
    ///
    /// Every other flow is served at most once for each call of this customer.
    pub fn ahead(&self, customer: u64) -> usize {
        let turns = self.flow(customer).map_or(0, |flow| flow.entries.len()) + 1;
        self.flows
            .iter()
            .map(|flow| match flow.customer == customer {
                true => flow.entries.len(),
                false => flow.entries.len().min(turns),
            })
            .sum()
    }

    /// Adds a call of `customer` that expires at `expires`.
    pub fn push(&mut self, ticket: Ticket, customer: u64, expires: Millis) -> PushResult {
        let evicted = match self.count < self.length {
            true => None,
            false => match self.evict(customer) {
                Ok(ticket) => Some(ticket),
                Err(push) => return push,
            },
        };
        let entry = Entry { ticket, expires };
        match self.flows.iter_mut().find(|s| s.customer == customer) {
            Some(flow) => flow.entries.push_back(entry),
            None => self.flows.push_back(Flow {
                customer,
                entries: VecDeque::from([entry]),
            }),
        }
        self.count += 1;
        self.next_expiry = Some(self.next_expiry.map_or(expires, |at| at.min(expires)));
        evicted.map_or(PushResult::Queued, PushResult::Evicted)
    }

    /// Removes the next call, from the customer with the fewest calls `running`; ties are served
    /// round-robin.
    pub fn pop(&mut self, running: impl Fn(u64) -> u32) -> Option<Ticket> {
        let flows = self.flows.iter().enumerate();
        let (index, _) = flows.min_by_key(|(_, flow)| running(flow.customer))?;
        let mut flow = self.flows.remove(index)?;
        let entry = flow.entries.pop_front()?;
        if !flow.entries.is_empty() {
            self.flows.push_back(flow);
        }
        self.decrement_count();
        Some(entry.ticket)
    }

    /// Removes a call that has expired.
    pub fn expire(&mut self, now: Millis) -> Option<Ticket> {
        if self.next_expiry.is_none_or(|at| at > now) {
            return None;
        }
        let scanned = self.flows.iter().flat_map(|flow| &flow.entries);
        let first = scanned.min_by_key(|entry| entry.expires).copied()?;
        if first.expires > now {
            self.next_expiry = Some(first.expires);
            return None;
        }
        self.remove(first.ticket);
        Some(first.ticket)
    }

    /// Removes a call, and returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.flows.iter_mut().enumerate().find_map(|(i, flow)| {
            let position = flow.entries.iter().position(|e| e.ticket == ticket)?;
            flow.entries.remove(position);
            Some((i, flow.entries.is_empty()))
        });
        let Some((index, empty)) = found else {
            return false;
        };
        if empty {
            self.flows.remove(index);
        }
        self.decrement_count();
        true
    }

    /// Removes the newest call of the longest flow to make room for one of `customer`.
    fn evict(&mut self, customer: u64) -> Result<Ticket, PushResult> {
        let own = self.flow(customer).map_or(0, |flow| flow.entries.len());
        if own == self.count {
            return Err(PushResult::Full);
        }
        let flows = self.flows.iter_mut().enumerate();
        let longest = flows.max_by_key(|(_, flow)| flow.entries.len());
        let Some((_, flow)) = longest else {
            return Err(PushResult::Full);
        };
        if flow.entries.len() <= own {
            return Err(PushResult::Share);
        }
        if flow.entries.len() == own + 1 {
            return Err(PushResult::Full);
        }
        let entry = flow.entries.pop_back().ok_or(PushResult::Full)?;
        self.decrement_count();
        Ok(entry.ticket)
    }

    fn flow(&self, customer: u64) -> Option<&Flow> {
        self.flows.iter().find(|flow| flow.customer == customer)
    }

    fn decrement_count(&mut self) {
        self.count -= 1;
        if self.count == 0 {
            self.next_expiry = None;
        }
    }
}
