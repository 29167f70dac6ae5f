//! Compares the results if some of the backend servers announce rate limits with those of a fleet
//! that does not know the limits.
//!
//! The load is [`Load::noisy_neighbours`]; the limit of a backend server is below its capacity.

use rstest::rstest;

use crate::gate::WINDOW_MS;
use crate::results::Results;
use crate::settings::{Load, Strategy};
use crate::{load, simulate};

/// The rate limit of a limited backend server, in requests per second.
const LIMIT_PER_S: u64 = 12;
/// The fraction of all requests by which fewer may be answered within the target latency than if
/// the limits are not known, as long as the other backend servers have capacity.
const AIM_LOSS_MAX: f64 = 0.01;
/// The largest 99th percentile of the latency, in percent of that of the fleet that does not know
/// the limits.
const P99_PERCENT_MAX: u64 = 115;

fn limits(limited: usize, offered: u64, seed: u64) -> Load {
    Load {
        limited,
        limit: (LIMIT_PER_S * 1_000) as u32,
        duration_ms: 6_000,
        ..load(offered, seed)
    }
}

/// Returns the number of requests that the platform allows in a window.
fn allowed() -> u64 {
    LIMIT_PER_S * WINDOW_MS * 3 / 2 / 1_000 + 5
}

/// Simulates a load with known and with unknown limits, in this order.
fn simulate_both(load: Load) -> (Results, Results) {
    let ignoring = Load {
        limit_known: false,
        ..load
    };
    let aware = simulate(load, Strategy::Adaptive);
    assert!(aware.limited_peak <= allowed(), "{aware}");
    (aware, simulate(ignoring, Strategy::Adaptive))
}

#[rstest]
fn other_servers_take_over_while_they_have_capacity(
    #[values(2, 8)] limited: usize,
    #[values(30, 50)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let (aware, unaware) = simulate_both(limits(limited, offered, seed));
    assert!(
        unaware.limited_peak > allowed(),
        "without known limits, no limit is exceeded: {unaware}"
    );
    assert_eq!(aware.answered, aware.requests, "{aware}");
    assert!(
        aware.aim_share() >= unaware.aim_share() - AIM_LOSS_MAX,
        "{aware}"
    );
    assert!(
        aware.p99_ms * 100 <= unaware.p99_ms * P99_PERCENT_MAX,
        "{aware}"
    );
    // The limits are used.
    assert!(
        aware.limited_peak >= LIMIT_PER_S * WINDOW_MS / 1_000 / 2,
        "{aware}"
    );
}

/// Half of the backend servers are limited, and the others lack capacity for all requests.
#[rstest]
fn requests_beyond_all_capacity_are_refused_at_once(
    #[values(80, 130)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let (aware, _) = simulate_both(limits(12, offered, seed));
    assert!(aware.at_once_share() >= crate::AT_ONCE_MIN, "{aware}");
    assert_eq!(aware.late, 0, "{aware}");
    assert!(aware.wasted_share() <= crate::WASTED_MAX, "{aware}");
    // The other backend servers work at their capacity.
    let capacity = 50.0 / offered as f64;
    assert!(
        aware.answered as f64 >= 0.95 * capacity * aware.requests as f64,
        "{aware}"
    );
}

/// All backend servers are limited.
#[rstest]
fn requests_within_the_sum_of_all_limits_are_served(
    #[values(10, 60)] offered: u64,
    #[values(1, 2)] seed: u64,
) {
    let (aware, _) = simulate_both(limits(24, offered, seed));
    let allowed = 24 * LIMIT_PER_S * 6;
    let due = allowed.min(aware.requests) as f64;
    assert!(aware.answered as f64 >= 0.9 * due, "{aware}");
    assert_eq!(aware.late, 0, "{aware}");
    // Requests far above the limits are refused at once.
    let beyond = aware.requests > 2 * allowed;
    assert!(
        !beyond || aware.at_once_share() >= crate::AT_ONCE_MIN,
        "{aware}"
    );
}
