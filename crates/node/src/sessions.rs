//! The sessions that an ingress holds with gates.

use oriolering::{CallId, Grant};
use smallvec::SmallVec;

/// One session with one gate: the grant, the last sequence number and what is unsettled.
#[derive(Debug, Default)]
pub(crate) struct Session {
    grant: Option<Grant>,
    last: u64,
    open: SmallVec<[u64; 16]>,
}

/// The identity of an attempt and the floor below which the session is settled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Issued {
    /// The identity of the attempt.
    pub(crate) id: CallId,
    /// Every sequence number up to this one is settled.
    pub(crate) ack: u64,
}

impl Session {
    /// Takes up `grant`; identities of an earlier grant are never issued again.
    pub(crate) fn adopt(&mut self, grant: Grant) {
        if self.grant == Some(grant) {
            return;
        }
        *self = Self {
            grant: Some(grant),
            last: 0,
            open: SmallVec::new(),
        };
    }

    /// Issues the next identity, or `None` while there is no grant.
    pub(crate) fn issue(&mut self) -> Option<Issued> {
        let grant = self.grant?;
        self.last += 1;
        self.open.push(self.last);
        Some(Issued {
            id: CallId {
                grant,
                seq: self.last,
            },
            ack: self.floor(),
        })
    }

    /// Settles an attempt: the ingress will not ask about it again.
    pub(crate) fn settle(&mut self, id: CallId) {
        if self.grant == Some(id.grant) {
            self.open.retain(|seq| *seq != id.seq);
        }
    }

    fn floor(&self) -> u64 {
        let first = self.open.iter().copied().min().unwrap_or(self.last + 1);
        first - 1
    }
}
