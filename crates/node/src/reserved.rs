//! Calls that the gate has admitted before their long body is sent.

use std::collections::HashMap;

use oriolering::{CallId, Millis};

use crate::permit::Permit;

const MAX_AGE_MS: u64 = 2_000;

/// Admitted calls by identity; one whose body does not come is withdrawn.
#[derive(Default)]
pub(crate) struct Reserved {
    held: HashMap<CallId, Held>,
}

struct Held {
    permit: Permit,
    at: Millis,
}

impl Reserved {
    /// Holds the permit of a call.
    pub(crate) fn hold(&mut self, now: Millis, id: CallId, permit: Permit) {
        self.held.insert(id, Held { permit, at: now });
    }

    /// Takes the permit of a call whose body has come.
    pub(crate) fn take(&mut self, id: CallId) -> Option<Permit> {
        self.held.remove(&id).map(|held| held.permit)
    }

    /// Withdraws the calls whose body has not come in time.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.held.retain(|_, held| now.since(held.at) <= MAX_AGE_MS);
    }
}
