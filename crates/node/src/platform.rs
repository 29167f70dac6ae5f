//! Runs a node on a platform that writes its settings.

use oriolering_platform::{SETTINGS_VARIABLE, Settings};
use snafu::ResultExt;

use crate::error::{self, NodeError};
use crate::logging;

/// The level of log lines; lines below it are not formatted.
const LOG: &str = "info";

/// Runs a node until the platform tells it to stop.
///
/// # Errors
///
/// Returns an error when the settings cannot be used or a part cannot be started.
pub(crate) fn run() -> Result<(), NodeError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).unwrap_or_default();
    let settings = Settings::load(path).context(error::PlatformSettingsSnafu)?;
    let _logger = logging::start(LOG).context(error::LogSnafu)?;
    let system = ntex::rt::System::new("oriolering-node");
    let result = system.block_on(oriolering_mesh::run(settings));
    result.context(error::MeshSnafu)
}
