//! Whom a node sends a long text first, when many ask for it at once.
//!
//! The load is a change of the routes that reaches a few nodes, whose links are slow against
//! its size. Sent to all who ask at once, all get it late, and other messages wait behind it;
//! sent to a few at a time, those few pass it on while the next are served.

use std::collections::VecDeque;

use crate::clock::Millis;

/// How many are sent a text at the same time.
pub const FAN_OUT_MAX: usize = 3;
/// How long one may take before the next is served beside it, in milliseconds; three texts of
/// the largest size usually seen take less over a link of 10 Mbit/s.
const TURN_MS: u64 = 500;

struct Waiting<K, T> {
    key: K,
    ask: T,
}

/// Those who are sent a text, and those who wait for it with what they asked.
pub struct FanOut<K, T> {
    serving: Vec<(K, Millis)>,
    waiting: VecDeque<Waiting<K, T>>,
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
    /// Notes that `key` asks; a later question of the same key replaces an earlier one.
    pub fn enqueue(&mut self, key: K, ask: T) {
        self.waiting.retain(|w| w.key != key);
        self.waiting.push_back(Waiting { key, ask });
    }

    /// Notes that `key` has the text, from here or from elsewhere.
    pub fn finish(&mut self, key: K) {
        self.serving.retain(|(served, _)| *served != key);
        self.waiting.retain(|w| w.key != key);
    }

    /// Returns whose turn it is now, if it is anyone's.
    pub fn next(&mut self, now: Millis) -> Option<(K, T)> {
        self.serving
            .retain(|(_, since)| now.since(*since) < TURN_MS);
        if self.serving.len() >= FAN_OUT_MAX {
            return None;
        }
        let Waiting { key, ask } = self.waiting.pop_front()?;
        self.serving.push((key, now));
        Some((key, ask))
    }
}
