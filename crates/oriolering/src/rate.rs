//! A request rate, as a backend server's rate limit states it.

use serde::{Deserialize, Serialize};

/// A number of requests per second, stored in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(u32);

impl Rate {
    /// A rate of zero.
    pub const ZERO: Self = Self(0);

    /// Returns the rate of this many thousandths of a request per second.
    pub fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Returns the rate in thousandths of a request per second.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
