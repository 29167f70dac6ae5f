//! Carries the cancellation of a call to the gate that runs it.
//!
//! A gate lets a request that may not be repeated go on when its connection is lost, so that
//! the answer can be collected. A caller that gives up is told to the gate in so many words.

use std::collections::HashMap;
use std::rc::Rc;

use oriolering::CallId;
use tokio::sync::{mpsc, oneshot};

use crate::directory::Target;
use crate::timer::within;
use crate::wire::Wire;

const SEND_TIMEOUT_MS: u64 = 200;

/// An attempt whose caller has gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cancelled {
    /// Where the attempt runs.
    pub(crate) target: Target,
    /// The identity of the attempt.
    pub(crate) id: CallId,
}

/// Sends cancellations until the process ends.
pub(crate) async fn run(wire: Rc<Wire>, mut cancelled: mpsc::UnboundedReceiver<Cancelled>) {
    while let Some(Cancelled { target, id }) = cancelled.recv().await {
        let client = wire.gate(target.address.gate);
        let request = client
            .post(format!("http://{}/", target.address.gate))
            .set_header(oriolering::CALL_ID, id.encode())
            .set_header(oriolering::STEP, "cancel");
        // The deadline of the attempt bounds what a lost cancellation costs.
        ntex::rt::spawn(async move { within(SEND_TIMEOUT_MS, request.send()).await });
    }
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
