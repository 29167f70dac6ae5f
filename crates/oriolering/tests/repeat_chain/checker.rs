//! Checks the arrivals at the backend servers against the bound on repeats.

use crate::fleet::{History, PERCENT, SLACK, WINDOW_MS};

/// The repeats and the bound in one window at one service.
pub(crate) struct Window {
    pub(crate) service: usize,
    pub(crate) repeats: u64,
    pub(crate) allowed: u64,
}

/// Returns the window of all services that exceeds its bound the most or has the smallest margin.
pub(crate) fn worst_window(history: &History) -> Window {
    let windows = (0..history.services).flat_map(|service| {
        let starts = times_at(&history.repeats, service);
        starts.map(move |from| window(history, service, from))
    });
    let excess = |window: &Window| window.repeats as i64 - window.allowed as i64;
    windows.max_by_key(excess).unwrap_or(Window {
        service: 0,
        repeats: 0,
        allowed: 0,
    })
}

/// Counts the window that begins at `from`.
///
/// The bound is based on the requests of this window, of the previous window or of the window that
/// begins half a window earlier, whichever has the most.
fn window(history: &History, service: usize, from: u64) -> Window {
    let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|before| {
        let from = from as i64 - before as i64;
        count_within(&history.requests, service, from)
    });
    let most = requests.into_iter().max().unwrap_or(0);
    Window {
        service,
        repeats: count_within(&history.repeats, service, from as i64),
        allowed: most * PERCENT / 100 + SLACK,
    }
}

fn count_within(times: &[(usize, u64)], service: usize, from: i64) -> u64 {
    let window = from..from + WINDOW_MS as i64;
    times_at(times, service)
        .filter(|at| window.contains(&(*at as i64)))
        .count() as u64
}

fn times_at(times: &[(usize, u64)], service: usize) -> impl Iterator<Item = u64> {
    let times = times
        .iter()
        .filter(move |(at_service, _)| *at_service == service);
    times.map(|(_, at)| *at)
}
