//! Reads quantities that someone wrote with a unit.

/// Returns the quantity in the unit of the field when both units are known.
pub(crate) fn parse_quantity(text: &str, unit: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[..digits].parse().ok()?;
    let factor = unit_factor(text[digits..].trim(), unit)?;
    number.checked_mul(factor)
}

/// Returns how many of the field's `unit` one of the `written` unit is.
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
