//! RFC 3339 times as callers write them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use humantime::{format_rfc3339_seconds, parse_rfc3339};
use notch_types::prelude::*;

use crate::fault::bad;

/// Length of an offset such as `+05:00`, bytes.
const OFFSET_BYTES: usize = 6;

/// Reads a time, in UTC (`2026-12-02T18:30:00Z`) or with an offset (`2026-12-02T23:30:00+05:00`).
/// A blank before the offset stands for the plus sign that a query turned into one.
///
/// # Errors
/// A refusal `not run` when the text is not such a time, or lies before 1970.
pub fn parse_due(text: &str) -> Result<WallTime, Refusal> {
    parse_time(text).ok_or_else(|| bad("a due time is written as in 2026-12-02T18:30:00Z"))
}

fn parse_time(text: &str) -> Option<WallTime> {
    if !text.is_ascii() {
        return None;
    }
    if text.ends_with('Z') {
        return parse_rfc3339(text).ok().and_then(wall_time);
    }
    let (local, offset) = text.split_at_checked(text.len().checked_sub(OFFSET_BYTES)?)?;
    let local = wall_time(parse_rfc3339(&format!("{local}Z")).ok()?)?;
    let shift = offset_millis(&offset[1..])?;
    match offset.as_bytes()[0] {
        b'+' | b' ' => local.0.checked_sub(shift).map(WallTime),
        b'-' => local.0.checked_add(shift).map(WallTime),
        _ => None,
    }
}

/// Milliseconds of `hh:mm`.
fn offset_millis(text: &str) -> Option<u64> {
    let (hours, minutes) = text.split_once(':')?;
    let two_digits = |part: &str| {
        let digits = part.len() == 2 && part.bytes().all(|byte| byte.is_ascii_digit());
        part.parse::<u64>().ok().filter(|_| digits)
    };
    let (hours, minutes) = (two_digits(hours)?, two_digits(minutes)?);
    (hours < 24 && minutes < 60).then_some((hours * 60 + minutes) * 60_000)
}

fn wall_time(time: SystemTime) -> Option<WallTime> {
    let since = time.duration_since(UNIX_EPOCH).ok()?;
    u64::try_from(since.as_millis()).ok().map(WallTime)
}

/// A time as text, in UTC, to the second.
pub fn format_time(time: WallTime) -> String {
    /// The last second that the format can write, in milliseconds.
    const LAST: u64 = 253_402_300_799_000;
    let time = UNIX_EPOCH + Duration::from_millis(time.0.min(LAST));
    format_rfc3339_seconds(time).to_string()
}
