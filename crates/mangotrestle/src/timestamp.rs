//! Wall-clock times as people read and write them.

use std::time::{Duration, SystemTime};

use displaydoc::Display;
use mangotrestle_core::time::WallTimeMs;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// A time in UTC, to the millisecond, such as `2026-12-03T02:10:44.017Z`.
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

/// Latest wall time that can be shown, the end of the year 9999.
const MAX_WALL_MS: u64 = 253_402_300_799_999;

/// A wall time in UTC; zero, which stands for "not known", is shown as `-`.
#[must_use]
pub fn format_wall(wall: WallTimeMs) -> String {
    if wall.0 == 0 {
        return "-".to_owned();
    }
    format(SystemTime::UNIX_EPOCH + Duration::from_millis(wall.0.min(MAX_WALL_MS)))
}

/// The wall clock now.
#[must_use]
pub fn now_wall() -> WallTimeMs {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    WallTimeMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Why a text names no time.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidTime {
    /// {0:?} is no time, expected one such as 2026-12-03T06:00:00Z, or a span back from now such as 90s, 30m, 8h or 2d
    Unreadable(String),
    /// {0:?} lies before 1970
    TooEarly(String),
}

impl std::error::Error for InvalidTime {}

/// Reads a time, or a span back from `now`.
///
/// # Errors
///
/// [`InvalidTime`] with the text and what was expected.
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

/// A number with one of the units `s`, `m`, `h` and `d`.
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
