//! The command-line options of a node on a platform.

use oriolering::CrossZoneCost;

/// The options that operators set in addition to the settings that the platform writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// The cost of sending a request to another availability zone.
    pub crossing: CrossZoneCost,
}
