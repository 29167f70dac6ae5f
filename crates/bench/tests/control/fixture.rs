//! Fleets and switches that the tests share.

use std::time::Duration;

use oriolering::{Crash, Incarnation, QuarantineEntry, Verdict};
use oriolering_bench::control_fleet::{Fleet, Shape};
use oriolering_bench::platform::{Mode, Scope, Switch};
use oriolering_node::control::ControlSettings;

pub(crate) const WATCH_MS: u64 = 300;
pub(crate) const LIMIT: Duration = Duration::from_secs(9);

pub(crate) fn tune(settings: &mut ControlSettings) {
    settings.start_ms = 50;
    settings.empty_ms = 200;
    settings.sync_ms = 200;
    settings.watch_ms = WATCH_MS;
}

pub(crate) fn fleet(nodes: usize) -> Fleet {
    let shape = Shape {
        nodes,
        zones: 4,
        services: 3,
        tune,
    };
    Fleet::start(shape).unwrap()
}

pub(crate) fn quarantine() -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: 42,
        crash: Crash {
            gate: Incarnation(1),
            number: 1,
        },
        verdict: Verdict::Quarantined,
        remaining: 60_000,
    }
}

pub(crate) fn switch(mode: Mode) -> Switch {
    Switch {
        mode,
        delay_ms: 0,
        scope: Scope::All,
        behind: 0,
    }
}
