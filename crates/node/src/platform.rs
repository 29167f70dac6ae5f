//! Runs a node on a platform that writes its settings.

use std::error::Error;

use oriolering_platform::{SETTINGS_VARIABLE, Settings};

/// The level of log lines; lines below it are not formatted.
const LOG: &str = "info";

/// Runs a node until the platform tells it to stop.
///
/// # Errors
///
/// Returns an error when the settings cannot be used or a part cannot be started.
pub(crate) fn run() -> Result<(), Box<dyn Error>> {
    let path = std::env::var_os(SETTINGS_VARIABLE).unwrap_or_default();
    let settings = Settings::load(path)?;
    let _logger = oriolering_node::start_log(LOG)?;
    let system = ntex::rt::System::new("oriolering-node");
    system.block_on(oriolering_mesh::run(settings))?;
    Ok(())
}
