//! What operators set on the command line of a node on a platform.

use oriolering::CrossZoneCost;

/// What operators set beside the settings that the platform writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// What the way out of an availability zone is worth.
    pub crossing: CrossZoneCost,
}
