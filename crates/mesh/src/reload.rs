//! Reloads the settings file of a running node when it changes.
//!
//! Settings that a node looks up at each use take effect while it runs. The others need a restart,
//! and a change of them is logged.

use std::path::PathBuf;
use std::time::SystemTime;

use compact_str::CompactString;
use oriolering::Millis;
use oriolering_platform::{BUDGET_SLACK_SETTING, GRACE_SETTING, SERVICE_SETTING, Settings};

use crate::node::Node;
use crate::trail::{Event, clip};

/// The time between two checks of the settings file, in milliseconds; the platform also allows
/// that long for a new configuration to take effect.
const CHECK_MS: u64 = 2_000;

/// The settings that take effect while the node runs.
const RELOADED: [&str; 3] = [GRACE_SETTING, BUDGET_SLACK_SETTING, SERVICE_SETTING];

/// The modification time and size of a file, by which a change is detected without reading it.
type Stamp = Option<(SystemTime, u64)>;

/// The settings file, and when it was last checked.
pub(crate) struct Reload {
    path: PathBuf,
    stamp: Stamp,
    checked: Millis,
    /// The last settings that were read.
    read: Settings,
}

impl Reload {
    /// Returns the state of a node that has started with `settings` from `path`.
    pub(crate) fn new(path: PathBuf, settings: Settings, now: Millis) -> Self {
        let mut reload = Self {
            path,
            stamp: None,
            checked: now,
            read: settings,
        };
        reload.stamp = reload.stamp_now();
        reload
    }

    /// Checks the file when a check is due, and reloads it if it has changed.
    pub(crate) fn tick(&mut self, node: &Node, now: Millis) {
        if now.since(self.checked) < CHECK_MS {
            return;
        }
        self.checked = now;
        let stamp = self.stamp_now();
        // A file that is missing for a moment is being replaced.
        if stamp.is_some() && stamp != self.stamp {
            self.run(node, "file");
        }
    }

    /// Reloads the file, and applies the settings that can change while the node runs.
    pub(crate) fn run(&mut self, node: &Node, cause: &'static str) {
        self.stamp = self.stamp_now();
        let settings = match Settings::load(&self.path) {
            Ok(settings) => settings,
            Err(e) => {
                let error = clip(&e.to_string());
                node.trail.note(Event::SettingsRejected { cause, error });
                return;
            }
        };
        apply(node, &settings);
        let differences = self.read.differences(&settings);
        let (changed, needs_restart): (Vec<_>, Vec<_>) = differences
            .into_iter()
            .partition(|name| RELOADED.contains(name));
        self.read = settings;
        node.trail.note(Event::SettingsReloaded {
            cause,
            changed: join(&changed),
            needs_restart: join(&needs_restart),
        });
    }

    fn stamp_now(&self) -> Stamp {
        let data = std::fs::metadata(&self.path).ok()?;
        Some((data.modified().ok()?, data.len()))
    }
}

/// Applies the settings that can change while the node runs.
fn apply(node: &Node, next: &Settings) {
    *node.service.borrow_mut() = next.backend.service.clone();
    let mut bounds = node.bounds.get();
    bounds.grace_ms = next.bounds.grace_ms;
    bounds.budget_slack = next.bounds.budget_slack;
    node.bounds.set(bounds);
    node.budgets.set_slack(bounds.budget_slack);
}

fn join(names: &[&str]) -> CompactString {
    names.join(", ").into()
}
