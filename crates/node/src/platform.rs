//! Runs a node on a platform that writes its settings.

use std::error::Error;
use std::path::PathBuf;

use oriolering::CrossZoneCost;
use oriolering_mesh::{LogWriter, Options};
use oriolering_platform::{SETTINGS_ENV_VAR, Settings};

/// The level of log lines; lines below it are not formatted.
const LOG: &str = "info";

/// Runs a node until the platform tells it to stop.
///
/// # Errors
///
/// Returns an error when the settings cannot be used or a part cannot be started.
pub(crate) fn run(crossing: CrossZoneCost) -> Result<(), Box<dyn Error>> {
    let path = PathBuf::from(std::env::var_os(SETTINGS_ENV_VAR).unwrap_or_default());
    let settings = Settings::load(&path)?;
    let lines = LogWriter::start(std::io::stdout())?;
    let others = lines.clone();
    let take = Box::new(move |line: &[u8]| others.push_library_line(line));
    let _logger = oriolering_node::start_log_with(LOG, take)?;
    let system = ntex::rt::System::new("oriolering-node");
    let result = system.block_on(oriolering_mesh::run(
        settings,
        Options { crossing },
        path,
        lines.clone(),
    ));
    lines.finish();
    Ok(result?)
}
