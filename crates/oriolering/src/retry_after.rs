//! When a refused caller does best to come back.

use rand::Rng;

/// The part of the time left within which a caller comes back, in percent; callers do not wait
/// longer than a third of it.
const LEFT_PERCENT: u64 = 30;

/// Returns after how long a caller with `left_ms` left comes back that is asked to in `back_ms`,
/// all in milliseconds.
pub fn retry_after_ms(back_ms: u64, left_ms: u64) -> u64 {
    back_ms.min(left_ms * LEFT_PERCENT / 100)
}

/// Returns the same for one of many callers that limited backend servers have no turns for:
/// between two thirds of it and half as much again, so that they do not return together.
pub fn jittered_retry_after_ms(back_ms: u64, left_ms: u64, rng: &mut impl Rng) -> u64 {
    let latest = retry_after_ms(back_ms.saturating_mul(3) / 2, left_ms);
    let earliest = retry_after_ms(back_ms, left_ms).min(latest) * 2 / 3;
    rng.random_range(earliest..=latest)
}
