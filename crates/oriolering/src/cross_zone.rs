//! The margin by which a request prefers its own availability zone.
//!
//! Traffic between availability zones costs money, and a request that meets its latency objective
//! in its own zone gains nothing elsewhere. It therefore stays while enough of its objective
//! remains. If its own zone is slow, overloaded or without a backend server, the margin is zero.

use crate::RequestCost;

/// The largest margin as a percentage of the time left of a latency objective; the rest covers
/// errors of the estimate.
const MARGIN_PERCENT: u64 = 50;
/// The number of bytes in a kilobyte.
const KILOBYTE: u64 = 1_000;

/// The cost of traffic between availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrossZoneCost {
    /// The additional latency that is accepted to avoid a kilobyte of traffic between zones, in
    /// milliseconds; at zero, only the expected durations are compared.
    pub kilobyte_ms: u64,
}

impl CrossZoneCost {
    /// The default, at which a small response is worth a third of a short latency objective.
    pub const DEFAULT: Self = Self { kilobyte_ms: 50 };
    /// The largest allowed `kilobyte_ms`.
    pub const KILOBYTE_MAX_MS: u64 = 1_000;

    /// Returns by how much sooner a request must be expected to complete in another zone to leave
    /// its own, in milliseconds.
    ///
    /// `local_ms` is its expected duration at the best backend server of its own zone. The margin
    /// falls to zero as that approaches the time left of the latency objective.
    pub fn margin_ms(self, cost: RequestCost, local_ms: u64) -> u64 {
        let bytes_ms = cost.bytes.saturating_mul(self.kilobyte_ms) / KILOBYTE;
        let spare_ms = cost.aim_ms.saturating_sub(local_ms);
        bytes_ms.min(spare_ms * MARGIN_PERCENT / 100)
    }
}

impl Default for CrossZoneCost {
    fn default() -> Self {
        Self::DEFAULT
    }
}
