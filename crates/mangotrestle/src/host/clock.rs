//! The steady clock, and the time of day as of the process's start.
//!
//! The time of day may jump while the process runs; due times follow the steady clock from the
//! time of day at the start, so that a jump neither starts work early nor holds it up.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mangotrestle_core::time::TimeMs;

/// Reading of the steady clock at the process's start; far from zero, so that spans before the
/// start can be named.
const START: u64 = 1_000_000;

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
            epoch_offset_ms: whole_ms(since_epoch).saturating_sub(START),
        }
    }

    /// The steady clock.
    pub(super) fn now(&self) -> TimeMs {
        TimeMs(START + whole_ms(self.started.elapsed()))
    }

    /// Span from the Unix epoch to the steady clock's zero.
    pub(super) const fn epoch_offset_ms(&self) -> u64 {
        self.epoch_offset_ms
    }

    /// Time since the Unix epoch, without jumps.
    pub(super) fn epoch_ms(&self) -> u64 {
        self.now().0 + self.epoch_offset_ms
    }
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
