//! A worker's own monotonic clock, which starts at a different reading for each incarnation.

use mangotrestle_core::time;
use tokio::time::Instant;

/// Difference between the first readings of two consecutive incarnations.
const START_READING_STEP_MS: u64 = 100_003;

#[derive(Clone, Copy, Debug)]
pub(super) struct HostClock {
    origin: Instant,
    start_ms: u64,
}

impl HostClock {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            origin: Instant::now(),
            start_ms: incarnation * START_READING_STEP_MS,
        }
    }

    pub(super) fn now(&self) -> time::WorkerTimeMs {
        let elapsed_ms = self.origin.elapsed().as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        time::WorkerTimeMs(self.start_ms.saturating_add(elapsed_ms))
    }

    /// Returns the time at which the clock shows `reading`; the clock's start if that is earlier.
    pub(super) fn instant(&self, reading: time::WorkerTimeMs) -> Instant {
        let span = reading.since(time::WorkerTimeMs(self.start_ms));
        self.origin + span.as_duration()
    }
}
