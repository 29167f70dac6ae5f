//! Runs the command and keeps what a whole session shows.

use std::path::Path;
use std::process::{Command, Output};

/// Returns the root of the repository.
pub(crate) fn root() -> &'static Path {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2);
    root.expect("the package lies two levels below the root")
}

/// Runs the command at the root of the repository.
pub(crate) fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oriolering"))
        .args(args)
        .current_dir(root())
        .output()
        .expect("the command runs")
}

/// Returns the command line with all that it printed and its exit code.
pub(crate) fn session(args: &[&str]) -> String {
    let output = run(args);
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().unwrap_or(-1);
    let line = format!("oriolering {}", args.join(" "));
    format!(
        "$ {}\n{stdout}{stderr}[exit code {code}]\n",
        line.trim_end()
    )
}
