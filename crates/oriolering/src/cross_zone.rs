//! Whether a request leaves its availability zone.
//!
//! The load that this answers: each availability zone has backend servers of its own, and bytes
//! between zones cost money. A request that is answered within its objective in its own zone
//! gains nothing elsewhere, so it stays as long as a part of its objective remains; where its
//! own zone is slow, short of room or has no backend server, nothing holds it back.

use crate::RequestCost;

/// The part of what is left of an objective that may be spent on staying, in percent; the rest
/// is for what the estimate does not know.
const SPARE_PERCENT: u64 = 50;
/// The bytes of a kilobyte.
const KILOBYTE: u64 = 1_000;

/// What the way out of an availability zone is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrossZoneCost {
    /// The time of a caller that a kilobyte between zones is worth, in milliseconds; at zero
    /// only the time of the way itself counts.
    pub kilobyte_ms: u64,
}

impl CrossZoneCost {
    /// The default: a small answer is worth a third of a short objective.
    pub const DEFAULT: Self = Self { kilobyte_ms: 50 };
    /// The highest value of a kilobyte, in milliseconds.
    pub const KILOBYTE_MAX_MS: u64 = 1_000;

    /// Returns by how much sooner a request must be expected to end in another zone to leave its
    /// own, in milliseconds.
    ///
    /// `near_ms` is how long it is expected to take at the best backend server of its own zone.
    /// The margin falls to nothing as that comes close to what is left of the objective.
    pub fn margin_ms(self, load: RequestCost, near_ms: u64) -> u64 {
        let bytes_ms = load.bytes.saturating_mul(self.kilobyte_ms) / KILOBYTE;
        let spare_ms = load.aim_ms.saturating_sub(near_ms);
        bytes_ms.min(spare_ms * SPARE_PERCENT / 100)
    }
}

impl Default for CrossZoneCost {
    fn default() -> Self {
        Self::DEFAULT
    }
}
