//! The process's monotonic clock, and a wall clock derived from it.
//!
//! The system's wall clock may jump while the process runs. Due times therefore use the wall clock
//! at the process's start plus the time on the monotonic clock since, so that a jump neither starts
//! work early nor delays it.
//!
//! The monotonic clock of the system stands still while the machine is suspended, and leases of workers,
//! removed keys and due times do not wait. [`Clock::count_suspension`] adds such a time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mangotrestle_core::time::{SpanMs, TimeMs};
use rustix::time::{ClockId, clock_gettime};

/// Reading of the monotonic clock at the process's start, in milliseconds; far from zero, so that
/// times before the start can be expressed.
const START_MS: u64 = 1_000_000;

/// Time by which the clock that counts suspension must be ahead before it counts as one.
const MIN_SUSPENSION_MS: u64 = 100;

/// Clocks of this process.
#[derive(Debug)]
pub(super) struct Clock {
    started: Instant,
    epoch_offset_ms: u64,
    /// Reading of the clock that counts suspension at the process's start.
    started_since_boot: Duration,
    /// Time for which the machine was suspended, in milliseconds.
    suspended_ms: AtomicU64,
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
            started_since_boot: since_boot(),
            suspended_ms: AtomicU64::new(0),
        }
    }

    /// Adds the time for which the machine was suspended since the last call. Returns it, if it was.
    pub(super) fn count_suspension(&self) -> Option<SpanMs> {
        let awake_ms = millis(self.started.elapsed());
        let passed_ms = millis(since_boot().saturating_sub(self.started_since_boot));
        let suspended_ms = passed_ms.saturating_sub(awake_ms);
        let counted_ms = self.suspended_ms.load(Ordering::Relaxed);
        if suspended_ms < counted_ms + MIN_SUSPENSION_MS {
            return None;
        }
        self.suspended_ms.fetch_max(suspended_ms, Ordering::Relaxed);
        Some(SpanMs(suspended_ms - counted_ms))
    }

    /// Returns the time on the monotonic clock.
    pub(super) fn now(&self) -> TimeMs {
        let suspended_ms = self.suspended_ms.load(Ordering::Relaxed);
        TimeMs(START_MS + millis(self.started.elapsed()) + suspended_ms)
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

/// Returns the time since the machine started, suspension included.
fn since_boot() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or(Duration::ZERO)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
