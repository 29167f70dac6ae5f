//! The rule for the case that most backend servers look bad.

/// Returns whether suspicion is to be ignored because it falls on more than half of all.
///
/// When most look bad, the evidence is more likely wrong than the fleet, and sending
/// everything to the few others would overload them.
pub(crate) fn is_panic(suspects: usize, total: usize) -> bool {
    suspects * 2 > total
}
