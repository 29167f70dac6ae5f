//! Derives the settings of the parts of a node from those of its service.

use std::collections::BTreeMap;

use oriolering::config::{Bundle, ServiceSettings, SettingsSet};
use oriolering::{GateSettings, MeasurementBudgetSettings, QuarantineSettings};

/// The microseconds of a millisecond.
pub(crate) const US_PER_MS: u64 = 1_000;
/// How late the list of instances may tell of a node.
const LIST_LAG_MS: u64 = 30_000;
/// Sessions that a gate holds at once; more ingresses than this share by age of use.
const SESSIONS: u32 = 4_096;
/// Sequence numbers that a gate remembers for each session.
const WINDOW: u32 = 1_024;

/// Requests that are suspected or quarantined at once.
const SUSPECTS: u32 = 256;

/// Returns the settings of a service before any configuration is known.
pub(crate) fn initial(name: &str) -> ServiceSettings {
    let base = format!("{{\"services\": {{\"{name}\": {{}}}}}}");
    let bundle = Bundle {
        base,
        overlays: BTreeMap::new(),
    };
    let set = SettingsSet::parse(&bundle).expect("a service without fields has defaults");
    set.site("").services.remove(0)
}

/// Returns the settings of the quarantine.
pub(crate) fn quarantine(service: &ServiceSettings) -> QuarantineSettings {
    QuarantineSettings {
        capacity: SUSPECTS,
        quarantine_ms: service.quarantine_ms,
        suspect_ms: service.quarantine_ms,
    }
}

/// Returns the settings of the gate.
pub(crate) fn gate(service: &ServiceSettings) -> GateSettings {
    let slots = service.slots.effective();
    GateSettings {
        initial: slots.initial,
        min: slots.min,
        max: slots.max,
        queue_length: service.queue.length,
        queue_wait_ms: service.queue.wait_ms,
        ramp_ms: service.ramp_ms,
        sessions: SESSIONS,
        max_state_runs: WINDOW,
    }
}

/// Returns what a node may spend on measuring its backend server.
pub(crate) fn budget(service: &ServiceSettings) -> MeasurementBudgetSettings {
    MeasurementBudgetSettings {
        allowed_us: service.measure.budget_ms * US_PER_MS,
        lag_ms: LIST_LAG_MS,
    }
}
