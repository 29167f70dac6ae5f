//! The retry delay that a refused caller is given.

use rand::Rng;

/// The maximum retry delay, as a percentage of the time left to the deadline; callers do not wait
/// longer than a third of it.
const MAX_PERCENT: u64 = 30;

/// Returns the retry delay for a caller with `left_ms` left to its deadline when `delay_ms` is
/// suggested, all in milliseconds.
pub fn retry_after_ms(delay_ms: u64, left_ms: u64) -> u64 {
    delay_ms.min(left_ms * MAX_PERCENT / 100)
}

/// Returns the same with jitter, for one of many callers refused by rate limits.
///
/// The delay is between two thirds and one and a half times the plain one, within the same maximum,
/// so that the callers do not retry all at once.
pub fn jittered_retry_after_ms(delay_ms: u64, left_ms: u64, rng: &mut impl Rng) -> u64 {
    let latest = retry_after_ms(delay_ms.saturating_mul(3) / 2, left_ms);
    let earliest = retry_after_ms(delay_ms, left_ms).min(latest) * 2 / 3;
    rng.random_range(earliest..=latest)
}
