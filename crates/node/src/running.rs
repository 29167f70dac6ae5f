//! Counts attempts as running.

use oriolering::{AttemptResult, ServiceKey};

use crate::cancels::Cancelled;
use crate::directory::Target;
use crate::sessions::Issued;
use crate::wire::Wire;

/// Counts an attempt as running until it is dropped, whatever happens to the call.
pub(crate) struct Running<'a> {
    wire: &'a Wire,
    service: ServiceKey,
    target: Target,
    /// The identity of the attempt once it has been issued.
    pub(crate) issued: Option<Issued>,
    result: AttemptResult,
}

impl<'a> Running<'a> {
    /// Begins to count an attempt at a picked backend server.
    pub(crate) fn new(wire: &'a Wire, service: ServiceKey, target: Target) -> Self {
        Self {
            wire,
            service,
            target,
            issued: None,
            result: AttemptResult::Cancelled,
        }
    }

    /// Sets what the choice learns from the attempt.
    pub(crate) fn set_result(&mut self, result: AttemptResult) {
        self.result = result;
    }
}

impl Running<'_> {
    /// Tells the gate of an attempt that is dropped before it has ended.
    fn cancel(&self) {
        let Some(issued) = self
            .issued
            .filter(|_| self.result == AttemptResult::Cancelled)
        else {
            return;
        };
        let cancelled = Cancelled {
            target: self.target,
            id: issued.id,
        };
        // The receiver lives as long as the thread of the data path.
        let _ = self.wire.cancelled.send(cancelled);
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.wire.node.clock.now();
        let mut directory = self.wire.node.directory.lock();
        if let Some(issued) = self.issued {
            directory.settle(self.target.server, issued);
        }
        self.cancel();
        directory.finish(now, self.service, self.target.server, self.result);
    }
}
