//! The monotonic and the wall clock of a process.

use std::time::SystemTime;

use mangotrestle_core::pool;
use mangotrestle_core::time;
use tokio::time::Instant;

/// Reads the monotonic clock, as time since a common start, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time is zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            zero: Instant::now(),
        }
    }

    /// The instant at which the monotonic time is zero.
    #[must_use]
    pub const fn zero(&self) -> Instant {
        self.zero
    }

    /// Current monotonic time: milliseconds since the clock was started.
    #[must_use]
    pub fn monotonic(&self) -> time::TimeMs {
        let elapsed = self.zero.elapsed().as_millis();
        time::TimeMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Current wall clock time, or zero if the system clock is before 1970.
    #[must_use]
    #[allow(
        clippy::unused_self,
        reason = "callers read both clocks through the same value"
    )]
    pub fn wall(&self) -> time::WallTimeMs {
        let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let elapsed_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
        time::WallTimeMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Current time of both clocks.
    #[must_use]
    pub fn now(&self) -> pool::Now {
        pool::Now {
            monotonic: self.monotonic(),
            wall: self.wall(),
        }
    }

    /// Converts a monotonic time to an instant of the runtime.
    #[must_use]
    pub fn instant(&self, at: time::TimeMs) -> Instant {
        self.zero + time::SpanMs(at.0).as_duration()
    }
}
