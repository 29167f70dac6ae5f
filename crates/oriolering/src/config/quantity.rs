//! Parses quantities that were written with a unit, to suggest the right number.

/// Returns the quantity in the unit of the field, or `None` when a unit is unknown.
pub(crate) fn parse_quantity(text: &str, unit: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[..digits].parse().ok()?;
    let factor = unit_factor(text[digits..].trim(), unit)?;
    number.checked_mul(factor)
}

/// Returns the factor that converts from the `written` unit to the `unit` of the field.
fn unit_factor(written: &str, unit: &str) -> Option<u64> {
    let written = written.to_lowercase();
    match (unit, written.as_str()) {
        (_, "") => Some(1),
        ("ms" | "ms per second", "ms") => Some(1),
        ("ms" | "ms per second", "s" | "sec") => Some(1_000),
        ("ms", "m" | "min") => Some(60_000),
        ("ms", "h") => Some(3_600_000),
        ("bytes", "b") => Some(1),
        ("bytes", "k" | "kb") => Some(1_000),
        ("bytes", "kib") => Some(1_024),
        ("bytes", "m" | "mb") => Some(1_000_000),
        ("bytes", "mib") => Some(1_048_576),
        ("percent", "%") => Some(1),
        _ => None,
    }
}
