//! Requests a second, as a backend server names them.

use serde::{Deserialize, Serialize};

/// A number of requests a second, kept in thousandths of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate(u32);

impl Rate {
    /// No requests at all.
    pub const ZERO: Self = Self(0);

    /// Returns the rate of so many thousandths of a request a second.
    pub fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Returns the thousandths of a request a second.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
