//! Limits to how many peers a node sends a large document at the same time.
//!
//! A change of the routes first reaches a few nodes, whose links are slow relative to its size. If
//! they sent it to every peer that asks at once, all would get it late and other messages would
//! queue behind it. Sent to a few peers at a time, those pass it on while the next are served.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The maximum number of peers that are sent a document at the same time.
pub const FAN_OUT_MAX: usize = 3;
/// How long a transfer counts against the limit, in milliseconds.
///
/// Three documents of the largest usual size take less time over a link of 10 Mbit/s.
const TRANSFER_MS: u64 = 500;

struct PendingRequest<K, T> {
    key: K,
    request: T,
}

/// The peers that are being sent a document, and the queue of those that wait with their requests.
pub struct FanOut<K, T> {
    serving: Vec<(K, Millis)>,
    waiting: VecDeque<PendingRequest<K, T>>,
}

impl<K, T> Default for FanOut<K, T> {
    fn default() -> Self {
        Self {
            serving: Vec::new(),
            waiting: VecDeque::new(),
        }
    }
}

impl<K: Copy + PartialEq, T> FanOut<K, T> {
    /// Queues a request of `key`; it replaces an earlier one of the same key.
    pub fn enqueue(&mut self, key: K, request: T) {
        self.waiting.retain(|w| w.key != key);
        self.waiting.push_back(PendingRequest { key, request });
    }

    /// Records that `key` has the document, from this node or another one.
    pub fn finish(&mut self, key: K) {
        self.serving.retain(|(served, _)| *served != key);
        self.waiting.retain(|w| w.key != key);
    }

    /// Returns the next peer to send to with its request, unless the limit is reached.
    pub fn next(&mut self, now: Millis) -> Option<(K, T)> {
        self.serving
            .retain(|(_, since)| now.since(*since) < TRANSFER_MS);
        if self.serving.len() >= FAN_OUT_MAX {
            return None;
        }
        let PendingRequest { key, request } = self.waiting.pop_front()?;
        self.serving.push((key, now));
        Some((key, request))
    }
}
