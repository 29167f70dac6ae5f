//! Calls that are cancelled: those of callers that have gone, and those of this gate.

use std::collections::HashMap;

use oriolering::CallId;
use tokio::sync::oneshot;

use crate::directory::Target;

/// An attempt whose caller has gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cancelled {
    /// Where the attempt runs.
    pub(crate) target: Target,
    /// The identity of the attempt.
    pub(crate) id: CallId,
}

/// The running calls of a gate that can be cancelled.
#[derive(Debug, Default)]
pub(crate) struct Cancels {
    running: HashMap<CallId, oneshot::Sender<()>>,
}

impl Cancels {
    /// Registers a call; the channel closes when it is cancelled.
    pub(crate) fn register(&mut self, id: CallId) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.running.insert(id, sender);
        receiver
    }

    /// Cancels a call, or forgets one that has ended.
    pub(crate) fn remove(&mut self, id: CallId) {
        self.running.remove(&id);
    }
}
