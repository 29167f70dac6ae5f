//! A place among the requests that wait at the gate.

use oriolering::{JobKey, RefusalReason};
use tokio::sync::oneshot;

use super::Gate;

/// A place among the waiting, given up when it is dropped.
pub(super) struct Waiting<'a> {
    pub(super) gate: &'a Gate,
    pub(super) key: JobKey,
    pub(super) receiver: oneshot::Receiver<Result<(), RefusalReason>>,
    pub(super) ended: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let waits = self.gate.waiters.borrow_mut().remove(&self.key).is_some();
        if waits {
            self.gate.room.borrow_mut().cancel(self.key);
        } else if let Ok(Ok(())) = self.receiver.try_recv() {
            // It was given a slot that nobody will use.
            self.gate.room.borrow_mut().finish();
            self.gate.pump();
        }
    }
}
