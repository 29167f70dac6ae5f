//! Lets others run while a connection has much to transfer.
//!
//! All connections of a node share one thread. A socket that always has more bytes, or always accepts
//! more, would otherwise keep it: its task never waits.

use tokio::task::yield_now;

/// How many bytes a connection transfers before others get their turn.
const TURN_BYTES: usize = 64 * 1024;
/// How many bytes a transfer counts for at least, since many small ones take as long as a large one.
const TRANSFER_BYTES: usize = 1024;

/// What one connection has transferred since others had their turn.
#[derive(Debug, Default)]
pub struct Turn {
    bytes: usize,
}

impl Turn {
    /// Records a transfer.
    pub fn record(&mut self, bytes: usize) {
        self.bytes += bytes.max(TRANSFER_BYTES);
    }

    /// Lets others run if the turn is used up.
    pub async fn end_if_used(&mut self) {
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            yield_now().await;
        }
    }
}
