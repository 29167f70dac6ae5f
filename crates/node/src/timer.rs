//! Waiting with a resolution of one millisecond.
//!
//! The timers of the HTTP library have steps of 16 ms; the runtime's own are used instead.

use std::time::Duration;

/// Waits for `ms` milliseconds.
pub(crate) async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits for `work`, at most `ms` milliseconds; `None` when it takes longer.
pub(crate) async fn within<F: Future>(ms: u64, work: F) -> Option<F::Output> {
    tokio::time::timeout(Duration::from_millis(ms), work)
        .await
        .ok()
}
