//! Answers that a gate keeps until the ingress has acknowledged them.

use std::collections::{HashMap, VecDeque};

use ntex::http::StatusCode;
use ntex::http::header::HeaderMap;
use ntex::util::Bytes;
use oriolering::{CallId, Grant, Millis};

const MAX_AGE_MS: u64 = 15_000;

/// An answer of the backend server, read to its end.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// The status code.
    pub(crate) status: StatusCode,
    /// The headers that travel on.
    pub(crate) headers: HeaderMap,
    /// The whole body.
    pub(crate) body: Bytes,
}

#[derive(Debug)]
struct Kept {
    answer: Answer,
    at: Millis,
}

/// A table of answers, bounded in bytes and age.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    kept: HashMap<CallId, Kept>,
    order: VecDeque<CallId>,
    bytes: usize,
}

impl Answers {
    /// Keeps an answer and drops the oldest ones above `max_bytes`.
    pub(crate) fn keep(&mut self, now: Millis, id: CallId, answer: Answer, max_bytes: usize) {
        self.bytes += answer.body.len();
        self.kept.insert(id, Kept { answer, at: now });
        self.order.push_back(id);
        self.trim(now, max_bytes);
    }

    /// Returns the answer of a call.
    pub(crate) fn get(&self, id: CallId) -> Option<&Answer> {
        self.kept.get(&id).map(|kept| &kept.answer)
    }

    /// Drops the answers of a session up to `ack`.
    pub(crate) fn acknowledge(&mut self, grant: Grant, ack: u64) {
        let settled = |id: &CallId| id.grant == grant && id.seq <= ack;
        while let Some(ix) = self.order.iter().position(settled) {
            if let Some(id) = self.order.remove(ix) {
                self.drop_answer(id);
            }
        }
    }

    fn trim(&mut self, now: Millis, max_bytes: usize) {
        while let Some(id) = self.order.front().copied() {
            let old = self
                .kept
                .get(&id)
                .is_none_or(|kept| now.since(kept.at) > MAX_AGE_MS);
            if !old && self.bytes <= max_bytes {
                return;
            }
            self.order.pop_front();
            self.drop_answer(id);
        }
    }

    fn drop_answer(&mut self, id: CallId) {
        if let Some(kept) = self.kept.remove(&id) {
            self.bytes -= kept.answer.body.len();
        }
    }
}
