//! Sleeps finer than a millisecond, so that service times are what the load asks for.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};
use tokio::sync::oneshot;

struct Entry {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

#[derive(Default)]
struct Timer {
    entries: Mutex<BinaryHeap<Reverse<Entry>>>,
    changed: Condvar,
}

impl Timer {
    fn shared() -> &'static Arc<Self> {
        static TIMER: OnceLock<Arc<Timer>> = OnceLock::new();
        TIMER.get_or_init(|| {
            let timer = Arc::new(Self::default());
            let own = timer.clone();
            std::thread::spawn(move || own.run());
            timer
        })
    }

    fn run(&self) {
        let mut entries = self.entries.lock();
        loop {
            let next = entries.peek().map(|Reverse(entry)| entry.due);
            match next {
                None => self.changed.wait(&mut entries),
                Some(due) if due > Instant::now() => {
                    self.changed.wait_until(&mut entries, due);
                }
                Some(_) => {
                    if let Some(Reverse(entry)) = entries.pop() {
                        // A sleeper that was dropped has no use for it.
                        let _ = entry.wake.send(());
                    }
                }
            }
        }
    }
}

/// Sleeps on a thread of its own instead of the runtime's millisecond wheel.
pub(crate) async fn sleep_precisely(time: Duration) {
    if time.is_zero() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    let due = Instant::now() + time;
    let timer = Timer::shared();
    timer.entries.lock().push(Reverse(Entry { due, wake }));
    timer.changed.notify_one();
    // The thread runs as long as the process.
    let _ = woken.await;
}
