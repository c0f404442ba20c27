//! Formatting and parsing of wall-clock times.

use std::time::{Duration, SystemTime};

use displaydoc::Display;
use mangotrestle_core::time::WallTimeMs;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Formats a time in UTC with milliseconds, such as `2026-12-03T02:10:44.017Z`.
#[must_use]
pub fn format(time: SystemTime) -> String {
    let time = OffsetDateTime::from(time);
    format!(
        "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
        time.year(),
        u8::from(time.month()),
        time.day(),
        time.hour(),
        time.minute(),
        time.second(),
        time.millisecond()
    )
}

/// Latest wall time that is formatted, the end of the year 9999; later ones are shown as this one.
const MAX_WALL_MS: u64 = 253_402_300_799_999;

/// Formats a wall time in UTC; zero, which means "not known", becomes `-`.
#[must_use]
pub fn format_wall(wall: WallTimeMs) -> String {
    if wall.0 == 0 {
        return "-".to_owned();
    }
    format(SystemTime::UNIX_EPOCH + Duration::from_millis(wall.0.min(MAX_WALL_MS)))
}

/// Returns the current wall time.
#[must_use]
pub fn now_wall() -> WallTimeMs {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    WallTimeMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Error of [`parse_since`].
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidTime {
    /// {0:?} is not a time, expected one such as 2026-12-03T06:00:00Z, or a duration before now such as 90s, 30m, 8h or 2d
    Unreadable(String),
    /// {0:?} is before 1970
    TooEarly(String),
}

impl std::error::Error for InvalidTime {}

/// Parses a time in RFC 3339 format, or a duration before `now`.
///
/// # Errors
///
/// [`InvalidTime`] if the text is neither, or if the time is before 1970.
pub fn parse_since(text: &str, now: WallTimeMs) -> Result<WallTimeMs, InvalidTime> {
    if let Some(span_ms) = parse_span_ms(text) {
        return Ok(WallTimeMs(now.0.saturating_sub(span_ms)));
    }
    let time = OffsetDateTime::parse(text, &Rfc3339)
        .map_err(|_| InvalidTime::Unreadable(text.to_owned()))?;
    let wall_ms = time.unix_timestamp_nanos() / 1_000_000;
    u64::try_from(wall_ms)
        .map(WallTimeMs)
        .map_err(|_| InvalidTime::TooEarly(text.to_owned()))
}

/// Parses a whole number followed by the unit `s`, `m`, `h` or `d`; returns milliseconds.
fn parse_span_ms(text: &str) -> Option<u64> {
    let unit_ms: u64 = match text.chars().last()? {
        's' => 1_000,
        'm' => 60_000,
        'h' => 3_600_000,
        'd' => 86_400_000,
        _ => return None,
    };
    let count: u64 = text[..text.len() - 1].parse().ok()?;
    count.checked_mul(unit_ms)
}
