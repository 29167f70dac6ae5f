//! Carries the cancellation of a call to the gate that runs it.
//!
//! A gate lets a request that may not be repeated go on when its connection is lost, so that
//! the answer can be collected. A caller that gives up is told to the gate in so many words.

use std::rc::Rc;

use tokio::sync::mpsc;

use crate::cancels::Cancelled;
use crate::timer::within;
use crate::wire::Wire;

const SEND_TIMEOUT_MS: u64 = 200;

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
