//! The settings of a running node, read again when they change.
//!
//! What a node reads at each use can change while it runs; the rest takes a new start and is
//! told.

use std::path::PathBuf;
use std::time::SystemTime;

use compact_str::CompactString;
use oriolering::Millis;
use oriolering_platform::{BUDGET_SLACK_SETTING, Bounds, GRACE_SETTING, Settings};

use crate::node::Node;
use crate::trail::{Event, clip};

/// The time between two looks at the file of settings, in milliseconds; as long as
/// the platform's bound on a new configuration.
const LOOK_MS: u64 = 2_000;

/// The settings that come into force while the node runs.
const RELOADED: [&str; 2] = [GRACE_SETTING, BUDGET_SLACK_SETTING];

/// What tells two versions of a file apart without reading it.
type Stamp = Option<(SystemTime, u64)>;

/// The file of settings, and when it was looked at.
pub(crate) struct Reload {
    path: PathBuf,
    stamp: Stamp,
    looked: Millis,
    /// The settings that were read last.
    read: Settings,
}

impl Reload {
    /// Returns the state after a start with `settings` from `path`.
    pub(crate) fn new(path: PathBuf, settings: Settings, now: Millis) -> Self {
        let mut reload = Self {
            path,
            stamp: None,
            looked: now,
            read: settings,
        };
        reload.stamp = reload.stamp_now();
        reload
    }

    /// Reads the file again if it has changed, from time to time.
    pub(crate) fn tick(&mut self, node: &Node, now: Millis) {
        if now.since(self.looked) < LOOK_MS {
            return;
        }
        self.looked = now;
        let stamp = self.stamp_now();
        // A file that is gone for a moment is being replaced.
        if stamp.is_some() && stamp != self.stamp {
            self.run(node, "file");
        }
    }

    /// Reads the file again, and puts in force what can change.
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
        apply(node, settings.bounds);
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

/// Puts the bounds in force that can change while the node runs.
fn apply(node: &Node, next: Bounds) {
    let mut bounds = node.bounds.get();
    bounds.grace_ms = next.grace_ms;
    bounds.budget_slack = next.budget_slack;
    node.bounds.set(bounds);
    node.budgets.set_slack(bounds.budget_slack);
}

fn join(names: &[&str]) -> CompactString {
    names.join(", ").into()
}
