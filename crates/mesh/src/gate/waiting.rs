//! The queue position of a request that waits at the gate.

use oriolering::{JobKey, RefusalReason};
use tokio::sync::oneshot;

use super::Gate;

/// A queue position, given up on drop.
pub(super) struct WaitGuard<'a> {
    pub(super) gate: &'a Gate,
    pub(super) key: JobKey,
    pub(super) receiver: oneshot::Receiver<Result<(), RefusalReason>>,
    pub(super) ended: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let is_waiting = self.gate.waiters.borrow_mut().remove(&self.key).is_some();
        if is_waiting {
            self.gate.scheduler.borrow_mut().cancel(self.key);
        } else if let Ok(Ok(())) = self.receiver.try_recv() {
            // The request was given a slot that it does not use.
            self.gate.scheduler.borrow_mut().finish();
            self.gate.process_events();
        }
    }
}
