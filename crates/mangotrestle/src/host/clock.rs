//! The process's monotonic clock, and a wall clock derived from it.
//!
//! The system's wall clock may jump while the process runs. Due times therefore use the wall clock
//! at the process's start plus the time on the monotonic clock since, so that a jump neither starts
//! work early nor delays it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mangotrestle_core::time::TimeMs;

/// Reading of the monotonic clock at the process's start, in milliseconds; far from zero, so that
/// times before the start can be expressed.
const START_MS: u64 = 1_000_000;

/// Clocks of this process.
#[derive(Debug)]
pub(super) struct Clock {
    started: Instant,
    epoch_offset_ms: u64,
}

impl Clock {
    /// Starts the clock.
    pub(super) fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self {
            started: Instant::now(),
            epoch_offset_ms: millis(since_epoch).saturating_sub(START_MS),
        }
    }

    /// Returns the time on the monotonic clock.
    pub(super) fn now(&self) -> TimeMs {
        TimeMs(START_MS + millis(self.started.elapsed()))
    }

    /// Returns the time from the Unix epoch to the monotonic clock's zero, in milliseconds.
    pub(super) const fn epoch_offset_ms(&self) -> u64 {
        self.epoch_offset_ms
    }

    /// Returns the time since the Unix epoch in milliseconds, without jumps of the wall clock.
    pub(super) fn epoch_ms(&self) -> u64 {
        self.now().0 + self.epoch_offset_ms
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
