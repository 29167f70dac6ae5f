//! Judges the arrivals by the rule, from what the backend servers saw.

use crate::fleet::{PERCENT, Played, SLACK, WINDOW_MS};

/// The window that comes nearest to what is allowed, or goes farthest beyond it.
pub(crate) struct Window {
    pub(crate) service: usize,
    pub(crate) repeats: u64,
    pub(crate) allowed: u64,
}

/// Returns the worst window of all services.
pub(crate) fn worst(played: &Played) -> Window {
    let windows = (0..played.services).flat_map(|service| {
        let starts = of(&played.repeats, service);
        starts.map(move |from| window(played, service, from))
    });
    let over = |window: &Window| window.repeats as i64 - window.allowed as i64;
    windows.max_by_key(over).unwrap_or(Window {
        service: 0,
        repeats: 0,
        allowed: 0,
    })
}

/// Counts the window that begins at `from`; the requests are those of this window, the one before
/// it or the one half a window before it, whichever has most.
fn window(played: &Played, service: usize, from: u64) -> Window {
    let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|before| {
        let from = from as i64 - before as i64;
        within(&played.requests, service, from)
    });
    let most = requests.into_iter().max().unwrap_or(0);
    Window {
        service,
        repeats: within(&played.repeats, service, from as i64),
        allowed: most * PERCENT / 100 + SLACK,
    }
}

fn within(times: &[(usize, u64)], service: usize, from: i64) -> u64 {
    let window = from..from + WINDOW_MS as i64;
    of(times, service)
        .filter(|at| window.contains(&(*at as i64)))
        .count() as u64
}

fn of(times: &[(usize, u64)], service: usize) -> impl Iterator<Item = u64> {
    let times = times.iter().filter(move |(named, _)| *named == service);
    times.map(|(_, at)| *at)
}
