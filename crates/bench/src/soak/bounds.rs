//! The bounds of the platform's settings that a soak holds nodes to.

use oriolering_platform::Bounds;

/// How long a final answer may take beyond the route's timeout; the rules' figure.
pub(crate) const ANSWER_SLACK_MS: u64 = 500;
/// How long work may go on after its client has left; the rules' figure.
pub(crate) const GONE_MS: u64 = 500;

/// Returns the bounds as the list of a settings file.
pub(crate) fn bounds_text(bounds: &Bounds) -> String {
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    let figures = [
        ("stable_window_ms", bounds.stable_window_ms as f64),
        ("drain_ms", bounds.drain_ms as f64),
        ("config_apply_ms", bounds.config_apply_ms as f64),
        ("rollback_slack_ms", bounds.rollback_slack_ms as f64),
        ("grace_s", seconds(bounds.grace_ms)),
        ("recovery_s", seconds(bounds.recovery_ms)),
        ("addr_reuse_s", seconds(bounds.address_reuse_ms)),
    ];
    let texts = figures.map(|(name, figure)| format!("\"{name}={figure}\""));
    format!("[{}]", texts.join(","))
}
