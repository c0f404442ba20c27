//! The clocks of a process, read in one place.

use std::time::SystemTime;

use mangotrestle_core::pool;
use mangotrestle_core::time;
use tokio::time::Instant;

/// Reads the monotonic clock from a common zero, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// A clock that shows zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            zero: Instant::now(),
        }
    }

    /// Zero of the monotonic clock.
    #[must_use]
    pub const fn zero(&self) -> Instant {
        self.zero
    }

    /// The monotonic clock.
    #[must_use]
    pub fn monotonic(&self) -> time::TimeMs {
        let elapsed = self.zero.elapsed().as_millis();
        time::TimeMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// The wall clock.
    #[must_use]
    #[allow(
        clippy::unused_self,
        reason = "callers read both clocks in the same way"
    )]
    pub fn wall(&self) -> time::WallTimeMs {
        let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let elapsed_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis());
        time::WallTimeMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Both clocks.
    #[must_use]
    pub fn now(&self) -> pool::Now {
        pool::Now {
            monotonic: self.monotonic(),
            wall: self.wall(),
        }
    }

    /// When the monotonic clock will show a time.
    #[must_use]
    pub fn instant(&self, at: time::TimeMs) -> Instant {
        self.zero + time::SpanMs(at.0).as_duration()
    }
}
