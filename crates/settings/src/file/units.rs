//! Durations and byte counts with their units.

use std::time::Duration;

/// Units of byte counts, largest first; powers of 1024.
const BYTE_UNITS: [(&str, u64); 4] = [("GB", 1 << 30), ("MB", 1 << 20), ("KB", 1 << 10), ("B", 1)];

/// Reads `250ms`, `4s`, `1m 30s`; a bare number has no unit and is refused.
pub fn parse_duration(text: &str) -> Option<Duration> {
    // The library takes a bare `0` too; a zero time-out or period is never meant here.
    humantime::parse_duration(text).ok().filter(|d| !d.is_zero())
}

/// Writes a duration so that [`parse_duration`] reads the same one.
pub fn render_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

/// Reads `256KB`, `1MB`, `900B`; a bare number has no unit and is refused.
pub fn parse_bytes(text: &str) -> Option<u64> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = text[digits.len()..].to_ascii_uppercase();
    let (_, factor) = BYTE_UNITS.iter().find(|(name, _)| *name == unit)?;
    let count: u64 = digits.trim_end().parse().ok()?;
    count.checked_mul(*factor)
}

/// Writes a byte count so that [`parse_bytes`] reads the same one.
pub fn render_bytes(bytes: u64) -> String {
    let (name, factor) = BYTE_UNITS
        .iter()
        .find(|(_, f)| bytes >= *f && bytes.is_multiple_of(*f))
        .unwrap_or(&BYTE_UNITS[3]);
    format!("{}{name}", bytes / factor)
}
